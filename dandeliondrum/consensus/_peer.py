"""Task for one peer, which requests its vote or sends it the log."""

import contextlib
import dataclasses
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _peer_connection
from dandeliondrum.consensus import _pipeline
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _snapshot_sender
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import transport

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True, slots=True)
class _SendVoteRequest:
    """Request a vote for a ballot."""

    ballot: _progress.Ballot
    message: _messages.RequestVote


@dataclasses.dataclass(frozen=True, slots=True)
class _SendEntries:
    """Send entries, or a heartbeat when there are none."""

    message: _messages.AppendEntries
    entries: list[_records.Entry]


@dataclasses.dataclass(frozen=True, slots=True)
class _SendSnapshot:
    """Send the newest snapshot, since needed entries were compacted."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class _SendTimeoutNow:
    """Ask the peer to start an election immediately."""

    message: _messages.TimeoutNow


@dataclasses.dataclass(frozen=True, slots=True)
class _CollectReplies:
    """Process the replies that have arrived."""


_Action = (
    _SendVoteRequest
    | _SendEntries
    | _SendSnapshot
    | _SendTimeoutNow
    | _CollectReplies
)


class Peer:
    """Communicates with one other member, in a thread of its own."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        member_id: messages.ControllerId,
    ) -> None:
        self._state = state
        self._member_id = member_id
        self._peer_connection = _peer_connection.PeerConnection(state.options)
        self._snapshot_sender = _snapshot_sender.SnapshotSender(
            state, snapshots, self._peer_connection, member_id
        )
        self._pipeline = _pipeline.Pipeline(
            state, self._peer_connection, member_id
        )

    def run(self, stopping: threading.Event) -> None:
        """Run until the peer is no longer a member or the node closes."""
        with contextlib.closing(self._peer_connection):
            while not stopping.is_set():
                with self._state.lock:
                    member = self._member()
                    # Checked under the lock: otherwise the final
                    # notification could come between the check and the wait,
                    # and be missed.
                    if member is None or stopping.is_set():
                        return
                    action = self._next_action(member)
                    if action is None:
                        self._wait()
                        continue
                if not self._execute(member, action):
                    stopping.wait(self._state.options.heartbeat_ms / 1000)

    def close(self) -> None:
        """Close the connection, which ends a pending call."""
        self._peer_connection.close()

    def _member(self) -> _messages.Member | None:
        return _membership.member(self._state.history.current, self._member_id)

    def _wait(self) -> None:
        timeout_s = None
        progress = self._state.progress.get(self._member_id)
        if self._state.is_leader() and progress is not None:
            due_ns = progress.sent_ns + self._heartbeat_ns()
            call_deadline_ns = self._pipeline.deadline_ns()
            if call_deadline_ns is not None:
                due_ns = min(due_ns, call_deadline_ns)
            timeout_s = max(0.0, (due_ns - time.monotonic_ns()) / 1e9)
        self._state.wait_as_peer(self._member_id, timeout_s)

    def _heartbeat_ns(self) -> int:
        return self._state.options.heartbeat_ms * _progress.NS_PER_MS

    def _next_action(self, member: _messages.Member) -> _Action | None:
        state = self._state
        if state.closing or state.storage_failed:
            return None
        if self._pipeline.has_finished_call():
            return _CollectReplies()
        ballot = state.ballot
        if ballot is not None and self._member_id not in ballot.asked:
            return self._prepare_vote_request(member, ballot)
        progress = state.progress.get(self._member_id)
        if not state.is_leader() or progress is None:
            return None
        now_ns = time.monotonic_ns()
        heartbeat_due = now_ns - progress.sent_ns >= self._heartbeat_ns()
        if not self._pipeline.has_capacity():
            if not heartbeat_due:
                return None
            # A follower whose disk is slow must not miss its leader.
            return self._prepare_entries(member, progress, now_ns, 0)
        last_index = state.log.last_index
        if (
            state.transfer_target == self._member_id
            and not state.timeout_now_sent
        ):
            ready = (
                progress.match_index >= last_index and progress.is_reachable
            )
            if ready and state.has_no_open_proposals():
                state.timeout_now_sent = True
                return _SendTimeoutNow(
                    _messages.TimeoutNow(state.term, state.node_id)
                )
        due = (
            heartbeat_due
            or last_index >= progress.next_index
            or progress.sent_ns < state.heartbeat_requested_ns
        )
        if not due:
            return None
        return self._prepare_entries(
            member, progress, now_ns, _options.APPEND_ENTRIES_MAX
        )

    def _prepare_vote_request(
        self, member: _messages.Member, ballot: _progress.Ballot
    ) -> _SendVoteRequest | None:
        state = self._state
        ballot.asked.add(self._member_id)
        if _membership.voter(state.history.current, self._member_id) is None:
            return None
        request = _messages.RequestVote(
            ballot.term,
            state.node_id,
            member.disk_id,
            state.log.last_index,
            state.log.last_term,
            ballot.pre_vote,
            ballot.transfer,
        )
        return _SendVoteRequest(ballot, request)

    def _prepare_entries(
        self,
        member: _messages.Member,
        progress: _progress.Progress,
        now_ns: int,
        entries_max: int,
    ) -> _SendEntries | _SendSnapshot | None:
        """Return entries to send, or a heartbeat if there are none.

        With ``entries_max`` 0 it is a heartbeat, or None if only a snapshot
        can be sent.
        """
        state = self._state
        progress.sent_ns = now_ns
        previous_index = progress.next_index - 1
        previous_term = state.log.term_at(previous_index)
        if previous_term is None:
            return _SendSnapshot(state.term) if entries_max else None
        entries: list[_records.Entry] = []
        if entries_max and not progress.readmission_disk_id:
            entries = state.log.read(
                progress.next_index, entries_max, _options.APPEND_BYTES_MAX
            )
            progress.next_index += len(entries)
        message = _messages.AppendEntries(
            state.term,
            state.node_id,
            member.disk_id,
            previous_index,
            previous_term,
            state.commit_index,
        )
        return _SendEntries(message, entries)

    def _execute(self, member: _messages.Member, action: _Action) -> bool:
        """Execute one action; False asks for a pause before the next."""
        address = self._state.options.addresses.get(
            self._member_id, member.address
        )
        match action:
            case _SendVoteRequest(ballot, message):
                outcome = self._peer_connection.call(
                    address,
                    message,
                    timeout_ms=self._state.ballot_timeout_ms(ballot),
                )
                return self._record_vote(ballot, outcome)
            case _SendEntries(message, entries):
                return self._pipeline.send(address, message, entries)
            case _CollectReplies():
                return self._pipeline.collect_replies()
            case _SendSnapshot(term):
                self._pipeline.abort()
                return self._snapshot_sender.send(
                    address, member.disk_id, term
                )
            case _SendTimeoutNow(message):
                outcome = self._peer_connection.call(address, message)
                return self._handle_timeout_now_result(outcome)

    def _handle_timeout_now_result(
        self, outcome: result.Result[typing.Any, transport.CallError]
    ) -> bool:
        match outcome:
            case result.Failure(
                transport.CallError(transport.CallFailure.NOT_SENT)
            ):
                with self._state.lock:
                    if self._state.transfer_target == self._member_id:
                        self._state.timeout_now_sent = False
                return False
        return isinstance(outcome, result.Success)

    def _record_vote(
        self,
        ballot: _progress.Ballot,
        outcome: result.Result[typing.Any, object],
    ) -> bool:
        reply = outcome.value_or(None)
        with self._state.lock:
            if not isinstance(reply, _messages.VoteReply):
                ballot.refused[self._member_id] = (
                    _messages.VoteRefusal.NO_REPLY
                )
                ballot.failures[self._member_id] = _describe_failure(outcome)
            elif reply.granted:
                ballot.granted.add(self._member_id)
            else:
                ballot.refused[self._member_id] = reply.refusal
                if reply.term > self._state.term:
                    self._state.enqueue_work(
                        _work_items.ObserveTerm(reply.term)
                    )
            self._state.election_condition.notify()
        return True


def _describe_failure(outcome: result.Result[typing.Any, object]) -> str:
    match outcome:
        case result.Failure(transport.CallError(failure, detail)):
            return f'{failure.value}: {detail}' if detail else failure.value
        case _:
            return 'unexpected reply'
