"""Locates names in JSON text, for error messages to operators."""

from dandeliondrum.json_text._names import duplicates
from dandeliondrum.json_text._names import find_names
from dandeliondrum.json_text._names import FoundName
from dandeliondrum.json_text._names import line_and_column
from dandeliondrum.json_text._suggest import known_or_nearest

__all__ = [
    'FoundName',
    'duplicates',
    'find_names',
    'known_or_nearest',
    'line_and_column',
]
