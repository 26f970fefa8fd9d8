"""Conversion between data classes and JSON with the same field names.

Unknown fields, missing fields and wrong types are rejected with the path of
the field. Bytes are encoded as base64 text and enums as their values.
"""

import base64
import dataclasses
import enum
import functools
import re
import typing

import cattrs
from cattrs import gen
from returns import result

from dandeliondrum.gateway import _http

Value = typing.TypeVar('Value')
# Key of the field metadata that holds a different name in JSON.
JSON_NAME = 'json_name'
INTEGER_MAX = 2**63 - 1

_LONE_SURROGATE = re.compile('[\ud800-\udfff]')


def unstructure(value: object) -> typing.Any:
    """Convert a value to dicts, lists and scalars for JSON."""
    return _converter().unstructure(value)


def structure(
    data: typing.Any, kind: type[Value]
) -> result.Result[Value, _http.Problem]:
    """Convert decoded JSON to a data class; report all errors found."""
    try:
        return result.Success(_converter().structure(data, kind))
    except Exception as error:
        lines = cattrs.transform_error(error, format_exception=_describe_error)
        return result.Failure(
            _http.Problem(400, 'bad_request', '; '.join(lines))
        )


def _describe_error(error: BaseException, kind: type | None) -> str:
    match error:
        case KeyError():
            return f'field {error.args[0]!r} is missing'
        case cattrs.ForbiddenExtraKeysError():
            names = ', '.join(sorted(map(str, error.extra_fields)))
            return f'unknown fields: {names}'
        case ValueError() | TypeError():
            return str(error)
    return f'{type(error).__name__} for {kind}'


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode()
    )
    converter.register_structure_hook(bytes, _structure_bytes)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _check_type)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: _dataclass_hook(cls, converter),
    )
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _structure_enum,
    )
    return converter


def _dataclass_hook(
    cls: typing.Any, converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    renamed: dict[str, typing.Any] = {
        field.name: gen.override(rename=field.metadata[JSON_NAME])
        for field in dataclasses.fields(cls)
        if JSON_NAME in field.metadata
    }
    structure_fields = gen.make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True, **renamed
    )

    def structure_dataclass(value: typing.Any, kind: typing.Any) -> typing.Any:
        if not isinstance(value, dict):
            raise TypeError(f'object expected, found {value!r:.40}')
        return structure_fields(value, kind)

    return structure_dataclass


def _check_type(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f'{kind.__name__} expected, found {value!r:.40}')
    # Neither could be encoded in a message.
    if isinstance(value, int) and abs(value) > INTEGER_MAX:
        raise ValueError('the number has more than 64 bits')
    if isinstance(value, str) and _LONE_SURROGATE.search(value):
        raise ValueError('the text has an unpaired surrogate')
    return value


def _structure_enum(value: object, kind: type[enum.Enum]) -> enum.Enum:
    for member in kind:
        if member.value == value:
            return member
    allowed = ', '.join(str(member.value) for member in kind)
    raise ValueError(f'{value!r:.40} is not one of {allowed}')


def _structure_bytes(value: object, _kind: type) -> bytes:
    if not isinstance(value, str):
        raise TypeError(f'base64 text expected, found {value!r:.40}')
    return base64.b64decode(value, validate=True)
