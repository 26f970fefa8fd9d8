"""Locates and compares fields of JSON text, for messages to operators."""

from dandeliondrum.json_text._differences import find_differences
from dandeliondrum.json_text._names import duplicate_names
from dandeliondrum.json_text._names import find_names
from dandeliondrum.json_text._names import FoundName
from dandeliondrum.json_text._names import line_and_column
from dandeliondrum.json_text._positions import Positions
from dandeliondrum.json_text._suggest import find_nearest_name
from dandeliondrum.json_text._suggest import suggest_name

__all__ = [
    'FoundName',
    'Positions',
    'duplicate_names',
    'find_differences',
    'find_names',
    'find_nearest_name',
    'line_and_column',
    'suggest_name',
]
