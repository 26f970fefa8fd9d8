"""Typed access to the fields of decoded JSON objects."""

import collections.abc
import json
import math
import typing

# Integers are stored and sent between processes with at most 64 bits.
INTEGER_MAX = 2**63 - 1


class FieldError(ValueError):
    """A field is missing or has the wrong type or value."""


Body = collections.abc.Mapping[str, typing.Any]

_Value = typing.TypeVar('_Value')


def parse_object(data: bytes | str) -> Body:
    """Parse a JSON object; raises FieldError for anything else."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f'not JSON: {error}') from error
    return as_object(value, 'body')


def as_object(value: object, name: str) -> Body:
    """Return the value as an object; raises FieldError if it is not one."""
    if not isinstance(value, dict):
        raise FieldError(f'{name} must be an object')
    return value


def text(body: Body, name: str, default: str | None = None) -> str:
    """Return a string field; it is required unless a default is given."""
    return _get_typed(body, name, str, default)


def integer(body: Body, name: str, default: int | None = None) -> int:
    """Return an integer field of at most 64 bits."""
    value = _get_typed(body, name, int, default)
    if abs(value) > INTEGER_MAX:
        raise FieldError(f'{name} is too large')
    return value


def number(body: Body, name: str, default: float | None = None) -> float:
    """Return a finite numeric field as a float."""
    value = _get(body, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f'{name} must be a number')
    # Not only Infinity and NaN: 1e400 is read as infinite, too.
    if not math.isfinite(value) or abs(value) > INTEGER_MAX:
        raise FieldError(f'{name} is too large or not finite')
    return float(value)


def boolean(body: Body, name: str) -> bool:
    """Return a boolean field; false if it is missing."""
    return _get_typed(body, name, bool, False)


def array(
    body: Body, name: str, default: list[typing.Any] | None = None
) -> list[typing.Any]:
    """Return a list field."""
    return _get_typed(body, name, list, default)


def object_field(body: Body, name: str) -> Body:
    """Return a required object field."""
    return as_object(_get(body, name, None), name)


def _get_typed(
    body: Body, name: str, kind: type[_Value], default: _Value | None
) -> _Value:
    value = _get(body, name, default)
    if type(value) is not kind:
        raise FieldError(f'{name} must be {kind.__name__}')
    return value


def _get(body: Body, name: str, default: typing.Any) -> typing.Any:
    value = body.get(name, default)
    if value is None:
        raise FieldError(f'{name} is missing')
    return value
