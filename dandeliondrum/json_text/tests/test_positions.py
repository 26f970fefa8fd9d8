"""Tests of locating fields by their paths."""

import time

import pytest

from dandeliondrum import json_text

TEXT = '{"a": [{"b": 1,\n "c": ["x", "y"]}, 7, []],\n "d": {}}'


@pytest.mark.parametrize(
    ('path', 'expected'),
    [
        ('a', (1, 2)),
        ('a[0].b', (1, 9)),
        ('a[0].c[1]', (2, 2)),
        ('a[0]', (1, 9)),
        ('a[0].missing', (1, 9)),
        ('a[1]', (1, 2)),
        ('d.missing', (3, 2)),
        ('missing', (1, 1)),
        ('', (1, 1)),
    ],
)
def test_a_field_or_the_nearest_one_is_found(path, expected):
    assert json_text.Positions(TEXT).of(path) == expected


@pytest.mark.parametrize('separator', [' ', '\n'])
def test_the_time_grows_with_the_length_of_the_text(separator):
    """To count lines from the start for each name would be quadratic."""
    objects = f',{separator}'.join(['{"b": 1, "c": 2}'] * 50_000)
    started = time.monotonic()
    positions = json_text.Positions(f'{{"a": [{objects}]}}')
    assert positions.of('a[49999].c') > (1, 9)
    assert time.monotonic() - started < 30
