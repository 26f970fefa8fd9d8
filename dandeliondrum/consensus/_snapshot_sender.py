"""Sending of snapshots to one peer in parts."""

import time

import structlog

from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _peer_connection
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages

_logger = structlog.get_logger()


class SnapshotSender:
    """Sends the newest snapshot to a peer."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        link: _peer_connection.PeerConnection,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._peer_connection = link
        self._member_id = member_id

    def send(self, address: str, disk_id: str, term: int) -> bool:
        """Send the newest snapshot; False when it was not delivered."""
        newest = self._snapshots.newest()
        if newest is None:
            return False
        try:
            data = newest.path.read_bytes()
        except FileNotFoundError:
            # A newer snapshot has just replaced it.
            return False
        _logger.info(
            'sending snapshot',
            member=self._member_id,
            index=newest.index,
            length_bytes=len(data),
        )
        offset_bytes = 0
        while offset_bytes < len(data):
            part = data[
                offset_bytes : offset_bytes + _options.SNAPSHOT_CHUNK_BYTES
            ]
            message = _messages.InstallSnapshot(
                term,
                self._state.node_id,
                disk_id,
                newest.index,
                offset_bytes,
                len(data),
                part,
            )
            if not self._send_part(address, message):
                return False
            offset_bytes += len(part)
        self._record_installed(term, newest.index)
        return True

    def _send_part(
        self, address: str, message: _messages.InstallSnapshot
    ) -> bool:
        state = self._state
        size_bytes = len(message.data)
        state.metrics.sent_bytes.labels(self._member_id).inc(size_bytes)
        state.metrics.sent_raw_bytes.labels(self._member_id).inc(size_bytes)
        sent_ns = time.monotonic_ns()
        outcome = self._peer_connection.call(address, message, size_bytes)
        reply = outcome.value_or(None)
        if not isinstance(reply, _messages.SnapshotReply):
            return False
        with state.lock:
            if reply.term > state.term:
                state.enqueue_work(_work_items.ObserveTerm(reply.term))
            progress = state.progress.get(self._member_id)
            if state.term != message.term or not state.is_leader():
                return False
            if progress is None:
                return False
            if reply.outcome is _messages.Outcome.WRONG_DISK:
                progress.readmission_disk_id = reply.disk_id
                state.membership_condition.notify()
            if reply.outcome is not _messages.Outcome.STORED:
                return False
            progress.answered_ns = sent_ns
            progress.sent_ns = sent_ns
        return True

    def _record_installed(self, term: int, index: int) -> None:
        state = self._state
        with state.lock:
            progress = state.progress.get(self._member_id)
            if progress is None or state.term != term or not state.is_leader():
                return
            progress.match_index = max(progress.match_index, index)
            progress.next_index = progress.match_index + 1
            state.advance_commit()
            state.membership_condition.notify()
