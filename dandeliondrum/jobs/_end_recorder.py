"""Commits of ends of runs, with ends of many workers in one command."""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import threading
import time

import structlog

from dandeliondrum.jobs import _commands
from dandeliondrum import utils

# Minimum interval between commits. Each costs every controller about as much
# as several ends in it.
COMMIT_INTERVAL_MS = 20

_logger = structlog.get_logger()

# Handles the effects of a batch that was committed.
Effects = collections.abc.Callable[[], object]
# The future of a commit holds its effects, or None if the log refused it.
Committed = concurrent.futures.Future[Effects | None]
# Begins to commit a batch.
Commit = collections.abc.Callable[[tuple[_commands.RunEnd, ...]], Committed]


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
    holds up no other batch. A commit that takes longer than its thread may
    wait is left to a task of the supervisor.

    Example::

        recording = recorder.begin(ends)
        while (is_recorded := recording.wait(timeout_s=0.5)) is None:
            ...
    """

    def __init__(
        self, commit: Commit, supervisor: utils.Supervisor, timeout_ms: int
    ) -> None:
        self._commit = commit
        self._supervisor = supervisor
        self._timeout_s = timeout_ms / 1000
        self._condition = threading.Condition()
        self._next = _Batch([])
        self._committing: _Batch | None = None
        self._begun_s = 0.0
        self._closed = False

    def begin(self, ends: tuple[_commands.RunEnd, ...]) -> 'Recording':
        """Add ends to the next batch, which a thread that waits commits."""
        with self._condition:
            if self._closed:
                return Recording(self, _Batch([], done=True))
            self._next.ends += ends
            return Recording(self, self._next)

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Return whether the ends were committed, once that is known."""
        recording = self.begin(ends)
        while (is_recorded := recording.wait(self._timeout_s)) is None:
            pass
        return is_recorded

    def close(self) -> None:
        """Let no thread wait any longer; what is not committed failed."""
        with self._condition:
            self._closed = True
            self._next.done = True
            if self._committing is not None:
                self._committing.done = True
            self._condition.notify_all()

    def wait(self, batch: _Batch, timeout_s: float) -> bool | None:
        """Wait for a batch, or commit it if no other one is committed."""
        with self._condition:
            self._condition.wait_for(
                lambda: batch.done or self._committing is None, timeout_s
            )
            if batch.done:
                return batch.recorded
            if self._committing is not None:
                return None
            self._committing = batch
        self._gather()
        try:
            committed = self._commit(tuple(batch.ends))
        except BaseException:
            self._finish(batch, recorded=False)
            raise
        if _is_done(committed, timeout_s):
            self._complete(batch, committed)
            return batch.recorded
        complete = functools.partial(self._complete_late, batch, committed)
        try:
            self._supervisor.run('ends', complete)
        except RuntimeError:
            # The supervisor has closed: this process no longer leads.
            self._finish(batch, recorded=False)
            return False
        return None

    def _gather(self) -> None:
        """Wait until the next commit may begin, then close its batch."""
        due_s = self._begun_s + COMMIT_INTERVAL_MS / 1000
        time.sleep(max(0.0, due_s - time.monotonic()))
        self._begun_s = time.monotonic()
        with self._condition:
            self._next = _Batch([], done=self._closed)

    def _complete(self, batch: _Batch, committed: Committed) -> None:
        """Handle the outcome of a commit and its effects."""
        effects: Effects | None = None
        try:
            effects = committed.result()
        finally:
            self._finish(batch, effects is not None)
        if effects is not None:
            effects()

    def _complete_late(
        self, batch: _Batch, committed: Committed, _: threading.Event
    ) -> None:
        left_s = self._begun_s + self._timeout_s - time.monotonic()
        if not _is_done(committed, max(0.0, left_s)):
            _logger.warning('ends not recorded', why='not applied in time')
            self._finish(batch, recorded=False)
            return
        try:
            self._complete(batch, committed)
        except Exception:
            # A task that fails would be run again.
            _logger.exception('commit of ends failed')

    def _finish(self, batch: _Batch, recorded: bool) -> None:
        with self._condition:
            if not batch.done:
                batch.recorded = recorded
                batch.done = True
            self._committing = None
            self._condition.notify_all()


@dataclasses.dataclass(frozen=True, slots=True)
class Recording:
    """Ends that are being committed."""

    _recorder: EndRecorder
    _batch: _Batch

    def wait(self, timeout_s: float) -> bool | None:
        """Return whether they were committed, None if it takes longer."""
        return self._recorder.wait(self._batch, timeout_s)


def _is_done(committed: Committed, timeout_s: float) -> bool:
    try:
        committed.exception(timeout_s)
    except concurrent.futures.TimeoutError:
        return False
    return True
