"""JSON with the field names of the messages' data classes.

Unknown fields, missing fields and wrong types are refused with the path of
the field. Bytes travel as base64 text, enums as their values.
"""

import base64
import dataclasses
import enum
import functools
import typing

import cattrs
from cattrs import gen
from returns import result

from dandeliondrum.gateway import _http

Value = typing.TypeVar('Value')
# Metadata of a field whose name in JSON is another one.
JSON_NAME = 'json_name'


def to_plain(value: object) -> typing.Any:
    """Return maps, lists and plain values that JSON can hold."""
    return _converter().unstructure(value)


def from_plain(
    data: typing.Any, kind: type[Value]
) -> result.Result[Value, _http.Problem]:
    """Return the data class that the maps describe, or what is wrong."""
    try:
        return result.Success(_converter().structure(data, kind))
    except Exception as error:
        lines = cattrs.transform_error(error, format_exception=_explain)
        return result.Failure(
            _http.Problem(400, 'bad_request', '; '.join(lines))
        )


def _explain(error: BaseException, kind: type | None) -> str:
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
    converter.register_structure_hook(bytes, _from_base64)
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _check)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: _checked_class(cls, converter),
    )
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _enum_member,
    )
    return converter


def _checked_class(
    cls: typing.Any, converter: cattrs.Converter
) -> typing.Callable[[typing.Any, typing.Any], typing.Any]:
    renamed: dict[str, typing.Any] = {
        field.name: gen.override(rename=field.metadata[JSON_NAME])
        for field in dataclasses.fields(cls)
        if JSON_NAME in field.metadata
    }
    structure = gen.make_dict_structure_fn(
        cls, converter, _cattrs_forbid_extra_keys=True, **renamed
    )

    def checked(value: typing.Any, kind: typing.Any) -> typing.Any:
        if not isinstance(value, dict):
            raise TypeError(f'an object is expected, found {value!r:.40}')
        return structure(value, kind)

    return checked


def _check(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f'{kind.__name__} expected, found {value!r:.40}')
    return value


def _enum_member(value: object, kind: type[enum.Enum]) -> enum.Enum:
    for member in kind:
        if member.value == value:
            return member
    allowed = ', '.join(str(member.value) for member in kind)
    raise ValueError(f'{value!r:.40} is none of {allowed}')


def _from_base64(value: object, _kind: type) -> bytes:
    if not isinstance(value, str):
        raise TypeError(f'base64 text expected, found {value!r:.40}')
    return base64.b64decode(value, validate=True)
