"""Tests of locating names in JSON text and of suggestions."""

import pytest

from dandeliondrum import json_text


def found_names(text):
    return [
        (name.path, name.line, name.column)
        for name in json_text.find_names(text)
    ]


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('{"a": 1}', [('a', 1, 2)]),
        (
            '{"a": {"b": 1}, "c": 2}',
            [('a', 1, 2), ('a.b', 1, 8), ('c', 1, 17)],
        ),
        ("{a: 1, 'b': 2}", [('a', 1, 2), ('b', 1, 8)]),
        ('{"a": "b: {c: 1}"}', [('a', 1, 2)]),
        (r'{"a": "\"", "b": 1}', [('a', 1, 2), ('b', 1, 13)]),
        ('{// "x": 1\n "a": 1}', [('a', 2, 2)]),
        ('{/* "x": 1,\n*/"a": 1}', [('a', 2, 3)]),
        ('{"a": "//", "b": 1}', [('a', 1, 2), ('b', 1, 13)]),
        (
            '{"l": [{"a": 1}, 7, {"a": [[{"b": 2}]]}]}',
            [
                ('l', 1, 2),
                ('l[0].a', 1, 9),
                ('l[2].a', 1, 22),
                ('l[2].a[0][0].b', 1, 30),
            ],
        ),
        ('', []),
        ('}}]]{"a": 1', [('a', 1, 6)]),
        ('{"a" 1}', []),
    ],
)
def test_finds_names(text, expected):
    assert found_names(text) == expected


def test_duplicates_excludes_first_occurrences():
    text = '{"a": 1, "b": {"a": 2}, "a": 3,\n "a": 4}'
    repeated = json_text.duplicate_names(json_text.find_names(text))
    assert [(name.path, name.line) for name in repeated] == [
        ('a', 1),
        ('a', 2),
    ]


def test_lines_and_columns_count_from_1():
    assert json_text.line_and_column('ab\ncd', 0) == (1, 1)
    assert json_text.line_and_column('ab\ncd', 4) == (2, 2)


def test_suggestions():
    known = ['share', 'memory_mb']
    nearest = json_text.suggest_name('memory_gb', known)
    assert nearest == 'did you mean "memory_mb"?'
    no_match = json_text.suggest_name('zzz', known)
    assert no_match == 'known are memory_mb, share'
