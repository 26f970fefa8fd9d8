"""Checked reading of fields from decoded JSON."""

import collections.abc
import json
import typing


class FieldError(ValueError):
    """A body that lacks a field or has one of another type."""


Body = collections.abc.Mapping[str, typing.Any]

_Value = typing.TypeVar('_Value')


def parse_object(data: bytes | str) -> Body:
    """Return a JSON object; raises FieldError for anything else."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise FieldError(f'not JSON: {error}') from error
    return as_object(value, 'body')


def as_object(value: object, name: str) -> Body:
    """Return a value that has to be an object."""
    if not isinstance(value, dict):
        raise FieldError(f'{name} must be an object')
    return value


def text(body: Body, name: str, default: str | None = None) -> str:
    """Return a string field; without a default it has to be there."""
    return _typed(body, name, str, default)


def integer(body: Body, name: str, default: int | None = None) -> int:
    """Return a whole number field."""
    return _typed(body, name, int, default)


def number(body: Body, name: str, default: float | None = None) -> float:
    """Return a number field as a float."""
    value = _find(body, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f'{name} must be a number')
    return float(value)


def flag(body: Body, name: str) -> bool:
    """Return a field that is true or false, false where it is missing."""
    return _typed(body, name, bool, False)


def array(
    body: Body, name: str, default: list[typing.Any] | None = None
) -> list[typing.Any]:
    """Return a list field."""
    return _typed(body, name, list, default)


def child(body: Body, name: str) -> Body:
    """Return a field that is an object."""
    return as_object(_find(body, name, None), name)


def _typed(
    body: Body, name: str, kind: type[_Value], default: _Value | None
) -> _Value:
    value = _find(body, name, default)
    if type(value) is not kind:
        raise FieldError(f'{name} must be {kind.__name__}')
    return value


def _find(body: Body, name: str, default: typing.Any) -> typing.Any:
    value = body.get(name, default)
    if value is None:
        raise FieldError(f'{name} is missing')
    return value
