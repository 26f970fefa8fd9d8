"""Handling of requests of other nodes, in the writer thread."""

import collections.abc
import typing
import zlib

import structlog

from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _snapshot_receiver
from dandeliondrum.consensus import _state

EnterTerm = collections.abc.Callable[[int, str], None]

_logger = structlog.get_logger()


class RequestHandler:
    """Handles vote requests, entries and snapshots.

    The caller syncs the log before it sends a reply.
    """

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        enter_term: EnterTerm,
    ) -> None:
        self._state = state
        self._log = state.log
        self._enter_term = enter_term
        self._receiver = _snapshot_receiver.SnapshotReceiver(state, snapshots)
        self._expected_disk_id = ''

    def handle(self, message: _messages.Request) -> typing.Any:
        """Process a request and return the reply.

        Raises OSError when a write to the disk fails.
        """
        match message:
            case _messages.AppendEntries():
                return self._handle_append(message)
            case _messages.RequestVote():
                return self._handle_vote_request(message)
            case _messages.InstallSnapshot():
                return self._handle_snapshot_part(message)
            case _messages.FoundCell():
                return self._handle_bootstrap_vote(message)
            case _messages.TimeoutNow():
                return self._handle_timeout_now(message)
            case _messages.IdentifyDisk():
                return self._disk_identity()

    def make_failure_reply(self, message: _messages.Request) -> typing.Any:
        """Return the reply of a node that can't write to its disk."""
        state = self._state
        match message:
            case _messages.AppendEntries():
                return self._make_append_reply(
                    _messages.Outcome.STORAGE_FAILED, 0
                )
            case _messages.RequestVote():
                return _messages.VoteReply(
                    state.term, False, _messages.VoteRefusal.STORAGE_FAILED
                )
            case _messages.InstallSnapshot():
                return self._receiver.make_reply(
                    _messages.Outcome.STORAGE_FAILED
                )
            case _messages.FoundCell():
                return _messages.FoundReply(
                    state.term, False, state.disk_id, 'storage failed'
                )
            case _:
                return self._disk_identity()

    def _disk_identity(self) -> _messages.DiskIdentity:
        return _messages.DiskIdentity(
            self._state.disk_id, self._log.last_index
        )

    def _handle_bootstrap_vote(
        self, message: _messages.FoundCell
    ) -> _messages.FoundReply:
        state = self._state
        detail = ''
        if self._log.last_index or state.snapshot_index:
            detail = 'the disk already contains a log'
        elif self._expected_disk_id:
            # A member of an existing cell requested a vote of this controller
            # under another disk id. A second cell would conflict with what
            # the first one has accepted.
            detail = 'a cell already has this controller with another disk'
        granted = (
            state.options.grants_founding
            and not detail
            and message.term > state.term
        )
        if granted:
            self._enter_term(message.term, message.founder_id)
        return _messages.FoundReply(state.term, granted, state.disk_id, detail)

    def _handle_vote_request(
        self, message: _messages.RequestVote
    ) -> _messages.VoteReply:
        state = self._state
        refusal = self._find_vote_refusal(message)
        if refusal is not None:
            return _messages.VoteReply(state.term, False, refusal)
        if message.pre_vote:
            with state.lock:
                state.yield_to_candidate(message.candidate_id)
            return _messages.VoteReply(state.term, True)
        is_later = message.term > state.term
        if is_later and message.transfer:
            with state.lock:
                state.transfer_term = message.term
        refusal = self._find_ballot_refusal(message)
        # One write for the term and the vote, for which the candidate waits.
        if refusal is None:
            self._enter_term(message.term, message.candidate_id)
            with state.lock:
                state.reset_election_timer()
            return _messages.VoteReply(state.term, True)
        if is_later:
            self._enter_term(message.term, '')
        return _messages.VoteReply(state.term, False, refusal)

    def _find_vote_refusal(
        self, message: _messages.RequestVote
    ) -> _messages.VoteRefusal | None:
        """Return why a request is refused without entering its term."""
        state = self._state
        if message.disk_id != state.disk_id:
            self._warn_disk_mismatch(message)
            return _messages.VoteRefusal.WRONG_DISK
        with state.lock:
            if state.is_leader() and not message.transfer:
                if state.has_recent_quorum():
                    return _messages.VoteRefusal.LEADER_KNOWN
            elif state.has_recent_leader() and not message.transfer:
                return _messages.VoteRefusal.LEADER_KNOWN
            elif message.pre_vote and not self._is_log_up_to_date(message):
                return _messages.VoteRefusal.LOG_BEHIND
        oldest = state.term + 1 if message.pre_vote else state.term
        if message.term < oldest:
            return _messages.VoteRefusal.OLD_TERM
        return None

    def _find_ballot_refusal(
        self, message: _messages.RequestVote
    ) -> _messages.VoteRefusal | None:
        """Return why no vote is granted in the term of the request."""
        state = self._state
        if not self._is_log_up_to_date(message):
            return _messages.VoteRefusal.LOG_BEHIND
        if message.term > state.term:
            return None
        if state.voted_for not in ('', message.candidate_id):
            return _messages.VoteRefusal.VOTED
        return None

    def _warn_disk_mismatch(self, message: _messages.RequestVote) -> None:
        """Log once per disk id why this node refuses its vote."""
        if message.disk_id == self._expected_disk_id:
            return
        self._expected_disk_id = message.disk_id
        _logger.warning(
            'vote refused',
            why='the membership has this controller with another disk',
            candidate=message.candidate_id,
            expected_disk_id=message.disk_id,
            disk_id=self._state.disk_id,
        )

    def _is_log_up_to_date(self, message: _messages.RequestVote) -> bool:
        candidate_log = (message.last_term, message.last_index)
        return candidate_log >= (self._log.last_term, self._log.last_index)

    def _follow_leader(self, term: int, leader_id: typing.Any) -> None:
        state = self._state
        if term > state.term:
            self._enter_term(term, '')
        with state.lock:
            state.check_invariant(
                not state.is_leader(),
                f'two leaders in term {term}: {leader_id}',
            )
            if state.role is not _interfaces.Role.FOLLOWER:
                state.become_follower()
            state.record_leader_contact(leader_id)

    def _handle_append(
        self, message: _messages.AppendEntries
    ) -> _messages.AppendReply:
        state = self._state
        if message.disk_id != state.disk_id:
            return self._make_append_reply(_messages.Outcome.WRONG_DISK, 0)
        if message.term < state.term:
            return self._make_append_reply(_messages.Outcome.OLD_TERM, 0)
        self._follow_leader(message.term, message.leader_id)
        retry_index = self._find_mismatch(message)
        if retry_index is not None:
            return self._make_append_reply(
                _messages.Outcome.MISMATCH, retry_index
            )
        entries = self._decode_entries(message)
        if entries is None:
            retry_index = state.commit_index
            return self._make_append_reply(
                _messages.Outcome.MISMATCH, retry_index
            )
        try:
            self._store_entries(entries)
        except OSError as error:
            _logger.error('could not store entries', why=str(error))
            with state.lock:
                state.storage_full = True
            return self._make_append_reply(_messages.Outcome.STORAGE_FULL, 0)
        match_index = message.previous_index + len(entries)
        with state.lock:
            commit_index = min(message.commit_index, match_index)
            if commit_index > state.commit_index:
                state.commit_index = commit_index
                state.applier_condition.notify()
        return self._make_append_reply(_messages.Outcome.STORED, match_index)

    def _decode_entries(
        self, message: _messages.AppendEntries
    ) -> list[_records.Entry] | None:
        try:
            records = message.records
            if message.compressed:
                records = zlib.decompress(records)
            return list(_records.parse_all(records))
        except (_records.RecordError, zlib.error) as error:
            _logger.error(
                'received damaged entries',
                leader=message.leader_id,
                why=str(error),
            )
            return None

    def _find_mismatch(self, message: _messages.AppendEntries) -> int | None:
        """Check the entry at ``previous_index`` against the leader's.

        Returns None when it matches, otherwise the highest index at which
        the logs may match; entries of the conflicting term are skipped.
        """
        index = message.previous_index
        if index < self._log.first_index - 1:
            return self._state.commit_index
        term = self._log.term_at(index)
        if term == message.previous_term:
            return None
        if index <= self._state.commit_index:
            # The term of the last compacted entry may be unknown, but
            # committed entries always match.
            return None if term is None else self._state.commit_index
        if term is None:
            return self._log.last_index
        while index > self._state.commit_index:
            index -= 1
            if self._log.term_at(index) != term:
                break
        return index

    def _store_entries(self, entries: list[_records.Entry]) -> None:
        state = self._state
        new_entries: list[_records.Entry] = []
        for position, entry in enumerate(entries):
            if entry.index < self._log.first_index:
                continue
            term = self._log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate_log(entry.index)
            new_entries = entries[position:]
            break
        if not new_entries:
            return
        state.check_invariant(
            new_entries[0].index == self._log.last_index + 1,
            'gap between the log and new entries',
        )
        with state.disk_work():
            self._log.append(new_entries)
        with state.lock:
            if state.history.add(new_entries):
                state.update_peers()
                state.wake_peers()

    def _truncate_log(self, index: int) -> None:
        state = self._state
        state.check_invariant(
            index > state.commit_index,
            f'committed entry {index} would be truncated',
        )
        with state.lock:
            state.synced_index = min(state.synced_index, index - 1)
            if state.history.truncate_from(index):
                state.update_peers()
                state.wake_peers()
        with state.disk_work():
            self._log.truncate_from(index)

    def _make_append_reply(
        self, outcome: _messages.Outcome, match_index: int
    ) -> _messages.AppendReply:
        return _messages.AppendReply(
            self._state.term,
            outcome,
            match_index,
            self._log.last_index,
            self._state.disk_id,
            self._state.storage_full,
        )

    def _handle_timeout_now(
        self, message: _messages.TimeoutNow
    ) -> _messages.DiskIdentity:
        state = self._state
        with state.lock:
            if message.term == state.term and not state.is_leader():
                state.election_requested = True
                state.election_condition.notify()
        return self._disk_identity()

    def _handle_snapshot_part(
        self, message: _messages.InstallSnapshot
    ) -> _messages.SnapshotReply:
        if message.disk_id != self._state.disk_id:
            return self._receiver.make_reply(_messages.Outcome.WRONG_DISK)
        if message.term < self._state.term:
            return self._receiver.make_reply(_messages.Outcome.OLD_TERM)
        self._follow_leader(message.term, message.leader_id)
        return self._receiver.receive_part(message)
