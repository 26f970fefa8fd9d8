"""Tests of telling in which fields two objects differ."""

import pytest

from dandeliondrum import json_text


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        ({'a': 1}, {'a': 1}, ()),
        ({'a': 1}, {'a': '1'}, ('a 1 -> "1"',)),
        ({'a': 1}, {'b': True}, ('a 1 -> none', 'b none -> true')),
        ({'a': {}}, {'b': []}, ('a: removed', 'b: added')),
        ({'a': {'b': 1}}, {'a': {'b': 2}}, ('a: b 1 -> 2',)),
        (
            {'a': ['x', 'y']},
            {'a': ['x', 'z', 'w']},
            ('a: 2 added, 1 removed',),
        ),
        ({'a': ['x', 'y']}, {'a': ['y', 'x']}, ('a: another order',)),
        (
            {'a': [{'n': 'x'}, {'n': 'y', 'b': 1}]},
            {'a': [{'n': 'y', 'b': 2}, {'n': 'z'}]},
            ('a "x": removed', 'a "y": b 1 -> 2', 'a "z": added'),
        ),
        ({'a': [{'n': 'x'}, {'n': 'y'}]}, {'a': [{'n': 'y'}, {'n': 'x'}]}, ()),
        (
            {'a': [{'n': 'x'}, {'n': 'x'}]},
            {'a': [{'n': 'x'}]},
            ('a: 0 added, 1 removed',),
        ),
    ],
)
def test_differences(before, after, expected):
    assert json_text.find_differences(before, after, 'n') == expected


def test_items_of_lists_are_not_shown():
    """They may be keys of callers."""
    lines = json_text.find_differences({'k': ['old']}, {'k': ['new']}, 'n')
    assert lines == ('k: 1 added, 1 removed',)
