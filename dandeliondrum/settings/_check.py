"""Validates values against the parameters that a settings class declares."""

import collections.abc
import dataclasses
import ipaddress
import re
import typing

from dandeliondrum import json_text
from dandeliondrum.settings import _parameters
from dandeliondrum.settings import _problems
from dandeliondrum import transport

PORT_MAX = 65_535

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_DIGEST = re.compile(r'([0-9a-f]{64})?')


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A problem with a field, without the line of the field."""

    path: str
    found: str
    allowed: str


Findings = collections.abc.Iterator[Finding]


def check_object(value: typing.Any, kind: type, path: str = '') -> Findings:
    """Find the problems of an object with the fields of a settings class."""
    if not isinstance(value, dict):
        yield Finding(
            path, _problems.format_value(value), 'an object in braces'
        )
        return
    prefix = f'{path}.' if path else ''
    declared = {item.name: item for item in _parameters.parameters(kind)}
    for name, item_value in value.items():
        if name not in declared:
            nearest = json_text.suggest_name(name, declared.keys())
            yield Finding(prefix + name, 'an unknown field', nearest)
            continue
        yield from check_value(
            item_value, declared[name].allowed, prefix + name
        )
    for name, item in declared.items():
        if item.required and name not in value:
            allowed = _parameters.describe_allowed(item.allowed)
            yield Finding(prefix + name, 'nothing', allowed)


def check_value(
    value: typing.Any, allowed: _parameters.Allowed, path: str
) -> Findings:
    """Find the problems of a value, including nested lists and objects."""
    match allowed:
        case _parameters.Addresses():
            yield from _check_addresses(value, allowed, path)
        case _parameters.Objects():
            yield from _check_objects(value, allowed, path)
        case _ if not _is_allowed(value, allowed):
            yield Finding(
                path,
                _problems.format_value(value),
                _parameters.describe_allowed(allowed),
            )


def _is_allowed(value: typing.Any, allowed: _parameters.Allowed) -> bool:
    match allowed:
        case _parameters.Integer(_, lowest, highest):
            return type(value) is int and lowest <= value <= highest
        case _parameters.Boolean():
            return isinstance(value, bool)
    if not isinstance(value, str):
        return False
    match allowed:
        case _parameters.Name():
            return _NAME.fullmatch(value) is not None
        case _parameters.Address():
            return _is_address(value)
        case _parameters.Path():
            return bool(value) and '\0' not in value
        case _parameters.Choice(words):
            return value in words
        case _parameters.Digest():
            return _DIGEST.fullmatch(value) is not None
    return False


def _is_address(value: str) -> bool:
    try:
        host, port = transport.parse_address(value)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port <= PORT_MAX


def _check_addresses(
    value: typing.Any, allowed: _parameters.Addresses, path: str
) -> Findings:
    if not isinstance(value, list) or not value:
        yield Finding(
            path,
            _problems.format_value(value),
            _parameters.describe_allowed(allowed),
        )
        return
    for position, item in enumerate(value):
        item_path = f'{path}[{position}]'
        yield from check_value(item, _parameters.Address(), item_path)
        if item in value[:position]:
            yield Finding(
                item_path,
                _problems.format_value(item),
                'each address only once',
            )


def _check_objects(
    value: typing.Any, allowed: _parameters.Objects, path: str
) -> Findings:
    if not isinstance(value, list) or not value:
        yield Finding(
            path,
            _problems.format_value(value),
            _parameters.describe_allowed(allowed),
        )
        return
    for position, item in enumerate(value):
        item_path = f'{path}[{position}]'
        yield from check_object(item, allowed.settings_class, item_path)
        yield from _check_repeated(value[:position], item, item_path)


def _check_repeated(
    earlier: list[typing.Any], item: typing.Any, path: str
) -> Findings:
    if not isinstance(item, dict):
        return
    for name, item_value in item.items():
        for other in earlier:
            if isinstance(other, dict) and other.get(name) == item_value:
                yield Finding(
                    f'{path}.{name}',
                    _problems.format_value(item_value),
                    'a value that no other item of the list has',
                )
                break
