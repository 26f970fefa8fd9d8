"""Turns messages into bytes and back.

A message is a frozen data class that was registered with :func:`message`.
On the wire it is a msgpack pair of its class name and a map whose keys are
the positions of its fields in base 36, so that names cost nothing, a field
that has its default is left out, and a field that a later version appends is
ignored by an earlier one. Decoding checks every type; whatever does not fit
is a :class:`CodecError`, also for bytes that are no message at all.
"""

import dataclasses
import enum
import functools
import typing

import cattrs
from cattrs import gen
import msgpack
from returns import result

MessageClass = typing.TypeVar('MessageClass', bound=type)

_DIGITS = '0123456789abcdefghijklmnopqrstuvwxyz'
_classes_by_tag: dict[str, type] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class CodecError:
    """Bytes that are not a message, and why."""

    reason: str


def message(cls: MessageClass) -> MessageClass:
    """Register a data class as a message that may travel alone."""
    if cls.__name__ in _classes_by_tag:
        raise ValueError(f'message {cls.__name__} is registered twice')
    _classes_by_tag[cls.__name__] = cls
    return cls


def encode(value: object) -> bytes:
    """Return the bytes of a registered message."""
    tag = type(value).__name__
    if tag not in _classes_by_tag:
        raise TypeError(f'{tag} is not a registered message')
    return msgpack.packb([tag, _converter().unstructure(value)])


def decode(data: bytes) -> result.Result[typing.Any, CodecError]:
    """Return the message that the bytes hold."""
    try:
        tag, fields = msgpack.unpackb(data)
        cls = _classes_by_tag[tag]
        return result.Success(_converter().structure(fields, cls))
    except Exception as error:
        return result.Failure(CodecError(f'{type(error).__name__}: {error}'))


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_unstructure_hook(bytes, lambda value: value)
    for kind in (int, str, bytes, bool):
        converter.register_structure_hook(kind, functools.partial(_check))
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        lambda value, kind: kind(value),
    )
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: gen.make_dict_unstructure_fn(
            cls,
            converter,
            _cattrs_omit_if_default=True,
            **_short_keys(cls),
        ),
    )
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: gen.make_dict_structure_fn(
            cls,
            converter,
            _cattrs_detailed_validation=False,
            **_short_keys(cls),
        ),
    )
    return converter


def _short_keys(cls: typing.Any) -> dict[str, typing.Any]:
    names = [field.name for field in dataclasses.fields(cls)]
    return {
        name: gen.override(rename=_DIGITS[position])
        for position, name in enumerate(names)
    }


def _check(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f'{kind.__name__} expected, found {value!r:.80}')
    return value
