"""Reception of snapshots in parts, in the writer thread."""

import structlog

from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state

_logger = structlog.get_logger()


class SnapshotReceiver:
    """Receives a leader's snapshot and replaces the log with it."""

    def __init__(
        self, state: _state.NodeState, snapshots: _snapshot.SnapshotStore
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._receiving_index = 0
        self._received_bytes = 0

    def receive_part(
        self, message: _messages.InstallSnapshot
    ) -> _messages.SnapshotReply:
        """Store one part, and install the snapshot after the last one.

        The caller has checked that the part is from the leader of the current
        term. Raises OSError when a write to the disk fails.
        """
        if message.offset_bytes == 0:
            self._receiving_index = message.index
            self._received_bytes = 0
        expected = (self._receiving_index, self._received_bytes)
        if (message.index, message.offset_bytes) != expected:
            return self.make_reply(_messages.Outcome.MISMATCH)
        with self._state.disk_work():
            self._snapshots.write_part(message.offset_bytes, message.data)
        self._received_bytes += len(message.data)
        if self._received_bytes < message.length_bytes:
            return self.make_reply(_messages.Outcome.STORED)
        return self._finish()

    def _finish(self) -> _messages.SnapshotReply:
        state = self._state
        if self._receiving_index <= state.commit_index:
            return self.make_reply(_messages.Outcome.STORED)
        with state.disk_work():
            snapshot = self._snapshots.install_received()
        if snapshot is None:
            self._received_bytes = 0
            return self.make_reply(_messages.Outcome.MISMATCH)
        head = snapshot.head
        is_in_log = state.log.term_at(head.index) == head.term
        if not is_in_log:
            with state.disk_work():
                state.log.reset(head.index, head.term)
        with state.lock:
            if is_in_log:
                # Later entries of this batch of work may not be synced yet.
                state.synced_index = max(state.synced_index, head.index)
            else:
                state.synced_index = head.index
                state.history = _membership.MembershipHistory(
                    head.index, head.membership
                )
            state.commit_index = head.index
            state.snapshot_index = head.index
            state.snapshot_to_restore = snapshot
            state.update_peers()
            state.notify_all_threads()
        if is_in_log:
            # The applier no longer reads entries that the snapshot covers.
            with state.disk_work():
                state.log.compact(head.index)
        _logger.info('snapshot installed', index=head.index)
        return self.make_reply(_messages.Outcome.STORED)

    def make_reply(
        self, outcome: _messages.Outcome
    ) -> _messages.SnapshotReply:
        """Return a reply with this outcome and the size received so far."""
        return _messages.SnapshotReply(
            self._state.term,
            outcome,
            self._received_bytes,
            self._state.disk_id,
        )
