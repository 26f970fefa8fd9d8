"""Tells in which fields two JSON objects differ."""

import collections
import collections.abc
import json
import typing

_Object = collections.abc.Mapping[str, typing.Any]
_Lines = collections.abc.Iterator[str]


def find_differences(
    before: _Object, after: _Object, key: str
) -> tuple[str, ...]:
    """Return in which fields two objects differ, one difference a line.

    Objects in a list are identified by their field ``key``, not by their
    place. Of other lists only the number of changed items is told, because
    they may be secrets.

    Example::

        before = {'routes': [{'name': 'a', 'timeout_ms': 5}], 'keys': ['x']}
        after = {'routes': [{'name': 'a', 'timeout_ms': 9}], 'keys': []}
        find_differences(before, after, 'name')
        # ('routes "a": timeout_ms 5 -> 9', 'keys: 0 added, 1 removed')
    """
    return tuple(_compare_objects('', before, after, key))


def _compare_objects(
    place: str, before: _Object, after: _Object, key: str
) -> _Lines:
    for name in dict.fromkeys((*before, *after)):
        yield from _compare_values(
            place, name, (before.get(name), after.get(name)), key
        )


def _compare_values(
    place: str, name: str, values: tuple[typing.Any, typing.Any], key: str
) -> _Lines:
    before, after = values
    if before == after:
        return
    path = f'{place}: {name}' if place else name
    match before, after:
        case dict(), dict():
            yield from _compare_objects(path, before, after, key)
        case list(), list():
            yield from _compare_lists(path, before, after, key)
        case (None, dict() | list()):
            yield f'{path}: added'
        case (dict() | list(), None):
            yield f'{path}: removed'
        case _:
            yield f'{path} {_show(before)} -> {_show(after)}'


def _compare_lists(
    path: str, before: list[typing.Any], after: list[typing.Any], key: str
) -> _Lines:
    entries_before = _by_key(before, key)
    entries_after = _by_key(after, key)
    if entries_before is None or entries_after is None:
        yield _count_changes(path, before, after)
        return
    for name in dict.fromkeys((*entries_before, *entries_after)):
        place = f'{path} "{name}"'
        if name not in entries_before:
            yield f'{place}: added'
        elif name not in entries_after:
            yield f'{place}: removed'
        else:
            yield from _compare_objects(
                place, entries_before[name], entries_after[name], key
            )


def _by_key(
    entries: list[typing.Any], key: str
) -> dict[str, typing.Any] | None:
    """Return the objects by key, None if that does not identify them."""
    by_key = {
        entry[key]: entry
        for entry in entries
        if isinstance(entry, dict) and isinstance(entry.get(key), str)
    }
    return by_key if len(by_key) == len(entries) else None


def _count_changes(
    path: str, before: list[typing.Any], after: list[typing.Any]
) -> str:
    counts_before = collections.Counter(map(_show, before))
    counts_after = collections.Counter(map(_show, after))
    added = (counts_after - counts_before).total()
    removed = (counts_before - counts_after).total()
    if not added and not removed:
        return f'{path}: another order'
    return f'{path}: {added} added, {removed} removed'


def _show(value: object) -> str:
    return 'none' if value is None else json.dumps(value, sort_keys=True)
