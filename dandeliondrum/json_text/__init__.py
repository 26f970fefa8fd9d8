"""Locates names in JSON text, for error messages to operators."""

from dandeliondrum.json_text._names import duplicate_names
from dandeliondrum.json_text._names import find_names
from dandeliondrum.json_text._names import FoundName
from dandeliondrum.json_text._names import line_and_column
from dandeliondrum.json_text._suggest import suggest_name

__all__ = [
    'FoundName',
    'duplicate_names',
    'find_names',
    'line_and_column',
    'suggest_name',
]
