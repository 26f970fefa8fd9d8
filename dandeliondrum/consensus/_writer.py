"""Thread that modifies the log, the term and the vote.

It uses group commit: queued work is written as one batch and synced once.
Only then do the entries count towards a quorum and the replies go out.
"""

import collections
import collections.abc
import contextlib
import pathlib
import threading
import time
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
from dandeliondrum.consensus import _request_handler
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _transfer
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import utils

# A slow batch is logged at most once in this time.
SLOW_BATCH_LOG_INTERVAL_NS = 1_000_000_000

_logger = structlog.get_logger()


class Writer:
    """Processes the work queue of a node in batches."""

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
        self._hard_state_path = folder / _hard_state.STATE_FILE_NAME
        self._request_handler = _request_handler.RequestHandler(
            state, snapshots, self.enter_term
        )
        self._sync_ns = 0
        self._slow_batch_logged_ns = 0

    def run(self, stopping: threading.Event) -> None:
        """Process work until the node closes."""
        while not stopping.is_set():
            batch = self._next_batch(stopping)
            began_ns = time.monotonic_ns()
            try:
                self._process_batch(batch)
            except (OSError, _errors.StorageError) as error:
                self._handle_storage_failure(batch, error)
            except Exception as error:
                self._handle_storage_failure(batch, error)
                raise utils.InvariantError(
                    f'the writer failed: {error!r}'
                ) from error
            self._report_slow(batch, began_ns)

    def _report_slow(
        self, batch: list[_work_items.WorkItem], began_ns: int
    ) -> None:
        """Log a batch that took longer than the shortest election timeout.

        Until it was done, no vote, no term and no entry could be stored.
        """
        now_ns = time.monotonic_ns()
        took_ms = (now_ns - began_ns) // _progress.NS_PER_MS
        if took_ms < self._state.options.election_min_ms:
            return
        if now_ns - self._slow_batch_logged_ns < SLOW_BATCH_LOG_INTERVAL_NS:
            return
        self._slow_batch_logged_ns = now_ns
        works = collections.Counter(_kind(work) for work in batch)
        _logger.warning(
            'slow batch',
            took_ms=took_ms,
            sync_ms=self._sync_ns // _progress.NS_PER_MS,
            works=dict(works),
        )

    def enter_term(self, term: int, voted_for: str) -> None:
        """Store and enter a later term, or store a vote in the current one.

        Raises OSError when the write fails; the state is then unchanged.
        """
        state = self._state
        if (term, voted_for) == (state.term, state.voted_for):
            return
        state.check_invariant(
            not state.has_disk_work(),
            f'term {term} would be stored during work on files',
        )
        later = term > state.term
        saved = _hard_state.HardState(term, voted_for)
        # While a later term is stored, a heartbeat of the current one must
        # not be confirmed: the leader counts the reply for as long as it may
        # take to elect another with the vote that is being stored. A vote in
        # the current term can't contradict a leader that is elected.
        with contextlib.nullcontext() if later else state.disk_work():
            _hard_state.save(self._files, self._hard_state_path, saved)
        with state.lock:
            state.term = term
            state.voted_for = voted_for
            if later:
                state.leader_id = None
                # Reset before the election thread can wake up, so that the
                # candidate of the new term has time to win.
                state.reset_election_timer()
                state.become_follower()

    def _next_batch(
        self, stopping: threading.Event
    ) -> list[_work_items.WorkItem]:
        state = self._state
        batch: list[_work_items.WorkItem] = []
        size_bytes = 0
        with state.lock:
            state.writer_busy = False
            while not state.work_queue and not stopping.is_set():
                state.writer_condition.wait()
            while state.work_queue and size_bytes < _options.BATCH_BYTES_MAX:
                work = state.work_queue.popleft()
                batch.append(work)
                if isinstance(work, _work_items.Proposal):
                    state.queued_proposals_count -= 1
                    size_bytes += len(work.payload)
            state.writer_busy = True
        return batch

    def _process_batch(self, batch: list[_work_items.WorkItem]) -> None:
        proposals: list[_work_items.Proposal] = []
        answers: list[_work_items.Resolution] = []
        for work in batch:
            match work:
                case _work_items.Proposal():
                    proposals.append(work)
                case _work_items.PeerRequest(message, reply):
                    answer = self.handle(message)
                    answers.append(_work_items.Resolution(reply, answer))
                case _work_items.StartElection():
                    self._start_election(work)
                case _work_items.BootstrapCell():
                    self._bootstrap_cell(work)
                case _work_items.ObserveTerm(term):
                    self._observe_term(term)
                case _work_items.Compact(index):
                    with self._state.disk_work(
                        _state.LEADER_COMPACTION_FACTOR
                    ):
                        self._log.compact(index)
        if proposals:
            self._append(proposals)
        self._sync()
        for outcome in answers:
            _work_items.resolve_future(outcome.future, outcome.value)

    def _observe_term(self, term: int) -> None:
        state = self._state
        if term <= state.term:
            return
        try:
            self.enter_term(term, '')
        except OSError as error:
            _logger.error('could not store term', why=str(error))
            with state.lock:
                state.become_follower()

    def handle(self, message: _messages.Request) -> typing.Any:
        """Process a request; the caller syncs the log before it replies."""
        if self._state.storage_failed:
            return self._request_handler.make_failure_reply(message)
        try:
            return self._request_handler.handle(message)
        except OSError as error:
            _logger.error('could not store request', why=str(error))
            return self._request_handler.make_failure_reply(message)

    def _append(self, proposals: list[_work_items.Proposal]) -> None:
        state = self._state
        with state.lock:
            accepted = state.is_leader() and not state.storage_failed
            if accepted:
                entries = self._make_entries(proposals)
            else:
                error = state.make_propose_error(
                    _errors.ProposeFailure.NOT_LEADING, never_committed=True
                )
        if not accepted:
            self._fail_proposals(proposals, error)
            return
        try:
            with state.disk_work():
                self._log.append(entries)
        except OSError as error:
            self._handle_disk_full(proposals, entries, error)
            return
        with state.lock:
            if state.history.add(entries):
                state.update_peers()
            state.wake_peers()

    def _make_entries(
        self, proposals: list[_work_items.Proposal]
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
            state.pending[index] = _progress.PendingProposal(
                state.term, proposal.future
            )
            if proposal.kind is _records.EntryKind.EMPTY:
                state.term_start_index = index
        return entries

    def _fail_proposals(
        self,
        proposals: collections.abc.Iterable[_work_items.Proposal],
        error: _errors.ProposeError,
    ) -> None:
        for proposal in proposals:
            self._state.resolve_later(proposal.future, result.Failure(error))

    def _handle_disk_full(
        self,
        proposals: list[_work_items.Proposal],
        entries: list[_records.Entry],
        why: OSError,
    ) -> None:
        _logger.error(
            'could not store entries', why=str(why), count=len(entries)
        )
        state = self._state
        with state.lock:
            for entry in entries:
                # It is gone if the leader stepped down meanwhile.
                state.pending.pop(entry.index, None)
            state.storage_full = True
            _transfer.begin_if_full(state)
            if any(
                entry.kind is _records.EntryKind.EMPTY for entry in entries
            ):
                # A leader can't commit anything without the first entry of
                # its term.
                state.become_follower()
            error = state.make_propose_error(
                _errors.ProposeFailure.STORAGE_FULL, never_committed=True
            )
        self._fail_proposals(proposals, error)

    def _sync(self) -> None:
        state = self._state
        began_ns = time.monotonic_ns()
        try:
            with state.disk_work(), state.metrics.sync_seconds.time():
                self._log.sync()
        finally:
            self._sync_ns = time.monotonic_ns() - began_ns
        with state.lock:
            state.synced_index = self._log.last_index
            state.advance_commit()

    def _start_election(self, work: _work_items.StartElection) -> None:
        state = self._state
        new_term: int | None = None
        if self._may_start_election(work):
            try:
                self.enter_term(work.term + 1, state.node_id)
                new_term = work.term + 1
                with state.lock:
                    state.role = _interfaces.Role.CANDIDATE
            except OSError as error:
                _logger.error('could not store term', why=str(error))
        _work_items.resolve_future(work.entered_term, new_term)

    def _may_start_election(self, work: _work_items.StartElection) -> bool:
        state = self._state
        with state.lock:
            if work.term != state.term or state.is_leader():
                return False
            # The leader may have been heard while this item was queued.
            return work.transfer or not state.has_recent_leader()

    def _bootstrap_cell(self, work: _work_items.BootstrapCell) -> None:
        state = self._state
        refusal = None
        if (state.term, state.voted_for) != (work.term, state.node_id):
            refusal = _errors.ChangeError(_errors.ChangeFailure.REFUSED)
        elif self._log.last_index or state.snapshot_index:
            refusal = _errors.ChangeError(_errors.ChangeFailure.HAS_LOG)
        if refusal is not None:
            state.resolve_later(work.future, result.Failure(refusal))
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
        state.resolve_later(work.future, result.Success(None))

    def _handle_storage_failure(
        self,
        batch: list[_work_items.WorkItem],
        error: Exception,
    ) -> None:
        """Stop participating, since the contents of the disk are unknown."""
        _logger.critical('storage failed', why=str(error))
        state = self._state
        with state.lock:
            state.storage_failed = True
            state.become_follower()
            unknown = state.make_propose_error(
                _errors.ProposeFailure.STORAGE_FAILED, never_committed=False
            )
            for pending in state.pending.values():
                state.resolve_later(pending.future, result.Failure(unknown))
            state.pending.clear()
        for work in batch:
            match work:
                case _work_items.PeerRequest(message, reply):
                    answer = self._request_handler.make_failure_reply(message)
                    _work_items.resolve_future(reply, answer)
                case _work_items.Proposal(future=future):
                    state.resolve_later(future, result.Failure(unknown))
                case _work_items.StartElection(entered_term=entered):
                    _work_items.resolve_future(entered, None)
                case _work_items.BootstrapCell(future=future):
                    refused = _errors.ChangeError(
                        _errors.ChangeFailure.REFUSED, 'storage failed'
                    )
                    state.resolve_later(future, result.Failure(refused))


def _kind(work: _work_items.WorkItem) -> str:
    if isinstance(work, _work_items.PeerRequest):
        return type(work.message).__name__
    return type(work).__name__
