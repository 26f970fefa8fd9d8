"""Sends a snapshot to one peer, part by part."""

import time

import structlog

from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages

_logger = structlog.get_logger()


class SnapshotSender:
    """Brings a peer to the newest snapshot."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        link: _link.Link,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._link = link
        self._id = member_id

    def send(self, address: str, disk_id: str, term: int) -> bool:
        """Send the newest snapshot; False when it did not arrive."""
        found = self._snapshots.newest()
        if found is None:
            return False
        try:
            data = found.path.read_bytes()
        except FileNotFoundError:
            # A newer one has just taken its place.
            return False
        _logger.info(
            'sending snapshot',
            member=self._id,
            index=found.index,
            length_bytes=len(data),
        )
        offset_bytes = 0
        while offset_bytes < len(data):
            part = data[
                offset_bytes : offset_bytes + _options.SNAPSHOT_CHUNK_BYTES
            ]
            message = _messages.InstallSnapshot(
                term,
                self._state.me,
                disk_id,
                found.index,
                offset_bytes,
                len(data),
                part,
            )
            if not self._send_part(address, message):
                return False
            offset_bytes += len(part)
        self._note_arrival(term, found.index)
        return True

    def _send_part(
        self, address: str, message: _messages.InstallSnapshot
    ) -> bool:
        state = self._state
        size_bytes = len(message.data)
        state.metrics.sent_bytes.labels(self._id).inc(size_bytes)
        state.metrics.sent_raw_bytes.labels(self._id).inc(size_bytes)
        sent_ns = time.monotonic_ns()
        outcome = self._link.call(address, message, size_bytes)
        reply = outcome.value_or(None)
        if not isinstance(reply, _messages.SnapshotReply):
            return False
        with state.lock:
            if reply.term > state.term:
                state.put(_works.ObserveTerm(reply.term))
            progress = state.progress.get(self._id)
            if state.term != message.term or not state.leads():
                return False
            if progress is None:
                return False
            if reply.outcome is _messages.Outcome.WRONG_DISK:
                progress.lost_disk_id = reply.disk_id
                state.steward_wakes.notify()
            if reply.outcome is not _messages.Outcome.STORED:
                return False
            progress.answered_ns = sent_ns
            progress.sent_ns = sent_ns
        return True

    def _note_arrival(self, term: int, index: int) -> None:
        state = self._state
        with state.lock:
            progress = state.progress.get(self._id)
            if progress is None or state.term != term or not state.leads():
                return
            progress.match_index = max(progress.match_index, index)
            progress.next_index = progress.match_index + 1
            state.advance_commit()
            state.steward_wakes.notify()
