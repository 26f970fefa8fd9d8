"""The thread that applies what is committed, and takes snapshots."""

import threading
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import utils

APPLY_ENTRIES_MAX = 512
APPLY_BYTES_MAX = 4 * 1024 * 1024

_logger = structlog.get_logger()


class Applier:
    """Feeds the state machine; the only thread that calls it."""

    def __init__(
        self,
        state: _state.NodeState,
        machine: _interfaces.StateMachine,
        snapshots: _snapshot.SnapshotStore,
    ) -> None:
        self._state = state
        self._machine = machine
        self._snapshots = snapshots
        self._applied_bytes = 0

    def run(self, stopping: threading.Event) -> None:
        """Apply entries until the node closes."""
        state = self._state
        while not stopping.is_set():
            with state.lock:
                snapshot = state.restore
                state.restore = None
                idle = (
                    snapshot is None
                    and state.commit_index <= state.applied_index
                )
                # Asked under the lock, or the last wake could be missed.
                if stopping.is_set():
                    return
                if idle:
                    state.applier_wakes.wait()
                    continue
                entries = []
                if snapshot is None:
                    entries = self._read()
            if snapshot is not None:
                self.restore(snapshot)
            elif entries:
                self._apply(entries)
                self._snapshot_if_due()

    def restore(self, snapshot: _snapshot.Snapshot) -> None:
        """Replace the machine's state by a snapshot."""
        self._machine.restore(snapshot.data)
        state = self._state
        with state.lock:
            state.applied_index = snapshot.head.index
            passed = [
                index
                for index in state.pending
                if index <= snapshot.head.index
            ]
            error = state.error(_errors.ProposeFailure.DEPOSED, not_done=False)
            for index in passed:
                pending = state.pending.pop(index)
                state.resolve(pending.future, result.Failure(error))

    def _read(self) -> list[_records.Entry]:
        state = self._state
        count = min(
            state.commit_index - state.applied_index, APPLY_ENTRIES_MAX
        )
        return state.log.read(state.applied_index + 1, count, APPLY_BYTES_MAX)

    def _apply(self, entries: list[_records.Entry]) -> None:
        values = [self._apply_one(entry) for entry in entries]
        self._applied_bytes += sum(len(entry.record) for entry in entries)
        state = self._state
        settled: list[_works.Outcome] = []
        with state.lock:
            for entry, value in zip(entries, values, strict=True):
                pending = state.pending.pop(entry.index, None)
                if pending is not None:
                    settled.append(
                        _works.Outcome(
                            pending.future,
                            self._outcome(entry, pending, value),
                        )
                    )
            state.applied_index = entries[-1].index
            self._announce_role()
            for confirmation in state.settle_confirmations():
                settled.append(
                    _works.Outcome(confirmation.future, result.Success(None))
                )
            state.steward_wakes.notify()
            if state.transfer_target is not None:
                state.peers_wake.notify_all()
        for outcome in settled:
            _works.settle(outcome.future, outcome.value)

    def _apply_one(self, entry: _records.Entry) -> typing.Any:
        if entry.kind is not _records.EntryKind.COMMAND:
            return None
        try:
            return self._machine.apply(entry.index, entry.payload)
        except Exception as error:
            _logger.exception('command failed', index=entry.index)
            raise utils.InvariantError(
                f'the state machine failed at entry {entry.index}: {error!r}'
            ) from error

    def _outcome(
        self,
        entry: _records.Entry,
        pending: _progress.Pending,
        value: typing.Any,
    ) -> _works.ProposeResult:
        if pending.term == entry.term:
            return result.Success(value)
        return result.Failure(
            self._state.error(_errors.ProposeFailure.DEPOSED, not_done=True)
        )

    def _announce_role(self) -> None:
        state = self._state
        ready = 0 < state.term_start_index <= state.applied_index
        if state.leads() and ready and not state.reported_leading:
            state.reported_leading = True
            state.events.put(_works.Leading(messages.Term(state.term)))

    def _snapshot_if_due(self) -> None:
        state = self._state
        index = state.applied_index
        entries_count = index - state.snapshot_index
        if (
            entries_count < state.options.snapshot_every_entries
            and self._applied_bytes < _options.SNAPSHOT_EVERY_BYTES
        ):
            return
        self._applied_bytes = 0
        with state.lock:
            term = state.log.term_at(index)
            membership = state.history.as_of(index)
            if term is None or state.restore is not None:
                return
        head = _snapshot.SnapshotHead(index, term, membership)
        snapshot = _snapshot.Snapshot(head, self._machine.snapshot())
        try:
            self._snapshots.save(snapshot)
        except OSError as error:
            _logger.error('snapshot not stored', why=str(error))
            return
        with state.lock:
            previous_index = state.snapshot_index
            state.snapshot_index = max(index, previous_index)
            state.history.forget_before(previous_index)
        state.put(_works.Compact(previous_index))
