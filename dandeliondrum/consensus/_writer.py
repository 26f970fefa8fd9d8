"""The thread that changes the log, the term and the vote.

It takes all work that waits, writes it as one batch, syncs once, and only
then lets the entries count and the answers go out (group commit).
"""

import collections.abc
import concurrent.futures
import pathlib
import threading
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _requests
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _transfer
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import utils

_logger = structlog.get_logger()


class Writer:
    """Carries out the works of a node, batch by batch."""

    def __init__(
        self,
        state: _state.NodeState,
        files: _files.Files,
        snapshots: _snapshot.SnapshotStore,
        folder: pathlib.Path,
    ) -> None:
        self._state = state
        self._log = state.log
        self._files = files
        self._path = folder / _hard_state.STATE_NAME
        self._requests = _requests.Requests(state, snapshots, self.enter_term)

    def run(self, stopping: threading.Event) -> None:
        """Work until the node closes."""
        while not stopping.is_set():
            works = self._take(stopping)
            try:
                self._carry_out(works)
            except (OSError, _errors.StorageError) as error:
                self._fail(works, error)
            except Exception as error:
                self._fail(works, error)
                raise utils.InvariantError(
                    f'the writer failed: {error!r}'
                ) from error

    def enter_term(self, term: int, voted_for: str) -> None:
        """Save a later term, or a vote in this one, and take it over.

        Raises OSError when it can't be saved; nothing has changed then.
        """
        state = self._state
        if (term, voted_for) == (state.term, state.voted_for):
            return
        saved = _hard_state.HardState(term, voted_for)
        _hard_state.save(self._files, self._path, saved)
        with state.lock:
            later = term > state.term
            state.term = term
            state.voted_for = voted_for
            if later:
                state.leader_id = None
                # Before the election's task can wake: whoever brought the
                # term shall have time to win it.
                state.put_off_election()
                state.become_follower()

    def _take(self, stopping: threading.Event) -> list[_works.Work]:
        state = self._state
        works: list[_works.Work] = []
        size_bytes = 0
        with state.lock:
            state.writing = False
            while not state.works and not stopping.is_set():
                state.writer_wakes.wait()
            while state.works and size_bytes < _options.BATCH_BYTES_MAX:
                work = state.works.popleft()
                works.append(work)
                if isinstance(work, _works.Proposal):
                    state.proposals_waiting -= 1
                    size_bytes += len(work.payload)
            state.writing = True
        return works

    def _carry_out(self, works: list[_works.Work]) -> None:
        proposals: list[_works.Proposal] = []
        answers: list[_works.Outcome] = []
        for work in works:
            match work:
                case _works.Proposal():
                    proposals.append(work)
                case _works.Incoming(message, reply):
                    answer = self.answer(message)
                    answers.append(_works.Outcome(reply, answer))
                case _works.Stand(term, entered):
                    self._stand(term, entered)
                case _works.Found():
                    self._found(work)
                case _works.ObserveTerm(term):
                    self._observe(term)
                case _works.Compact(index):
                    self._log.compact(index)
        if proposals:
            self._append(proposals)
        self._sync()
        for outcome in answers:
            _works.settle(outcome.future, outcome.value)

    def _observe(self, term: int) -> None:
        state = self._state
        if term <= state.term:
            return
        try:
            self.enter_term(term, '')
        except OSError as error:
            _logger.error('term not stored', why=str(error))
            with state.lock:
                state.become_follower()

    def answer(self, message: _messages.Request) -> typing.Any:
        """Carry out a request; the log is synced before the answer goes."""
        if self._state.storage_failed:
            return self._requests.refuse(message)
        try:
            return self._requests.answer(message)
        except OSError as error:
            _logger.error('request not stored', why=str(error))
            return self._requests.refuse(message)

    def _append(self, proposals: list[_works.Proposal]) -> None:
        state = self._state
        with state.lock:
            accepted = state.leads() and not state.storage_failed
            if accepted:
                entries = self._make_entries(proposals)
            else:
                error = state.error(
                    _errors.ProposeFailure.NOT_LEADING, not_done=True
                )
        if not accepted:
            self._refuse(proposals, error)
            return
        try:
            self._log.append(entries)
        except OSError as error:
            self._refuse_full(proposals, entries, error)
            return
        with state.lock:
            if state.history.add(entries):
                state.update_peers()
            state.peers_wake.notify_all()

    def _make_entries(
        self, proposals: list[_works.Proposal]
    ) -> list[_records.Entry]:
        state = self._state
        entries = []
        index = self._log.last_index
        for proposal in proposals:
            index += 1
            entries.append(
                _records.make(
                    index, state.term, proposal.kind, proposal.payload
                )
            )
            state.pending[index] = _progress.Pending(
                state.term, proposal.future
            )
            if proposal.kind is _records.EntryKind.EMPTY:
                state.term_start_index = index
        return entries

    def _refuse(
        self,
        proposals: collections.abc.Iterable[_works.Proposal],
        error: _errors.ProposeError,
    ) -> None:
        for proposal in proposals:
            self._state.resolve(proposal.future, result.Failure(error))

    def _refuse_full(
        self,
        proposals: list[_works.Proposal],
        entries: list[_records.Entry],
        why: OSError,
    ) -> None:
        _logger.error('entries not stored', why=str(why), count=len(entries))
        state = self._state
        with state.lock:
            for entry in entries:
                del state.pending[entry.index]
            state.storage_full = True
            _transfer.begin_if_full(state)
            if any(
                entry.kind is _records.EntryKind.EMPTY for entry in entries
            ):
                # Without the first entry of its term it can commit nothing.
                state.become_follower()
            error = state.error(
                _errors.ProposeFailure.STORAGE_FULL, not_done=True
            )
        self._refuse(proposals, error)

    def _sync(self) -> None:
        with self._state.metrics.sync_seconds.time():
            self._log.sync()
        state = self._state
        with state.lock:
            state.synced_index = self._log.last_index
            state.advance_commit()

    def _stand(
        self, term: int, entered: concurrent.futures.Future[int | None]
    ) -> None:
        state = self._state
        standing: int | None = None
        if term == state.term and not state.leads():
            try:
                self.enter_term(term + 1, state.me)
                standing = term + 1
                with state.lock:
                    state.role = _interfaces.Role.CANDIDATE
            except OSError as error:
                _logger.error('term not stored', why=str(error))
        _works.settle(entered, standing)

    def _found(self, work: _works.Found) -> None:
        state = self._state
        refusal = None
        if (state.term, state.voted_for) != (work.term, state.me):
            refusal = _errors.ChangeError(_errors.ChangeFailure.REFUSED)
        elif self._log.last_index or state.snapshot_index:
            refusal = _errors.ChangeError(_errors.ChangeFailure.HAS_LOG)
        if refusal is not None:
            state.resolve(work.future, result.Failure(refusal))
            return
        first = _records.make(
            1,
            work.term,
            _records.EntryKind.MEMBERSHIP,
            messages.encode(work.membership),
        )
        self._log.append([first])
        with state.lock:
            state.history.add([first])
            state.become_leader()
            state.term_start_index = first.index
        self._log.sync()
        state.resolve(work.future, result.Success(None))

    def _fail(
        self,
        works: list[_works.Work],
        error: Exception,
    ) -> None:
        """Take no further part: what the disk holds is no longer known."""
        _logger.critical('storage failed', why=str(error))
        state = self._state
        with state.lock:
            state.storage_failed = True
            state.become_follower()
            unknown = state.error(
                _errors.ProposeFailure.STORAGE_FAILED, not_done=False
            )
            for pending in state.pending.values():
                state.resolve(pending.future, result.Failure(unknown))
            state.pending.clear()
        for work in works:
            match work:
                case _works.Incoming(message, reply):
                    answer = self._requests.refuse(message)
                    _works.settle(reply, answer)
                case _works.Proposal(future=future):
                    state.resolve(future, result.Failure(unknown))
                case _works.Stand(entered=entered):
                    _works.settle(entered, None)
                case _works.Found(future=future):
                    refused = _errors.ChangeError(
                        _errors.ChangeFailure.REFUSED, 'storage failed'
                    )
                    state.resolve(future, result.Failure(refused))
