"""The peers of all workers, and the handling of their events."""

import collections.abc
import concurrent.futures
import dataclasses
import functools
import threading
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _end_recorder
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _progress
from dandeliondrum.jobs import _records
from dandeliondrum.jobs import _replies
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _worker_peer
from dandeliondrum import messages
from dandeliondrum import utils

CHECK_INTERVAL_MS = 1_000
# Interval between commits of starts. Callers are promised a count of waiting
# jobs that is at most 2 s old.
STARTS_INTERVAL_MS = 250
# A run that takes longer is confirmed in the log after this.
CONFIRM_AFTER_MS = 2_000
# An endless task that a worker has listed for this long has worked there.
AT_WORK_MS = 5_000
# A worker without runs that has not reported for this long is removed.
REMOVE_AFTER_MS = 20_000

_logger = structlog.get_logger()

_Run = tuple[_specs.TaskKey, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _RunOrigin:
    """The worker that a run was assigned to, when its end is recorded.

    ``is_sound`` tells that an endless task was at work there for a while.
    """

    worker_id: messages.WorkerId
    started_ms: int
    is_sound: bool


class Workers:
    """The workers during one term; implements the callbacks of their peers."""

    def __init__(self, term: _term.Term, supervisor: utils.Supervisor) -> None:
        self._term = term
        self._supervisor = supervisor
        # Protects the fields below. Code that also needs the lock of the term
        # acquires that one first.
        self._lock = threading.Lock()
        self._sequences: dict[messages.WorkerId, tuple[int, int]] = {}
        self._reported_ms: dict[messages.WorkerId, int] = {}
        self._replaced_started_ms: dict[messages.WorkerId, int] = {}
        # Earliest time at which draining workers leave, on our clock.
        self._leaves_ms: dict[messages.WorkerId, int] = {}
        # Fencing tokens that the former peers of workers have used. The next
        # peer of such a worker needs a higher one.
        self._tokens_used_counts: dict[messages.WorkerId, int] = {}
        # Start time and sequence of the reports with the facts of the peers.
        self._facts_sequences: dict[messages.WorkerId, tuple[int, int]] = {}
        # Jobs that a worker has started and that are still recorded as queued.
        self._begun: set[_specs.JobId] = set()
        # Runs that are listed and not recorded as confirmed.
        self._confirmed: set[_Run] = set()
        self._closed = False
        self._end_recorder = _end_recorder.EndRecorder(
            self._commit_ends, supervisor, _term.PROPOSE_TIMEOUT_MS
        )

    def restore(self) -> list[messages.WorkerId]:
        """Start the peers of workers in the replicated state without one.

        Returns the ids of these workers.
        """
        term = self._term
        now_ms = _clock.elapsed_ms()
        restored_ids = []
        with term.lock, term.state.lock, self._lock:
            if self._closed or self._supervisor.stopping.is_set():
                return []
            for worker_id, worker in term.state.workers.items():
                if worker_id not in term.peers:
                    self._reported_ms[worker_id] = now_ms
                    self._add_or_update_peer(worker.facts)
                    restored_ids.append(worker_id)
        return restored_ids

    def close(self) -> None:
        """Stop all peers; later reports are left to the next leader."""
        with self._term.lock:
            self._closed = True
            peers = list(self._term.peers.values())
        for peer in peers:
            peer.close()
        self._end_recorder.close()

    def acknowledge(
        self, report: _calls.WorkerReport
    ) -> _calls.WorkerNoted | None:
        """Return the reply to a heartbeat without changes, None to others.

        It takes none of the locks that a planning round holds.
        """
        known = self._known(report)
        if known is None or known.facts != report.facts:
            return None
        peer = self._term.peers.get(report.facts.worker_id)
        if peer is not None and peer.facts != report.facts:
            # The peer has facts that are not committed yet.
            return None
        with self._lock:
            self._record_report(report, known)
        return _calls.WorkerNoted(self._term.options.controller_id)

    def handle_report(
        self, report: _calls.WorkerReport
    ) -> 'concurrent.futures.Future[typing.Any]':
        """Handle a heartbeat; changed facts are committed before the reply."""
        noted = self.acknowledge(report)
        if noted is not None:
            return utils.completed_future(noted)
        term, facts = self._term, report.facts
        acknowledgement = _calls.WorkerNoted(term.options.controller_id)
        known = self._known(report)
        with term.lock, self._lock:
            if not self._record_report(report, known):
                return utils.completed_future(acknowledgement)
            if known is not None and _limits_starts(known.facts, facts):
                # This also applies to assignments that are being committed
                # now.
                peer = term.peers.get(facts.worker_id)
                if peer is not None:
                    self._update_peer(peer, facts)
                    self._facts_sequences[facts.worker_id] = (
                        facts.started_ms,
                        report.sequence,
                    )
        _logger.info(
            'worker reported',
            worker=facts.worker_id,
            address=facts.address,
            phase=facts.phase.value,
            started_ms=facts.started_ms,
        )
        command = _commands.PutWorker(
            facts,
            report.sequence,
            self._replaced_ms(known, facts),
        )
        return utils.map_future(
            term.propose(command),
            lambda outcome: self._on_recorded(
                outcome, report, acknowledgement
            ),
        )

    def handle_leave(
        self, message: _calls.WorkerLeft
    ) -> 'concurrent.futures.Future[typing.Any]':
        """Handle the announcement that a worker and its runs end."""
        with self._term.lock:
            peer = self._term.peers.get(message.worker_id)
        if peer is not None:
            is_current = peer.leave(message.started_ms)
            _logger.info(
                'worker leaves' if is_current else 'shutdown ignored',
                worker=message.worker_id,
                started_ms=message.started_ms,
            )
        return utils.completed_future(
            _calls.WorkerNoted(self._term.options.controller_id)
        )

    def check(self) -> None:
        """Remove workers without runs that have not reported for long."""
        term = self._term
        now_ms = _clock.elapsed_ms()
        with term.lock, term.state.lock, self._lock:
            idle = [
                (worker_id, worker.facts.started_ms)
                for worker_id, worker in term.state.workers.items()
                if not worker.runs
                and now_ms - self._reported_ms.get(worker_id, 0)
                > REMOVE_AFTER_MS
            ]
        for worker_id, started_ms in idle:
            term.propose(
                _commands.RemoveWorker(worker_id, started_ms)
            ).add_done_callback(functools.partial(self._on_removed, worker_id))

    def _known(
        self, report: _calls.WorkerReport
    ) -> _records.WorkerRecord | None:
        return self._term.state.workers.get(report.facts.worker_id)

    def _record_report(
        self,
        report: _calls.WorkerReport,
        known: _records.WorkerRecord | None,
    ) -> bool:
        """Record the time of a report; return False if it is out of date."""
        facts = report.facts
        if self._is_stale(report, known):
            _logger.info(
                'report ignored',
                worker=facts.worker_id,
                sequence=report.sequence,
                started_ms=facts.started_ms,
            )
            return False
        sequence = (facts.started_ms, report.sequence)
        self._reported_ms[facts.worker_id] = _clock.elapsed_ms()
        if self._sequences.get(facts.worker_id) != sequence:
            self._sequences[facts.worker_id] = sequence
            self._update_leave_time(report)
        return True

    def _update_leave_time(self, report: _calls.WorkerReport) -> None:
        facts = report.facts
        draining = facts.phase is _commands.WorkerPhase.DRAINING
        if draining and report.leaves_in_ms is not None:
            now_ms = _clock.elapsed_ms()
            self._leaves_ms[facts.worker_id] = now_ms + report.leaves_in_ms
        else:
            self._leaves_ms.pop(facts.worker_id, None)

    def _replaced_ms(
        self,
        known: _records.WorkerRecord | None,
        facts: _commands.WorkerFacts,
    ) -> int | None:
        """Return the start time of the incarnation that a worker replaced.

        It is None unless it is later than that of the worker.
        """
        peer = self._term.peers.get(facts.worker_id)
        if known is None or peer is None:
            return None
        if not _has_replaced(peer, known.facts, facts):
            return None
        return known.facts.started_ms

    def _is_stale(
        self,
        report: _calls.WorkerReport,
        known: _records.WorkerRecord | None,
    ) -> bool:
        facts = report.facts
        if (
            self._replaced_started_ms.get(facts.worker_id, -1)
            >= facts.started_ms
        ):
            return True
        if self._replaced_ms(known, facts) is not None:
            return False
        # This leader may not have seen the newer reports.
        if known is not None and (
            known.is_newer(facts, report.sequence)
            or _ends_draining(known.facts, facts)
        ):
            return True
        last = self._sequences.get(facts.worker_id, (0, 0))
        # A follower repeats a report whose first commit may have failed.
        return last > (facts.started_ms, report.sequence)

    def _on_recorded(
        self,
        outcome: typing.Any,
        report: _calls.WorkerReport,
        acknowledgement: _calls.WorkerNoted,
    ) -> typing.Any:
        if isinstance(outcome, result.Failure):
            return _replies.failure_reply(outcome.failure())
        with self._term.lock:
            if self._closed:
                return messages.NotLeader()
            with self._lock:
                if outcome.unwrap():
                    self._use_facts(report)
        self._term.round_requested.set()
        return acknowledgement

    def _use_facts(self, report: _calls.WorkerReport) -> None:
        """Use committed facts unless the peer has those of a newer report."""
        facts = report.facts
        sequence = (facts.started_ms, report.sequence)
        peer = self._term.peers.get(facts.worker_id)
        if (
            peer is not None
            and not _has_replaced(peer, peer.facts, facts)
            and self._facts_sequences.get(facts.worker_id, (0, 0)) > sequence
        ):
            _logger.info(
                'facts of an older report ignored',
                worker=facts.worker_id,
                sequence=report.sequence,
            )
            return
        self._facts_sequences[facts.worker_id] = sequence
        self._add_or_update_peer(facts)

    def _add_or_update_peer(self, facts: _commands.WorkerFacts) -> None:
        term = self._term
        peer = term.peers.get(facts.worker_id)
        if peer is not None:
            self._update_peer(peer, facts)
            return
        peer = _worker_peer.WorkerPeer(
            facts,
            term.number,
            term.port,
            self,
            _worker_peer.PeerOptions(
                term.options.lease_ms, term.options.lease_max_ms
            ),
            self._tokens_used_counts.get(facts.worker_id, 0),
        )
        term.peers[facts.worker_id] = peer
        self._supervisor.run(f'lists of {facts.worker_id}', peer.watch)
        peer.sender.start_with(self._supervisor.run)

    def _update_peer(
        self, peer: _worker_peer.WorkerPeer, facts: _commands.WorkerFacts
    ) -> None:
        term = self._term
        if peer.facts.started_ms != facts.started_ms:
            term.advice.forget_worker(facts.worker_id)
            term.health.forget(facts.worker_id)
            term.progress.forget(facts.worker_id)
            for failed_on in term.failed_on.values():
                failed_on.discard(facts.worker_id)
        peer.facts = facts

    def _on_removed(
        self, worker_id: messages.WorkerId, done: _term.Proposed
    ) -> None:
        if done.result() != result.Success(True):
            return
        term = self._term
        with term.lock, term.state.lock, self._lock:
            if worker_id in term.state.workers:
                # It has reported again since.
                return
            self._remove_peer(worker_id)
            self._reported_ms.pop(worker_id, None)
            self._leaves_ms.pop(worker_id, None)
            self._sequences.pop(worker_id, None)
        _logger.info('worker removed', worker=worker_id)

    def _remove_peer(self, worker_id: messages.WorkerId) -> None:
        self._facts_sequences.pop(worker_id, None)
        peer = self._term.peers.pop(worker_id, None)
        if peer is not None:
            peer.close()
            self._tokens_used_counts[worker_id] = peer.tokens_used_count

    # Callbacks of the peers.

    def may_act(self) -> bool:
        """Return whether this process still leads."""
        return self._term.may_act()

    def request_round(self) -> None:
        """Request a new scheduling round."""
        self._term.round_requested.set()

    def assigned(
        self, worker_id: messages.WorkerId
    ) -> dict[_specs.TaskKey, int]:
        """Return the runs that are assigned to a worker."""
        with self._term.state.lock:
            worker = self._term.state.workers.get(worker_id)
            return dict(worker.runs) if worker is not None else {}

    def fits(self, facts: _commands.WorkerFacts) -> bool:
        """Return whether the runs assigned to a worker fit in its capacity."""
        with self._term.state.lock:
            worker = self._term.state.workers.get(facts.worker_id)
            return worker is None or worker.used.fits_in(facts.capacity)

    def is_evacuated(self, facts: _commands.WorkerFacts) -> bool:
        """Return whether the failure domain of a worker is evacuated."""
        # Read without the lock of the state: the set is replaced as a whole.
        return self._term.state.is_evacuated(facts)

    def withheld(
        self, worker_id: messages.WorkerId, task: _specs.TaskKey, run: int
    ) -> None:
        """Note that a start is not sent, as the domain is evacuated."""
        self._term.metrics.withheld.inc()
        _logger.info(
            'start withheld',
            worker=worker_id,
            task=str(task),
            run=run,
            why='domain evacuated',
        )

    def suspects(
        self, tasks: collections.abc.Iterable[_specs.TaskKey]
    ) -> set[_specs.TaskKey]:
        """Return the tasks among these that are suspected of crashes."""
        with self._term.state.lock:
            return self._term.state.suspects.intersection(tasks)

    def obsolete(
        self, runs: collections.abc.Iterable[tuple[_specs.TaskKey, int]]
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Return the runs of ended jobs and of broken gangs."""
        state = self._term.state
        found = []
        with state.lock:
            for key, run in runs:
                job = state.jobs.get(key.job_id)
                if job is None or _is_obsolete(job, key, run):
                    found.append((key, run))
        return found

    def started(self, job_ids: collections.abc.Iterable[_specs.JobId]) -> None:
        """Note jobs of which a worker has started a run.

        They are committed by the next :meth:`commit_starts`.
        """
        begun = self._queued(job_ids)
        if not begun:
            return
        for job_id in begun:
            self._observe_first_start(job_id)
        with self._lock:
            self._begun.update(begun)

    def _queued(
        self, job_ids: collections.abc.Iterable[_specs.JobId]
    ) -> list[_specs.JobId]:
        """Return the jobs among these that are recorded as queued."""
        # Read without the lock of the state, as most jobs have begun before.
        state = self._term.state
        return [
            job_id
            for job_id in job_ids
            if (job := state.jobs.get(job_id)) is not None
            and job.phase is _records.JobPhase.QUEUED
        ]

    def _observe_first_start(self, job_id: _specs.JobId) -> None:
        accepted = self._term.accepted_ms.pop(job_id, None)
        if accepted is not None:
            queue, since_ms = accepted
            waited_ms = _clock.elapsed_ms() - since_ms
            self._term.metrics.first_start_seconds.labels(queue).observe(
                waited_ms / 1000
            )

    def confirm(self, runs: collections.abc.Iterable[_Run]) -> None:
        """Note runs of which no start may be carried out any more.

        They are committed by the next :meth:`commit_starts`.
        """
        confirmed = [run for run in runs if self._is_unconfirmed(*run)]
        if confirmed:
            with self._lock:
                self._confirmed.update(confirmed)

    def confirmed(
        self, tasks: collections.abc.Iterable[_specs.TaskKey]
    ) -> set[_specs.TaskKey]:
        """Return the tasks among these whose run is recorded as such."""
        state = self._term.state
        with state.lock:
            return {
                key
                for key in tasks
                if (job := state.jobs.get(key.job_id)) is not None
                and (task := job.task(key)) is not None
                and task.is_confirmed
            }

    def _is_unconfirmed(self, key: _specs.TaskKey, run: int) -> bool:
        """Return whether a run of some length is still to be confirmed."""
        # Read without the lock of the state, as most runs are confirmed.
        job = self._term.state.jobs.get(key.job_id)
        task = job.task(key) if job is not None else None
        if job is None or task is None or task.run != run:
            return False
        if task.is_confirmed or task.worker_id is None:
            return False
        if job.spec.steps[key.step].endless:
            return True
        peer = self._term.peers.get(task.worker_id)
        if peer is None:
            return False
        listed_ms = peer.orders.listed_ms(key, run, _clock.elapsed_ms())
        return listed_ms is not None and listed_ms >= CONFIRM_AFTER_MS

    def commit_starts(self) -> None:
        """Commit the jobs that have begun, and runs, since the last call."""
        if not self._term.node.is_leading():
            return
        with self._lock:
            begun, self._begun = self._begun, set()
            runs, self._confirmed = self._confirmed, set()
        queued = self._queued(begun)
        confirmed = [run for run in runs if self._is_unconfirmed(*run)]
        if not queued and not confirmed:
            return

        def finish(done: _term.Proposed) -> None:
            outcome = done.result()
            if isinstance(outcome, result.Failure):
                _logger.info('starts not recorded', why=str(outcome.failure()))
                with self._lock:
                    self._begun.update(queued)
                    self._confirmed.update(confirmed)

        command = _commands.EndRuns(
            (), tuple(sorted(queued)), tuple(sorted(confirmed, key=str))
        )
        self._term.propose(command).add_done_callback(finish)

    def record(self, ends: tuple[_commands.RunEnd, ...]) -> bool:
        """Commit ends to the log, then update health and stop broken gangs."""
        return self._end_recorder.record(ends)

    def begin_record(
        self, ends: tuple[_commands.RunEnd, ...]
    ) -> _end_recorder.Recording:
        """Begin to commit ends; the caller has to wait for the outcome."""
        return self._end_recorder.begin(ends)

    def misplaced(
        self, worker_id: messages.WorkerId, lists: _port.WorkerListing
    ) -> list[tuple[_specs.TaskKey, int]]:
        """Check the progress of runs; return those to reschedule."""
        term = self._term
        now_ms = _clock.elapsed_ms()
        with term.lock:
            peer = term.peers.get(worker_id)
            if peer is None or peer.facts_are_former():
                # What is known of the worker is about another incarnation.
                return []
            with term.state.lock:
                runs = _expected_progress(term.state, lists.runs)
            stalled = term.progress.record_list(
                worker_id,
                runs,
                lists.clock_ms,
                now_ms,
                [
                    (item.end.task, item.end.run)
                    for item in lists.ends
                    if item.end.outcome is _commands.RunOutcome.DONE
                ],
            )
            late_runs: list[_progress.RunProgress] = []
            with self._lock:
                leaves_ms = self._leaves_ms.get(worker_id)
            if leaves_ms is not None:
                late_runs = term.progress.late_runs(
                    worker_id, runs, leaves_ms - now_ms
                )
            for run in stalled:
                step = (run.task.job_id, run.task.step)
                term.failed_on.setdefault(step, set()).add(worker_id)
            if stalled:
                term.health.record_stall(worker_id, now_ms)
        self._log_misplaced(worker_id, stalled, 'no progress')
        self._log_misplaced(worker_id, late_runs, 'ends after its worker')
        return [(run.task, run.run) for run in (*stalled, *late_runs)]

    def _log_misplaced(
        self,
        worker_id: messages.WorkerId,
        runs: list[_progress.RunProgress],
        why: str,
    ) -> None:
        for run in runs:
            self._term.metrics.misplaced.labels(why).inc()
            _logger.warning(
                'rescheduling run',
                task=str(run.task),
                run=run.run,
                worker=worker_id,
                why=why,
                percent=run.percent,
                expected_ms=run.expected_ms,
            )

    def refused(
        self,
        worker_id: messages.WorkerId,
        task: _specs.TaskKey,
        reason: _port.Refusal,
        was_late: bool,
    ) -> None:
        """Handle a start order that a worker refused.

        A worker is not to blame for an order that reached it late.
        """
        term = self._term
        term.metrics.refused.labels(reason.value).inc()
        with term.lock:
            match reason:
                case _port.Refusal.NO_TICKET:
                    name = _specs.step_name(task.job_id, task.step)
                    term.advice.expire_ticket(name, worker_id)
                case _port.Refusal.LEASE_PASSED if was_late:
                    pass
                case _port.Refusal.UNHEALTHY:
                    term.health.suspend(worker_id, _clock.elapsed_ms())
                case (
                    _port.Refusal.NO_ROOM
                    | _port.Refusal.LEASE_PASSED
                    | _port.Refusal.FENCED
                    | _port.Refusal.INVALID
                ):
                    term.health.record_refusal(worker_id, _clock.elapsed_ms())

    def worker_crashed(
        self,
        worker_id: messages.WorkerId,
        ends: tuple[_commands.RunEnd, ...],
    ) -> None:
        """Report the crash of a worker, with the ends of its runs."""
        self._term.metrics.worker_crashes.inc()
        suspicions = {
            str(end.task): end.suspicion.value
            for end in ends
            if end.suspicion is not _commands.Suspicion.NONE
        }
        _logger.warning(
            'worker crashed',
            worker=worker_id,
            suspicions=suspicions,
            others_count=len(ends) - len(suspicions),
        )

    def worker_replaced(
        self, worker_id: messages.WorkerId, started_ms: int
    ) -> None:
        """Remove an incarnation that another worker has replaced."""
        term = self._term
        with term.lock, self._lock:
            self._replaced_started_ms[worker_id] = started_ms
            self._remove_peer(worker_id)
        term.propose(
            _commands.RemoveWorker(worker_id, started_ms)
        ).add_done_callback(
            functools.partial(self._on_replaced_removed, worker_id)
        )
        term.round_requested.set()

    def _on_replaced_removed(
        self, worker_id: messages.WorkerId, done: _term.Proposed
    ) -> None:
        if done.result() == result.Success(False):
            # A run was assigned after the ends were recorded, and another
            # peer records its end and removes the worker. Or the worker has
            # reported another incarnation.
            for restored_id in self.restore():
                _logger.warning(
                    'replaced worker is still recorded', worker=restored_id
                )

    def stop_obsolete(
        self, job_ids: collections.abc.Iterable[_specs.JobId]
    ) -> None:
        """Stop the remaining runs of ended jobs and of broken gangs."""
        state = self._term.state
        with self._term.lock, state.lock:
            for job_id in job_ids:
                job = state.jobs.get(job_id)
                if job is not None:
                    self._stop_obsolete_of(job)

    def _stop_obsolete_of(self, job: _records.JobRecord) -> None:
        if not job.phase.ended() and not any(
            step.gang for step in job.spec.steps
        ):
            return
        for position, step in enumerate(job.steps):
            for index, task in enumerate(step.tasks):
                if task.worker_id is None:
                    continue
                key = _specs.TaskKey(
                    job.spec.job_id, _specs.StepIndex(position), index
                )
                peer = self._term.peers.get(task.worker_id)
                if peer is not None and _is_obsolete(job, key, task.run):
                    peer.orders.stop(key, task.run)

    def _commit_ends(
        self, ends: tuple[_commands.RunEnd, ...]
    ) -> _end_recorder.Committed:
        workers = self._workers_of(ends)

        def make_effects(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> _end_recorder.Effects | None:
            if isinstance(outcome, result.Failure):
                _logger.warning(
                    'ends not recorded', why=str(outcome.failure())
                )
                return None
            given_up = outcome.unwrap()
            return functools.partial(
                self._handle_ends, ends, workers, given_up
            )

        proposed = self._term.propose(_commands.EndRuns(ends))
        return utils.map_future(proposed, make_effects)

    def _handle_ends(
        self,
        ends: tuple[_commands.RunEnd, ...],
        workers: dict[_Run, _RunOrigin],
        given_up: tuple[_specs.TaskKey, ...],
    ) -> None:
        for end in ends:
            origin = workers.get((end.task, end.run))
            if end.outcome is _commands.RunOutcome.CRASHED:
                self._term.metrics.crashed_runs.labels(
                    end.suspicion.value
                ).inc()
            self._term.metrics.ended.labels(end.outcome.value).inc()
            _logger.info(
                'run ended',
                task=str(end.task),
                run=end.run,
                outcome=end.outcome.value,
                worker=origin.worker_id if origin is not None else None,
            )
        for task in given_up:
            self._term.metrics.given_up.inc()
            _logger.warning(
                'job given up', job=task.job_id, task=str(task), why='crashes'
            )
        with self._term.lock:
            self._record_health(ends, workers)
        self.stop_obsolete({end.task.job_id for end in ends})
        self._term.round_requested.set()

    def _workers_of(
        self, ends: tuple[_commands.RunEnd, ...]
    ) -> dict[_Run, _RunOrigin]:
        state = self._term.state
        workers: dict[_Run, _RunOrigin] = {}
        with state.lock:
            for end in ends:
                job = state.jobs.get(end.task.job_id)
                task = job.task(end.task) if job is not None else None
                # A repeated end must not count against the next run's worker.
                if (
                    job is not None
                    and task is not None
                    and task.run == end.run
                    and task.worker_id in state.workers
                ):
                    facts = state.workers[task.worker_id].facts
                    endless = job.spec.steps[end.task.step].endless
                    workers[end.task, end.run] = _RunOrigin(
                        facts.worker_id,
                        facts.started_ms,
                        endless and self._was_at_work(facts.worker_id, end),
                    )
        return workers

    def _was_at_work(
        self, worker_id: messages.WorkerId, end: _commands.RunEnd
    ) -> bool:
        peer = self._term.peers.get(worker_id)
        if peer is None:
            return False
        now_ms = _clock.elapsed_ms()
        listed_ms = peer.orders.listed_ms(end.task, end.run, now_ms)
        return listed_ms is not None and listed_ms >= AT_WORK_MS

    def _record_health(
        self,
        ends: tuple[_commands.RunEnd, ...],
        workers: dict[_Run, _RunOrigin],
    ) -> None:
        term = self._term
        now_ms = _clock.elapsed_ms()
        for end in ends:
            if (end.task, end.run) not in workers:
                continue
            origin = workers[end.task, end.run]
            worker_id = origin.worker_id
            peer = term.peers.get(worker_id)
            if peer is not None and (
                peer.facts.started_ms != origin.started_ms
            ):
                # The next incarnation is not to blame.
                continue
            if origin.is_sound:
                # Endless tasks end as done on no worker, and may fail at any
                # time.
                continue
            term.health.record_end(worker_id, end.outcome, now_ms)
            if end.outcome is _commands.RunOutcome.FAILED:
                step = (end.task.job_id, end.task.step)
                term.failed_on.setdefault(step, set()).add(worker_id)


def _expected_progress(
    state: _state.JobsState,
    listings: collections.abc.Iterable[_port.RunListing],
) -> list[_progress.RunProgress]:
    """Return the progress of the runs that are expected to make progress.

    Endless tasks report no progress, and tasks of steps with
    ``uses_idle_cpu`` pause while others use their worker. The caller holds
    the state's lock.
    """
    found = []
    for listing in listings:
        job = state.jobs.get(listing.task.job_id)
        task = job.task(listing.task) if job is not None else None
        if job is None or task is None or task.run != listing.run:
            continue
        step = job.spec.steps[listing.task.step]
        if step.endless or step.uses_idle_cpu or not step.expected_run_ms:
            continue
        startup_allowance_ms = _progress.RESTORE_MS if task.checkpoint else 0
        if step.gang:
            startup_allowance_ms += _progress.GANG_START_MS
        found.append(
            _progress.RunProgress(
                listing.task,
                listing.run,
                listing.percent,
                step.expected_run_ms,
                startup_allowance_ms,
                step.checkpointing,
                step.gang,
            )
        )
    return found


def _has_replaced(
    peer: _worker_peer.WorkerPeer,
    known: _commands.WorkerFacts,
    facts: _commands.WorkerFacts,
) -> bool:
    """Return whether a worker replaced one with a later start time.

    That happens if its clock was stepped back before it started again. It
    then counts which of them answers.
    """
    return facts.started_ms < known.started_ms and peer.answers_as(
        facts.started_ms
    )


def _limits_starts(
    known: _commands.WorkerFacts, facts: _commands.WorkerFacts
) -> bool:
    """Return whether the phase has changed or the worker has shrunk."""
    return known.phase != facts.phase or not known.capacity.fits_in(
        facts.capacity
    )


def _ends_draining(
    known: _commands.WorkerFacts, facts: _commands.WorkerFacts
) -> bool:
    """Return whether facts say that the same incarnation drains no more.

    Draining is final: a worker that is to be used again starts again.
    """
    return (
        known.started_ms == facts.started_ms
        and known.phase is _commands.WorkerPhase.DRAINING
        and facts.phase is _commands.WorkerPhase.READY
    )


def _is_obsolete(
    job: _records.JobRecord, key: _specs.TaskKey, run: int
) -> bool:
    """Return whether a run should stop.

    A gang is broken if a member of the same run is no longer assigned and the
    gang is not done.
    """
    step = job.steps[key.step]
    if job.phase.ended():
        return not step.finished
    if not job.spec.steps[key.step].gang or step.finished:
        return False
    return any(
        member.phase is _records.TaskPhase.WAITING and member.run == run
        for member in step.tasks
    )
