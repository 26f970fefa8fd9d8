"""Checks values against what their parameters allow."""

import collections.abc
import dataclasses
import ipaddress
import re
import typing

from dandeliondrum import json_text
from dandeliondrum.settings import _declare
from dandeliondrum.settings import _problems
from dandeliondrum import transport

HIGHEST_PORT = 65_535

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_DIGEST = re.compile(r'([0-9a-f]{64})?')


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem whose line is not looked up yet."""

    path: str
    found: str
    allowed: str


Findings = collections.abc.Iterator[Finding]


def check_object(value: typing.Any, kind: type, path: str = '') -> Findings:
    """Check an object against the parameters of a settings class."""
    if not isinstance(value, dict):
        yield Finding(path, _problems.shown(value), 'an object in braces')
        return
    prefix = f'{path}.' if path else ''
    declared = {item.name: item for item in _declare.parameters(kind)}
    for name, found in value.items():
        if name not in declared:
            nearest = json_text.known_or_nearest(name, declared.keys())
            yield Finding(prefix + name, 'an unknown field', nearest)
            continue
        yield from check_value(found, declared[name].allowed, prefix + name)
    for name, item in declared.items():
        if item.required and name not in value:
            allowed = _declare.described(item.allowed)
            yield Finding(prefix + name, 'nothing', allowed)


def check_value(
    value: typing.Any, allowed: _declare.Allowed, path: str
) -> Findings:
    """Check one value; lists and objects are checked to their depth."""
    match allowed:
        case _declare.Addresses():
            yield from _check_addresses(value, allowed, path)
        case _declare.Records():
            yield from _check_records(value, allowed, path)
        case _ if not _is_allowed(value, allowed):
            yield Finding(
                path, _problems.shown(value), _declare.described(allowed)
            )


def _is_allowed(value: typing.Any, allowed: _declare.Allowed) -> bool:
    match allowed:
        case _declare.Whole(_, lowest, highest):
            return type(value) is int and lowest <= value <= highest
        case _declare.Flag():
            return isinstance(value, bool)
    if not isinstance(value, str):
        return False
    match allowed:
        case _declare.Name():
            return _NAME.fullmatch(value) is not None
        case _declare.Address():
            return _is_address(value)
        case _declare.Path():
            return bool(value) and '\0' not in value
        case _declare.Choice(words):
            return value in words
        case _declare.Digest():
            return _DIGEST.fullmatch(value) is not None
    return False


def _is_address(value: str) -> bool:
    try:
        host, port = transport.parse_address(value)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port <= HIGHEST_PORT


def _check_addresses(
    value: typing.Any, allowed: _declare.Addresses, path: str
) -> Findings:
    if not isinstance(value, list) or not value:
        yield Finding(
            path, _problems.shown(value), _declare.described(allowed)
        )
        return
    for position, item in enumerate(value):
        item_path = f'{path}[{position}]'
        yield from check_value(item, _declare.Address(), item_path)
        if item in value[:position]:
            yield Finding(
                item_path, _problems.shown(item), 'an address only once'
            )


def _check_records(
    value: typing.Any, allowed: _declare.Records, path: str
) -> Findings:
    if not isinstance(value, list) or not value:
        yield Finding(
            path, _problems.shown(value), _declare.described(allowed)
        )
        return
    for position, item in enumerate(value):
        item_path = f'{path}[{position}]'
        yield from check_object(item, allowed.record, item_path)
        yield from _check_repeated(value[:position], item, item_path)


def _check_repeated(
    earlier: list[typing.Any], item: typing.Any, path: str
) -> Findings:
    if not isinstance(item, dict):
        return
    for name, found in item.items():
        for other in earlier:
            if isinstance(other, dict) and other.get(name) == found:
                yield Finding(
                    f'{path}.{name}',
                    _problems.shown(found),
                    'a value that no other item of the list has',
                )
                break
