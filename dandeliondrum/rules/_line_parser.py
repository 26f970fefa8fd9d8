"""Parses one line of a rules file."""

import collections.abc
import dataclasses
import functools
import json
import re
import typing

from returns import result

from dandeliondrum import json_text
from dandeliondrum.rules import _checks
from dandeliondrum.rules import _model
from dandeliondrum.rules import _rule_kinds

LINES_CACHED = 16_384
COMMENT = '//'
VALUE_CHARACTERS_MAX = 60

_ASKED_BY = re.compile(r'asked\s+by\s*:?\s*', re.IGNORECASE)
_LETTER = re.compile(r'[^\W\d_]')


@dataclasses.dataclass(frozen=True, slots=True)
class LineProblem:
    """A problem in a line; columns count from 1."""

    column: int
    detail: str


LineResult = result.Result[_model.Rule | None, tuple[LineProblem, ...]]


class _DuplicateNameError(Exception):
    """An object has a duplicate name."""


class _ConstantError(Exception):
    """A constant such as NaN, which JSON does not allow."""


@functools.lru_cache(LINES_CACHED)
def read(line: str) -> LineResult:
    """Return the rule on a line, or None if it is blank or a comment."""
    stripped = line.strip()
    if not stripped or stripped.startswith(COMMENT):
        return result.Success(None)
    start = len(line) - len(line.lstrip())
    if line[start] != '{':
        return _problem(start, 'a rule begins with "{", a comment with "//"')
    try:
        fields, end = _DECODER.raw_decode(line, start)
    except _DuplicateNameError:
        return _duplicate_names(line)
    except json.JSONDecodeError as error:
        return _problem(error.pos, f'not JSON: {error.msg}')
    except (_ConstantError, ValueError, RecursionError) as error:
        return _problem(start, f'not JSON: {error}')
    return _check(line, fields, end)


class _NameColumns:
    """The columns of the names in a line, computed on first use."""

    def __init__(self, line: str) -> None:
        self._line = line

    def of(self, path: str) -> int:
        """Return the column of a name; 1 if it is written with escapes."""
        return self._columns.get(path, 1)

    @functools.cached_property
    def _columns(self) -> dict[str, int]:
        names = json_text.find_names(self._line)
        return {name.path: name.column for name in names}


def _check(line: str, fields: dict[str, typing.Any], end: int) -> LineResult:
    problems = list(_check_comment(line, end))
    problems += _check_kind(fields, _NameColumns(line))
    if problems:
        return result.Failure(tuple(problems))
    kind = _rule_kinds.KINDS[fields['rule']]
    return result.Success(kind.build(fields, _asked_by(line, end)))


def _check_comment(
    line: str, end: int
) -> collections.abc.Iterator[LineProblem]:
    rest = line[end:].strip()
    column = len(line) - len(line[end:].lstrip()) + 1
    if not rest:
        yield LineProblem(
            column, 'no comment that names who asked for the rule'
        )
    elif not rest.startswith(COMMENT):
        yield LineProblem(column, 'only a "//" comment may follow a rule')
    elif not _LETTER.search(_asked_by(line, end)):
        yield LineProblem(column, 'the comment does not name who asked')


def _asked_by(line: str, end: int) -> str:
    comment = line[end:].strip().removeprefix(COMMENT).strip()
    return _ASKED_BY.sub('', comment, count=1)


def _check_kind(
    fields: dict[str, typing.Any],
    columns: '_NameColumns',
) -> collections.abc.Iterator[LineProblem]:
    if 'rule' not in fields:
        yield LineProblem(
            1,
            'field "rule" is missing; it takes '
            + ', '.join(_rule_kinds.KINDS),
        )
        return
    name = fields['rule']
    if not isinstance(name, str) or name not in _rule_kinds.KINDS:
        yield LineProblem(
            columns.of('rule'),
            f'unknown rule {_format_value(name)}; '
            + json_text.suggest_name(str(name), _rule_kinds.KINDS.keys()),
        )
        return
    members = {key: fields[key] for key in fields if key != 'rule'}
    yield from _check_fields(
        members, _rule_kinds.KINDS[name].fields, columns, ''
    )


def _check_fields(
    found: dict[str, typing.Any],
    declared: tuple[_checks.Field, ...],
    columns: '_NameColumns',
    prefix: str,
) -> collections.abc.Iterator[LineProblem]:
    by_name = {field.name: field for field in declared}
    for name, value in found.items():
        path = prefix + name
        field = by_name.get(name)
        if field is None:
            nearest = json_text.suggest_name(name, by_name.keys())
            yield LineProblem(
                columns.of(path),
                f'unknown field {_format_value(path)}; {nearest}',
            )
            continue
        allowed = field.check(value)
        if allowed:
            yield LineProblem(
                columns.of(path),
                f'field "{path}": found {_format_value(value)}, '
                f'allowed is {allowed}',
            )
        elif field.members:
            yield from _check_fields(value, field.members, columns, f'{path}.')
    for field in declared:
        if field.required and field.name not in found:
            yield LineProblem(1, f'field "{prefix}{field.name}" is missing')


def _duplicate_names(line: str) -> LineResult:
    repeated = json_text.duplicate_names(json_text.find_names(line))
    return result.Failure(
        tuple(
            LineProblem(name.column, f'field "{name.path}" is given twice')
            for name in repeated
        )
        or (LineProblem(1, 'a field is given twice'),)
    )


def _problem(offset: int, detail: str) -> LineResult:
    return result.Failure((LineProblem(offset + 1, detail),))


def _format_value(value: typing.Any) -> str:
    text = json.dumps(value)
    if len(text) <= VALUE_CHARACTERS_MAX:
        return text
    return text[:VALUE_CHARACTERS_MAX] + '...'


def _reject_duplicates(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise _DuplicateNameError
    return fields


def _reject_constant(name: str) -> typing.NoReturn:
    raise _ConstantError(f'{name} is no number')


_DECODER = json.JSONDecoder(
    object_pairs_hook=_reject_duplicates, parse_constant=_reject_constant
)
