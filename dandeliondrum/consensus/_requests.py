"""Answers to the requests of other nodes, in the writer thread."""

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


class Requests:
    """Votes, follows a leader, and stores what it sends.

    The caller syncs the log before an answer goes out.
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

    def answer(self, message: _messages.Request) -> typing.Any:
        """Carry out a request; raises OSError when the disk refuses."""
        match message:
            case _messages.AppendEntries():
                return self._append(message)
            case _messages.RequestVote():
                return self._vote(message)
            case _messages.InstallSnapshot():
                return self._install(message)
            case _messages.FoundCell():
                return self._found(message)
            case _messages.TimeoutNow():
                return self._stand_at_once(message)
            case _messages.IdentifyDisk():
                return self._identity()

    def refuse(self, message: _messages.Request) -> typing.Any:
        """Return the answer of a node that can't store anything."""
        state = self._state
        match message:
            case _messages.AppendEntries():
                return self._append_reply(_messages.Outcome.STORAGE_FAILED, 0)
            case _messages.RequestVote():
                return _messages.VoteReply(state.term, False)
            case _messages.InstallSnapshot():
                return self._receiver.reply(_messages.Outcome.STORAGE_FAILED)
            case _messages.FoundCell():
                return _messages.FoundReply(
                    state.term, False, state.disk_id, 'storage failed'
                )
            case _:
                return self._identity()

    def _identity(self) -> _messages.DiskIdentity:
        return _messages.DiskIdentity(
            self._state.disk_id, self._log.last_index
        )

    def _found(self, message: _messages.FoundCell) -> _messages.FoundReply:
        state = self._state
        detail = ''
        if self._log.last_index or state.snapshot_index:
            detail = 'its disk already has a log'
        elif self._expected_disk_id:
            # A second cell would break what the first one accepted.
            detail = 'a member of a cell knows it with another disk'
        granted = not detail and message.term > state.term
        if granted:
            self._enter_term(message.term, message.founder_id)
        return _messages.FoundReply(state.term, granted, state.disk_id, detail)

    def _vote(self, message: _messages.RequestVote) -> _messages.VoteReply:
        state = self._state
        if not self._may_vote(message):
            return _messages.VoteReply(state.term, False)
        if message.pre_vote:
            granted = message.term > state.term
            if granted:
                with state.lock:
                    state.make_way(message.candidate_id)
            return _messages.VoteReply(state.term, granted)
        if message.term > state.term:
            self._enter_term(message.term, '')
        if message.term < state.term or not self._up_to_date(message):
            return _messages.VoteReply(state.term, False)
        if state.voted_for not in ('', message.candidate_id):
            return _messages.VoteReply(state.term, False)
        self._enter_term(message.term, message.candidate_id)
        with state.lock:
            state.put_off_election()
        return _messages.VoteReply(state.term, True)

    def _may_vote(self, message: _messages.RequestVote) -> bool:
        state = self._state
        if message.disk_id != state.disk_id:
            self._warn_of_disk(message)
            return False
        with state.lock:
            if state.leads() and not message.transfer:
                return not state.quorum_is_fresh()
            if state.heard_recently() and not message.transfer:
                return False
        return not message.pre_vote or self._up_to_date(message)

    def _warn_of_disk(self, message: _messages.RequestVote) -> None:
        """Say once for each disk why this node takes no part."""
        if message.disk_id == self._expected_disk_id:
            return
        self._expected_disk_id = message.disk_id
        _logger.warning(
            'vote refused',
            why='the members know this controller with another disk',
            candidate=message.candidate_id,
            expected_disk_id=message.disk_id,
            disk_id=self._state.disk_id,
        )

    def _up_to_date(self, message: _messages.RequestVote) -> bool:
        theirs = (message.last_term, message.last_index)
        return theirs >= (self._log.last_term, self._log.last_index)

    def _follow(self, term: int, leader_id: typing.Any) -> None:
        state = self._state
        if term > state.term:
            self._enter_term(term, '')
        with state.lock:
            state.require(
                not state.leads(), f'two leaders in term {term}: {leader_id}'
            )
            if state.role is not _interfaces.Role.FOLLOWER:
                state.become_follower()
            state.hear_leader(leader_id)

    def _append(
        self, message: _messages.AppendEntries
    ) -> _messages.AppendReply:
        state = self._state
        if message.disk_id != state.disk_id:
            return self._append_reply(_messages.Outcome.WRONG_DISK, 0)
        if message.term < state.term:
            return self._append_reply(_messages.Outcome.OLD_TERM, 0)
        self._follow(message.term, message.leader_id)
        hint = self._mismatch(message)
        if hint is not None:
            return self._append_reply(_messages.Outcome.MISMATCH, hint)
        entries = self._unpack(message)
        if entries is None:
            hint = state.commit_index
            return self._append_reply(_messages.Outcome.MISMATCH, hint)
        try:
            self._store(entries)
        except OSError as error:
            _logger.error('entries not stored', why=str(error))
            with state.lock:
                state.storage_full = True
            return self._append_reply(_messages.Outcome.STORAGE_FULL, 0)
        match_index = message.previous_index + len(entries)
        with state.lock:
            commit_index = min(message.commit_index, match_index)
            if commit_index > state.commit_index:
                state.commit_index = commit_index
                state.applier_wakes.notify()
        return self._append_reply(_messages.Outcome.STORED, match_index)

    def _unpack(
        self, message: _messages.AppendEntries
    ) -> list[_records.Entry] | None:
        try:
            records = message.records
            if message.compressed:
                records = zlib.decompress(records)
            return list(_records.parse_all(records))
        except (_records.RecordError, zlib.error) as error:
            _logger.error(
                'damaged entries', leader=message.leader_id, why=str(error)
            )
            return None

    def _mismatch(self, message: _messages.AppendEntries) -> int | None:
        """Return where the logs may agree when they don't at that place."""
        index = message.previous_index
        if index < self._log.first_index - 1:
            return self._state.commit_index
        term = self._log.term_at(index)
        if term == message.previous_term:
            return None
        if index <= self._state.commit_index:
            # The term of the last entry before the log may be unknown; what
            # is committed matches all the same.
            return None if term is None else self._state.commit_index
        if term is None:
            return self._log.last_index
        while index > self._state.commit_index:
            index -= 1
            if self._log.term_at(index) != term:
                break
        return index

    def _store(self, entries: list[_records.Entry]) -> None:
        state = self._state
        fresh: list[_records.Entry] = []
        for position, entry in enumerate(entries):
            if entry.index < self._log.first_index:
                continue
            term = self._log.term_at(entry.index)
            if term == entry.term:
                continue
            if term is not None:
                self._truncate(entry.index)
            fresh = entries[position:]
            break
        if not fresh:
            return
        state.require(
            fresh[0].index == self._log.last_index + 1, 'gap in the entries'
        )
        self._log.append(fresh)
        with state.lock:
            if state.history.add(fresh):
                state.update_peers()
                state.peers_wake.notify_all()

    def _truncate(self, index: int) -> None:
        state = self._state
        state.require(
            index > state.commit_index, f'entry {index} is committed'
        )
        with state.lock:
            self._log.truncate_from(index)
            state.synced_index = min(state.synced_index, index - 1)
            if state.history.truncate_from(index):
                state.update_peers()
                state.peers_wake.notify_all()

    def _append_reply(
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

    def _stand_at_once(
        self, message: _messages.TimeoutNow
    ) -> _messages.DiskIdentity:
        state = self._state
        with state.lock:
            if message.term == state.term and not state.leads():
                state.stand_at_once = True
                state.election_wakes.notify()
        return self._identity()

    def _install(
        self, message: _messages.InstallSnapshot
    ) -> _messages.SnapshotReply:
        if message.disk_id != self._state.disk_id:
            return self._receiver.reply(_messages.Outcome.WRONG_DISK)
        if message.term < self._state.term:
            return self._receiver.reply(_messages.Outcome.OLD_TERM)
        self._follow(message.term, message.leader_id)
        return self._receiver.take(message)
