"""Commits of ends of runs, with ends of many workers in one command."""

import collections.abc
import dataclasses
import threading
import time

from dandeliondrum.jobs import _commands

# Minimum interval between commits. Each costs every controller about as much
# as several ends in it.
COMMIT_INTERVAL_MS = 20

# Handles the effects of a batch that was committed.
Effects = collections.abc.Callable[[], object]
# Commits a batch; returns its effects, or None if it was not committed.
Commit = collections.abc.Callable[
    [tuple[_commands.RunEnd, ...]], Effects | None
]


@dataclasses.dataclass(slots=True, eq=False)
class _Batch:
    ends: list[_commands.RunEnd]
    done: bool = False
    recorded: bool = False


class EndRecorder:
    """Commits the ends that several threads record.

    While one thread commits a batch, the ends of the others gather in the
    next one, which one of them commits for all. An end that comes alone is
    committed at once; otherwise commits begin at least ``COMMIT_INTERVAL_MS``
    apart. The thread that committed a batch then handles its effects, which
    holds up no other batch.
    """

    def __init__(self, commit: Commit) -> None:
        self._commit = commit
        self._condition = threading.Condition()
        self._next = _Batch([])
        self._is_committing = False
        self._begun_s = 0.0

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
        self._gather()
        effects: Effects | None = None
        try:
            effects = self._commit(tuple(batch.ends))
            batch.recorded = effects is not None
        finally:
            with self._condition:
                batch.done = True
                self._is_committing = False
                self._condition.notify_all()
        if effects is not None:
            effects()
        return batch.recorded

    def _gather(self) -> None:
        """Wait until the next commit may begin, then close its batch."""
        due_s = self._begun_s + COMMIT_INTERVAL_MS / 1000
        time.sleep(max(0.0, due_s - time.monotonic()))
        self._begun_s = time.monotonic()
        with self._condition:
            self._next = _Batch([])
