"""Thread that applies committed entries and takes snapshots."""

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
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import utils

APPLY_ENTRIES_MAX = 512
APPLY_BYTES_MAX = 4 * 1024 * 1024

_logger = structlog.get_logger()


class Applier:
    """Applies committed entries to the state machine.

    Its thread is the only one that calls the state machine while the node
    runs.
    """

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
                snapshot = state.snapshot_to_restore
                state.snapshot_to_restore = None
                idle = (
                    snapshot is None
                    and state.commit_index <= state.applied_index
                )
                # Checked under the lock: otherwise the final notification
                # could come between the check and the wait, and be missed.
                if stopping.is_set():
                    return
                if idle:
                    state.applier_condition.wait()
                    continue
                entries = []
                if snapshot is None:
                    entries = self._read_committed()
            if snapshot is not None:
                self.restore(snapshot)
            elif entries:
                self._apply(entries)
                self._take_snapshot_if_due()

    def restore(self, snapshot: _snapshot.Snapshot) -> None:
        """Restore the state machine from a snapshot.

        Proposals up to the snapshot's index fail with an unknown outcome,
        since the results of their commands are not available.
        """
        self._machine.restore(snapshot.data)
        state = self._state
        with state.lock:
            state.applied_index = snapshot.head.index
            covered_indexes = [
                index
                for index in state.pending
                if index <= snapshot.head.index
            ]
            error = state.make_propose_error(
                _errors.ProposeFailure.DEPOSED, never_committed=False
            )
            for index in covered_indexes:
                pending = state.pending.pop(index)
                state.resolve_later(pending.future, result.Failure(error))

    def _read_committed(self) -> list[_records.Entry]:
        state = self._state
        count = min(
            state.commit_index - state.applied_index, APPLY_ENTRIES_MAX
        )
        return state.log.read(state.applied_index + 1, count, APPLY_BYTES_MAX)

    def _apply(self, entries: list[_records.Entry]) -> None:
        values = [self._apply_one(entry) for entry in entries]
        self._applied_bytes += sum(len(entry.record) for entry in entries)
        state = self._state
        resolutions: list[_work_items.Resolution] = []
        with state.lock:
            for entry, value in zip(entries, values, strict=True):
                pending = state.pending.pop(entry.index, None)
                if pending is not None:
                    resolutions.append(
                        _work_items.Resolution(
                            pending.future,
                            self._proposal_result(entry, pending, value),
                        )
                    )
            state.applied_index = entries[-1].index
            self._report_leading()
            for confirmation in state.take_ready_confirmations():
                resolutions.append(
                    _work_items.Resolution(
                        confirmation.future, result.Success(None)
                    )
                )
            if any(
                entry.kind is not _records.EntryKind.COMMAND
                for entry in entries
            ):
                # Only these entries may allow a change of the membership.
                state.membership_condition.notify()
            if state.transfer_target is not None:
                state.wake_peers()
        for outcome in resolutions:
            _work_items.resolve_future(outcome.future, outcome.value)

    def _apply_one(self, entry: _records.Entry) -> typing.Any:
        if entry.kind is not _records.EntryKind.COMMAND:
            return None
        try:
            return self._machine.apply(entry.index, entry.payload)
        except Exception as error:
            _logger.exception('state machine failed', index=entry.index)
            raise utils.InvariantError(
                f'the state machine failed to apply entry {entry.index}: '
                f'{error!r}'
            ) from error

    def _proposal_result(
        self,
        entry: _records.Entry,
        pending: _progress.PendingProposal,
        value: typing.Any,
    ) -> _work_items.ProposeResult:
        if pending.term == entry.term:
            return result.Success(value)
        return result.Failure(
            self._state.make_propose_error(
                _errors.ProposeFailure.DEPOSED, never_committed=True
            )
        )

    def _report_leading(self) -> None:
        state = self._state
        ready = 0 < state.term_start_index <= state.applied_index
        if state.is_leader() and ready and not state.leadership_reported:
            state.leadership_reported = True
            state.role_events.put(
                _work_items.StartedLeading(messages.Term(state.term))
            )

    def _take_snapshot_if_due(self) -> None:
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
            if term is None or state.snapshot_to_restore is not None:
                return
        head = _snapshot.SnapshotHead(index, term, membership)
        snapshot = _snapshot.Snapshot(head, self._machine.snapshot())
        try:
            self._snapshots.save(snapshot)
        except OSError as error:
            _logger.error('could not store snapshot', why=str(error))
            return
        with state.lock:
            previous_index = state.snapshot_index
            state.snapshot_index = max(index, previous_index)
            state.history.forget_before(previous_index)
        state.enqueue_work(_work_items.Compact(previous_index))
