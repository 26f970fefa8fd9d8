"""Typed access to the fields of decoded JSON objects."""

import collections.abc
import contextlib
import json
import math
import re
import typing

# Integers are stored and sent between processes with at most 64 bits.
INTEGER_MAX = 2**63 - 1
_INTEGER_CHARS_MAX = len(str(-INTEGER_MAX))
# Far above the nesting of any message of the platform.
NESTING_MAX = 32

_STRING_OR_BRACKET = re.compile(
    r'"(?:[^"\\]|\\.)*(?:"|\\?\Z)|[\[\]{}]', re.DOTALL
)
_LONE_SURROGATE = re.compile('[\ud800-\udfff]')


class FieldError(ValueError):
    """A field is missing or has the wrong type or value.

    ``path`` names the field, as in ``Routes[1].Host``; it is empty if the
    error is about the whole object.
    """

    def __init__(self, detail: str, path: str = '') -> None:
        super().__init__(detail)
        self.path = path


Body = collections.abc.Mapping[str, typing.Any]

_Value = typing.TypeVar('_Value')


@contextlib.contextmanager
def within(path: str) -> collections.abc.Iterator[None]:
    """Let the paths of errors begin with that of the object they are in."""
    try:
        yield
    except FieldError as error:
        error.path = f'{path}.{error.path}' if error.path else path
        raise


def parse_object(data: bytes | str) -> Body:
    """Parse a JSON object in UTF-8; raises FieldError for anything else.

    An integer that is too long to be valid is read as infinite, so that it
    invalidates its own field only.
    """
    value = _parse(_decode(data))
    if _is_nested_too_deeply(value):
        raise FieldError(f'more than {NESTING_MAX} levels of nesting')
    return as_object(value, 'body')


def parse_shallow_object(data: bytes | str) -> Body:
    """Parse like parse_object, with null for what is nested too deeply.

    For objects with lists of entries that are independent of each other.
    """
    text = _decode(data)
    try:
        value = _DECODER.decode(text)
    except RecursionError:
        value = _parse(_cut_nesting(text))
    except ValueError as error:
        raise FieldError(f'not JSON: {error}') from error
    if _is_nested_too_deeply(value):
        value = _parse(_cut_nesting(text))
    return as_object(value, 'body')


def _decode(data: bytes | str) -> str:
    try:
        return data if isinstance(data, str) else data.decode()
    except UnicodeDecodeError as error:
        raise FieldError(f'not UTF-8: {error}') from error


def _parse(text: str) -> typing.Any:
    try:
        return _DECODER.decode(text)
    except (ValueError, RecursionError) as error:
        raise FieldError(f'not JSON: {error}') from error


def _parse_integer(text: str) -> int | float:
    # Python refuses to convert more than 4,300 digits.
    return int(text) if len(text) <= _INTEGER_CHARS_MAX else math.inf


# Making a decoder takes as long as decoding a short body.
_DECODER = json.JSONDecoder(parse_int=_parse_integer)


def _is_nested_too_deeply(value: typing.Any) -> bool:
    """Return whether there are more than NESTING_MAX levels of nesting.

    How many the parser takes depends on how deep the stack of the caller is.
    """
    level = [value]
    for _ in range(NESTING_MAX + 1):
        level = [
            child
            for parent in level
            if isinstance(parent, dict | list)
            for child in (
                parent.values() if isinstance(parent, dict) else parent
            )
            if isinstance(child, dict | list)
        ]
        if not level:
            return False
    return True


def _cut_nesting(text: str) -> str:
    """Replace what is nested more than NESTING_MAX levels deep by null."""
    parts = []
    depth = kept_until = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in '[{':
            depth += 1
            if depth == NESTING_MAX + 1:
                parts += [text[kept_until : match.start()], 'null']
        elif match[0] in ']}':
            depth -= 1
            if depth == NESTING_MAX:
                kept_until = match.end()
    parts.append(text[kept_until:] if depth <= NESTING_MAX else '')
    return ''.join(parts)


def is_storable(text: str) -> bool:
    """Return whether a text can be stored: JSON allows lone surrogates."""
    return _LONE_SURROGATE.search(text) is None


def without_surrogates(body: Body) -> Body:
    """Return the object with a question mark for each lone surrogate."""
    encoded = json.dumps(body, ensure_ascii=False)
    if is_storable(encoded):
        return body
    return json.loads(encoded.encode('utf-8', 'replace'))


def storable_text(body: Body, name: str, default: str | None = None) -> str:
    """Return a string field that can be stored."""
    value = text(body, name, default)
    if not is_storable(value):
        raise FieldError(f'{name} has an unpaired surrogate', name)
    return value


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
        raise FieldError(f'{name} is too large', name)
    return value


def number(body: Body, name: str, default: float | None = None) -> float:
    """Return a finite numeric field as a float."""
    value = _get(body, name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise FieldError(f'{name} must be a number', name)
    # Not only Infinity and NaN: 1e400 is read as infinite, too.
    if not math.isfinite(value) or abs(value) > INTEGER_MAX:
        raise FieldError(f'{name} is too large or not finite', name)
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
        raise FieldError(f'{name} must be {kind.__name__}', name)
    return value


def _get(body: Body, name: str, default: typing.Any) -> typing.Any:
    value = body.get(name, default)
    if value is None:
        raise FieldError(f'{name} is missing', name)
    return value
