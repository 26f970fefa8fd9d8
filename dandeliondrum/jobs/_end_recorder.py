"""Commits of ends of runs, with ends of many workers in one command."""

import collections.abc
import dataclasses
import threading

from dandeliondrum.jobs import _commands

# Commits a batch and handles its effects; returns whether it was committed.
Commit = collections.abc.Callable[[tuple[_commands.RunEnd, ...]], bool]


@dataclasses.dataclass(slots=True, eq=False)
class _Batch:
    ends: list[_commands.RunEnd]
    done: bool = False
    recorded: bool = False


class EndRecorder:
    """Commits the ends that several threads record.

    While one thread commits a batch, the ends of the others gather in the
    next one, which one of them commits for all. An end that comes alone is
    committed at once.
    """

    def __init__(self, commit: Commit) -> None:
        self._commit = commit
        self._condition = threading.Condition()
        self._next = _Batch([])
        self._is_committing = False

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Return whether the ends were committed, once that is known."""
        with self._condition:
            batch = self._next
            batch.ends += ends
            while self._is_committing and not batch.done:
                self._condition.wait()
            if batch.done:
                return batch.recorded
            self._is_committing = True
            self._next = _Batch([])
        try:
            batch.recorded = self._commit(tuple(batch.ends))
        finally:
            with self._condition:
                batch.done = True
                self._is_committing = False
                self._condition.notify_all()
        return batch.recorded
