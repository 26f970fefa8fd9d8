"""Problems found in a settings file."""

import dataclasses
import json
import typing

VALUE_CHARACTERS_MAX = 80


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsProblem:
    """A problem: its place, the value found and the values allowed.

    ``line`` counts from 1; it is 0 when the file could not be read.
    """

    file: str
    line: int
    field: str
    found: str
    allowed: str

    def __str__(self) -> str:
        where = f'{self.file}:{self.line}' if self.line else self.file
        field = f'{self.field}: ' if self.field else ''
        return f'{where}: {field}found {self.found}, allowed: {self.allowed}'


def format_value(value: typing.Any) -> str:
    """Return a value as JSON, truncated if it is long."""
    text = json.dumps(value, default=str)
    if len(text) <= VALUE_CHARACTERS_MAX:
        return text
    return text[:VALUE_CHARACTERS_MAX] + '...'
