"""Codec for messages.

A message is a frozen data class registered with :func:`message`. It is
encoded as a msgpack array of its class name and a map. The map keys are the
positions of the fields as one digit in base 36, which is shorter than their
names. Fields with their default value are omitted, and unknown keys are
ignored, so that a later version may append fields. Decoding checks the type
of every value; any invalid input results in a :class:`CodecError`.
"""

import dataclasses
import enum
import functools
import importlib
import typing

import cattrs
from cattrs import gen
import msgpack
from returns import result

MessageClass = typing.TypeVar('MessageClass', bound=type)

_FIELD_KEYS = '0123456789abcdefghijklmnopqrstuvwxyz'
# The package imports them when one of their names is used; the first use may
# be a message of a peer.
_MODULES_IMPORTED_ON_USE = (
    'dandeliondrum.messages._operator_calls',
    'dandeliondrum.messages._worker_calls',
)
_classes_by_tag: dict[str, type] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class CodecError:
    """The reason why bytes can't be decoded as a message."""

    reason: str


def message(cls: MessageClass) -> MessageClass:
    """Register a data class as a message that can be encoded by itself.

    Raises ValueError if a class of the same name is registered already.
    """
    if cls.__name__ in _classes_by_tag:
        raise ValueError(
            f'message class {cls.__name__!r} is already registered'
        )
    _classes_by_tag[cls.__name__] = cls
    return cls


def encode(value: object) -> bytes:
    """Encode a message.

    Raises TypeError if its class is not registered.
    """
    tag = type(value).__name__
    if tag not in _classes_by_tag:
        raise TypeError(f'class {tag!r} is not registered as a message')
    return msgpack.packb([tag, _converter().unstructure(value)])


def decode(data: bytes) -> result.Result[typing.Any, CodecError]:
    """Decode a message, or return the error for invalid bytes."""
    try:
        tag, fields = msgpack.unpackb(data)
        cls = _find_class(tag)
        return result.Success(_converter().structure(fields, cls))
    except Exception as error:
        return result.Failure(CodecError(f'{type(error).__name__}: {error}'))


def _find_class(tag: str) -> type:
    if tag not in _classes_by_tag:
        for module in _MODULES_IMPORTED_ON_USE:
            importlib.import_module(module)
    return _classes_by_tag[tag]


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_unstructure_hook(bytes, lambda value: value)
    for kind in (int, str, bytes, bool):
        converter.register_structure_hook(kind, functools.partial(_check_type))
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
            **_positional_keys(cls),
        ),
    )
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: gen.make_dict_structure_fn(
            cls,
            converter,
            _cattrs_detailed_validation=False,
            **_positional_keys(cls),
        ),
    )
    return converter


def _positional_keys(cls: typing.Any) -> dict[str, typing.Any]:
    names = [field.name for field in dataclasses.fields(cls)]
    return {
        name: gen.override(rename=_FIELD_KEYS[position])
        for position, name in enumerate(names)
    }


def _check_type(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f'expected {kind.__name__}, got {value!r:.80}')
    return value
