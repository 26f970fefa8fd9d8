"""Scheduling rounds: request advice, place tasks, commit the assignments."""

import collections
import collections.abc
import contextlib
import dataclasses
import functools
import queue
import threading
import time

from returns import result
import structlog

from dandeliondrum.jobs import _advice_requester
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _ordering
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _wait_tracker
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs import queueing
from dandeliondrum import messages

# Minimum interval between rounds, so that one round batches many decisions.
ROUND_MIN_MS = 8
# The pause after a round is this many times as long as the round, so that
# planning leaves three quarters of the time to the other threads.
PAUSE_PER_ROUND = 3
# Maximum interval between rounds: tickets and suspensions expire without an
# event.
ROUND_MAX_MS = 150
# Interval between warnings about a command that is not applied yet.
COMMIT_WARNING_MS = 500
# Delay after the log has refused a command.
COMMIT_RETRY_DELAY_MS = 200

_logger = structlog.get_logger()

_OpenDemand = tuple[_planner.Demand, _policy.QueuePolicy]
_Groups = list[tuple[_planner.Placement, ...]]
_Assignments = tuple[tuple[_commands.RunAssignment, ...], ...]
_Peers = dict[messages.WorkerId, _worker_peer.WorkerPeer]


@dataclasses.dataclass(frozen=True, slots=True)
class _Inputs:
    """Inputs of a planning round, as read under the locks.

    ``considered`` are the demands that this round is about, in scheduling
    order. Of these, ``unfit_steps`` can't run on the usable workers.
    """

    demands: list[_planner.Demand]
    considered: list[_planner.Demand]
    workers: list[_planner.AvailableWorker]
    team_available: dict[messages.TeamId, messages.Resources]
    unfit_steps: collections.abc.Set[_planner.StepKey]
    peers: _Peers
    facts: dict[messages.WorkerId, _commands.WorkerFacts]
    isolation: _planner.Isolation
    now_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _StateRead:
    """Parts of the replicated state that a round reads under its lock."""

    demands: list[_OpenDemand]
    workers: list[_planner.AvailableWorker]
    isolation: _planner.Isolation
    team_available: dict[messages.TeamId, messages.Resources]
    team_limits: dict[messages.TeamId, messages.Resources]
    facts: dict[messages.WorkerId, _commands.WorkerFacts]
    open_jobs_count: int


class _LockTimes:
    """The longest time that a round waited for a lock and held one."""

    def __init__(self) -> None:
        self.wait_max_s = 0.0
        self.held_max_s = 0.0

    @contextlib.contextmanager
    def measure(self, lock: threading.RLock) -> collections.abc.Iterator[None]:
        """Hold a lock and measure how long it took and was held."""
        started_s = time.monotonic()
        with lock:
            locked_s = time.monotonic()
            yield
        self.wait_max_s = max(self.wait_max_s, locked_s - started_s)
        held_s = time.monotonic() - locked_s
        self.held_max_s = max(self.held_max_s, held_s)


class Scheduler:
    """Thread that assigns waiting tasks to workers."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term
        self._advice_requester = _advice_requester.AdviceRequester(term)
        self._wait_tracker = _wait_tracker.WaitTracker()
        self._demand_cache = _demands.DemandCache()
        self._worker_cache = _demands.WorkerCache()
        self._ordering = _ordering.Ordering(term)
        self._submission_times = queueing.SubmissionTimes()
        self._backlog = queueing.Backlog()
        # Durations of the last round without its commit, and of the commit.
        self._round_ms = 0.0
        self._commit_ms = 0.0
        # Steps for which the last round reserved workers on which tasks fit,
        # now or once runs have been stopped.
        self._steps_with_capacity: set[
            tuple[_specs.JobId, _specs.StepIndex]
        ] = set()
        # Steps that could not run on the workers in the last round, and why.
        # They are never left out, so that all of them are known.
        self._unfit_reasons: dict[_planner.StepKey, str] = {}
        # The usable workers as the last round left them.
        self._workers: list[_planner.AvailableWorker] = []
        # Workers that the last round kept free for some step.
        self._reserved_ids: set[messages.WorkerId] = set()

    def run(self, stopping: threading.Event) -> None:
        """Run a round after each change until ``stopping`` is set."""
        round_requested = self._term.round_requested
        while not stopping.is_set():
            round_requested.wait(ROUND_MAX_MS / 1000)
            if stopping.is_set():
                return
            round_requested.clear()
            if self._term.may_act():
                self.run_round(stopping)
            self._pause(stopping)

    def _pause(self, stopping: threading.Event) -> None:
        """Leave the time to other threads, but request advice meanwhile."""
        end_s = time.monotonic() + self.pause_ms() / 1000
        while not stopping.is_set():
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return
            self._request_first_advice(left_s)

    def _request_first_advice(self, timeout_s: float) -> None:
        """Wait for new jobs and request advice for them.

        A job that is read here for the first time is planned by the next
        round, for which its advice then is on the way.
        """
        term = self._term
        job_ids = _take_all(term.new_jobs, timeout_s)
        if not job_ids or not term.may_act():
            return
        now_ms = _clock.elapsed_ms()
        with term.lock:
            with term.state.lock:
                demands = [
                    found
                    for job_id in job_ids
                    for found in self._demand_cache.read_new(
                        term.state, job_id
                    )
                ]
                team_limits = _demands.team_limits(term.state)
            for demand, _ in demands:
                self._submission_times.add(demand.job_id, now_ms)
                self._set_urgency(demand, now_ms)
            unfit_reasons = _planner.unfit_reasons(
                (demand for demand, _ in demands), self._workers, team_limits
            )
            self._advice_requester.request_first(demands, unfit_reasons)

    def pause_ms(self) -> float:
        """Return the pause after the last round.

        Planning rested while the round was committed.
        """
        pause_ms = PAUSE_PER_ROUND * self._round_ms - self._commit_ms
        return min(max(ROUND_MIN_MS, pause_ms), ROUND_MAX_MS)

    def run_round(self, stopping: threading.Event) -> None:
        """Place waiting tasks and commit their assignments.

        The locks are held only to read the inputs and to register the
        results, so that the other threads do not wait while a plan is made.
        Assignments that became impossible in the meantime are left out or
        rejected by the state machine. The commit is given up when
        ``stopping`` is set.
        """
        admission = self._term.admission
        admission.begin_round(_clock.elapsed_ms())
        try:
            assignments = self._make_assignments()
        finally:
            admission.end_round(_clock.elapsed_ms())
        self._commit_ms = 0.0
        if assignments:
            started_s = time.monotonic()
            self._commit(assignments, stopping)
            self._commit_ms = (time.monotonic() - started_s) * 1000

    def _make_assignments(self) -> _Assignments:
        """Plan due tasks and register their orders."""
        term = self._term
        locks = _LockTimes()
        started_s = time.monotonic()
        inputs = self._read_inputs(locks)
        if inputs is None:
            self._round_ms = 0.0
            return ()
        groups = self._plan(inputs)
        assignments = self._register(groups, inputs, locks)
        round_s = time.monotonic() - started_s
        self._round_ms = round_s * 1000
        term.metrics.round_seconds.observe(round_s)
        term.load.record_round(round_s, locks.wait_max_s, locks.held_max_s)
        return assignments

    def _read_inputs(self, locks: '_LockTimes') -> '_Inputs | None':
        """Read what is to be planned and request advice; None if nothing."""
        term = self._term
        now_ms = _clock.elapsed_ms()
        with locks.measure(term.lock):
            self._advice_requester.record_answers()
            usable = self._usable_ids(now_ms)
            with locks.measure(term.state.lock):
                state = self._read_state(usable, now_ms)
            term.metrics.open_jobs.set(state.open_jobs_count)
            term.load.record_waiting(len(state.demands), state.open_jobs_count)
            self._workers = state.workers
            if not state.demands:
                self._clear()
                return None
            for demand, _ in state.demands:
                self._set_urgency(demand, now_ms)
            inputs = self._make_inputs(state, now_ms)
            term.load.record_fleet(
                _demands.free_cpu_share(state.workers),
                sum(demand.is_late for demand, _ in state.demands),
            )
        term.metrics.usable_workers.set(len(state.workers))
        return inputs

    def _read_state(
        self, usable: set[messages.WorkerId], now_ms: int
    ) -> '_StateRead':
        """Read the replicated state; the caller holds its lock.

        The workers kept for isolated tasks are removed from ``usable``.
        """
        term = self._term
        state = term.state
        demands = self._demand_cache.read(state)
        self._submission_times.update(
            state.open_jobs, now_ms, _clock.unix_ms()
        )
        isolating = _demands.isolating_workers(
            state,
            {worker_id: peer.orders for worker_id, peer in term.peers.items()},
            now_ms,
        )
        isolation = _planner.Isolation(
            self._count_by_pool(isolating & usable),
            self._count_by_pool(isolating - usable),
        )
        usable.difference_update(isolating)
        workers = self._usable_workers(usable, now_ms) if demands else []
        return _StateRead(
            demands,
            workers,
            isolation,
            _demands.team_available(state),
            _demands.team_limits(state),
            {
                worker.worker_id: state.workers[worker.worker_id].facts
                for worker in workers
            },
            len(state.open_jobs),
        )

    def _clear(self) -> None:
        """Forget what is known of waiting steps while there are none."""
        self._term.advice.retain(set())
        self._term.unfit_reasons = {}
        self._unfit_reasons = {}
        self._ordering.clear()
        self._advice_requester.clear()

    def _make_inputs(self, state: '_StateRead', now_ms: int) -> '_Inputs':
        """Select and order the demands of this round and request advice.

        The caller holds the lock of the term.
        """
        term, workers = self._term, state.workers
        considered = self._select_considered(state.demands)
        unfit_reasons = self._unfit_reasons = _planner.unfit_reasons(
            (demand for demand, _ in considered), workers, state.team_limits
        )
        term.unfit_reasons = _reasons_to_report(state.demands, unfit_reasons)
        ordered = self._ordering.order(
            [demand for demand, _ in considered],
            workers,
            unfit_reasons,
            now_ms,
        )
        self._advice_requester.request(
            considered,
            workers,
            self._steps_with_capacity,
            self._reserved_ids,
            state.team_available,
            unfit_reasons,
        )
        term.advice.retain(_step_names(state.demands))
        for demand, queue_policy in considered:
            if (demand.job_id, demand.step) not in unfit_reasons:
                self._set_advice(demand, queue_policy, now_ms)
        return _Inputs(
            [demand for demand, _ in state.demands],
            ordered,
            workers,
            state.team_available,
            unfit_reasons.keys(),
            dict(term.peers),
            state.facts,
            state.isolation,
            now_ms,
        )

    def _select_considered(
        self, demands: list[_OpenDemand]
    ) -> list[_OpenDemand]:
        """Return the demands that this round is about.

        Of late ones there may be hundreds, and most of what a round does for
        a demand takes longer than to leave it out.
        """
        postponed = self._backlog.postponed(
            demand
            for demand, _ in demands
            if (demand.job_id, demand.step) not in self._unfit_reasons
        )
        if not postponed:
            return demands
        return [
            found
            for found in demands
            if (found[0].job_id, found[0].step) not in postponed
        ]

    def _usable_ids(self, now_ms: int) -> set[messages.WorkerId]:
        term = self._term
        return {
            worker_id
            for worker_id, peer in term.peers.items()
            if peer.usable() and not term.health.suspended(worker_id, now_ms)
        }

    def _count_by_pool(
        self, worker_ids: set[messages.WorkerId]
    ) -> collections.Counter[str]:
        workers = self._term.state.workers
        return collections.Counter(
            workers[worker_id].facts.pool
            for worker_id in worker_ids
            if worker_id in workers
        )

    def _usable_workers(
        self, usable: set[messages.WorkerId], now_ms: int
    ) -> list[_planner.AvailableWorker]:
        term = self._term
        slow = term.progress.slow_workers(now_ms)
        evacuated = term.state.evacuations.domains
        return self._worker_cache.read(
            (
                (
                    worker,
                    term.health.consecutive_failures(worker_id)
                    + (worker_id in slow),
                )
                for worker_id, worker in term.state.workers.items()
                if worker_id in usable
                and worker.facts.phase is _commands.WorkerPhase.READY
                and worker.facts.failure_domain not in evacuated
                # The peer may have newer facts, which are being committed.
                and worker.facts == term.peers[worker_id].facts
            ),
            term.speeds.uneven_speeds(now_ms),
        )

    def _plan(self, inputs: '_Inputs') -> _Groups:
        preemption = _preemption.Preemption(
            functools.partial(self._preemptible_runs, inputs.peers),
            self._left_ms,
        )
        groups = _planner.plan(
            [
                demand
                for demand in inputs.considered
                if (demand.granted is None or demand.granted)
                and (demand.job_id, demand.step) not in inputs.unfit_steps
            ],
            inputs.workers,
            inputs.team_available,
            preemption,
            inputs.isolation,
        )
        self._steps_with_capacity = preemption.steps_with_capacity
        self._reserved_ids = {
            worker.worker_id for worker in inputs.workers if worker.reserved
        }
        self._preempt(preemption.chosen, inputs.peers)
        placed = {
            (placement.task.job_id, placement.task.step)
            for group in groups
            for placement in group
        }
        waiting = [
            demand
            for demand in inputs.demands
            if (demand.job_id, demand.step) not in placed
        ]
        self._wait_tracker.report(
            waiting, inputs.workers, inputs.team_available, inputs.now_ms
        )
        return groups

    def _preemptible_runs(
        self, peers: _Peers, worker_id: messages.WorkerId
    ) -> list[_preemption.PreemptibleRun]:
        state = self._term.state
        with state.lock:
            return _demands.preemptible_runs(
                state, worker_id, peers[worker_id].orders
            )

    def _left_ms(self, run: _preemption.PreemptibleRun) -> int:
        """Return the expected time to the end of a run."""
        term = self._term
        return term.speeds.expected_run_ms(
            run.worker_id,
            run.expected_ms,
            _clock.elapsed_ms(),
            term.progress.percent(run.worker_id, run.task, run.run),
        )

    def _preempt(
        self, runs: list[_preemption.PreemptibleRun], peers: _Peers
    ) -> None:
        for run in runs:
            self._term.metrics.preempted.inc()
            _logger.info(
                'run preempted',
                task=str(run.task),
                run=run.run,
                worker=run.worker_id,
                priority=run.priority,
                left_ms=self._left_ms(run),
            )
            peers[run.worker_id].orders.stop(run.task, run.run)

    def _set_advice(
        self,
        demand: _planner.Demand,
        queue_policy: _policy.QueuePolicy,
        now_ms: int,
    ) -> None:
        """Set what a demand may use now; it is kept from round to round."""
        term = self._term
        if queue_policy.advice is not None:
            name = _specs.step_name(demand.job_id, demand.step)
            demand.tickets = term.advice.tickets(name, now_ms)
            demand.granted = frozenset(term.advice.granted(name))
            if demand.tickets:
                term.advice.record_planned(name)
        step = (demand.job_id, demand.step)
        demand.avoided = frozenset(term.failed_on.get(step, ()))

    def _set_urgency(self, demand: _planner.Demand, now_ms: int) -> None:
        """Set what decides the order of demands in this round."""
        submitted_ms = self._submission_times.submitted_ms(demand.job_id)
        demand.latest_start_ms = submitted_ms + (demand.slack_ms or 0)
        demand.slack_left_ms = (
            demand.latest_start_ms - now_ms
            if demand.slack_ms is not None
            else None
        )
        demand.urgency = queueing.urgency_at(
            now_ms, demand.latest_start_ms, demand.objective_ms
        )
        demand.waited_ms = self._wait_tracker.waited_ms(
            demand.job_id, demand.step, now_ms
        )

    def _register(
        self, groups: _Groups, inputs: '_Inputs', locks: '_LockTimes'
    ) -> _Assignments:
        """Add the runs to the order books before they can be assigned."""
        if not groups:
            return ()
        term = self._term
        with locks.measure(term.lock):
            usable = self._still_usable(groups, inputs)
            with locks.measure(term.state.lock):
                # Jobs and workers may have changed since they were read.
                unchanged = self._unchanged(usable, inputs)
                groups = [
                    group
                    for group in groups
                    if self._is_valid(group, unchanged)
                ]
                assignments = _demands.assignments(term.state, groups)
                for group, runs in zip(groups, assignments, strict=True):
                    for placement, run in zip(group, runs, strict=True):
                        self._register_order(placement, run)
        return assignments

    def _still_usable(
        self, groups: _Groups, inputs: '_Inputs'
    ) -> set[messages.WorkerId]:
        """Return the workers of the groups that may get new tasks."""
        peers = self._term.peers
        placed_on = {
            placement.worker_id for group in groups for placement in group
        }
        return {
            worker_id
            for worker_id in placed_on
            if peers.get(worker_id) is inputs.peers[worker_id]
            and inputs.peers[worker_id].usable()
        }

    def _unchanged(
        self, worker_ids: set[messages.WorkerId], inputs: '_Inputs'
    ) -> set[messages.WorkerId]:
        """Return the workers whose facts are those that were planned with.

        A worker that restarted may have fewer resources. Its failure domain
        may have been evacuated in the meantime.
        """
        workers = self._term.state.workers
        return {
            worker_id
            for worker_id in worker_ids
            if worker_id in workers
            and workers[worker_id].facts == inputs.facts[worker_id]
            and not self._term.state.is_evacuated(inputs.facts[worker_id])
        }

    def _is_valid(
        self,
        group: tuple[_planner.Placement, ...],
        unchanged: set[messages.WorkerId],
    ) -> bool:
        return all(
            placement.task.job_id in self._term.state.open_jobs
            and placement.worker_id in unchanged
            for placement in group
        )

    def _register_order(
        self, placement: _planner.Placement, run: _commands.RunAssignment
    ) -> None:
        job = self._term.state.jobs[run.task.job_id]
        task = job.steps[run.task.step].tasks[run.task.index]
        order = _orders.Order(
            run.run,
            job.spec.payload,
            task.checkpoint,
            placement.ticket,
            worker=self._term.state.workers[run.worker_id].facts,
        )
        self._term.peers[run.worker_id].orders.plan(run.task, order)

    def _commit(
        self,
        assignments: tuple[tuple[_commands.RunAssignment, ...], ...],
        stopping: threading.Event,
    ) -> None:
        """Propose the assignments and dispatch the runs once applied.

        There is no timeout: a command that is still pending can be applied
        at any time, and its tasks must not be planned again meanwhile.
        """
        term = self._term
        proposed = term.propose(_commands.AssignRuns(assignments))
        if not self._wait_until_done(proposed, stopping):
            return
        outcome = proposed.result()
        if isinstance(outcome, result.Failure):
            error = outcome.failure()
            _logger.warning('runs not assigned', why=str(error))
            if error.never_committed:
                self._discard(assignments)
                stopping.wait(COMMIT_RETRY_DELAY_MS / 1000)
            # Otherwise leadership is lost, and the next leader handles runs
            # that are assigned after all.
            return
        with term.lock:
            for runs, assigned in zip(
                assignments, outcome.unwrap(), strict=True
            ):
                for run in runs:
                    self._dispatch(run, assigned)

    def _wait_until_done(
        self, proposed: _term.Proposed, stopping: threading.Event
    ) -> bool:
        """Wait for a proposal; return False if the leader stops before."""
        new_jobs = self._term.new_jobs
        proposed.add_done_callback(lambda _: new_jobs.put(None))
        started_s = time.monotonic()
        warned_ms = 0
        while not stopping.is_set():
            if proposed.done():
                return True
            self._request_first_advice(COMMIT_WARNING_MS / 1000)
            waited_ms = int((time.monotonic() - started_s) * 1000)
            if waited_ms >= warned_ms + COMMIT_WARNING_MS:
                warned_ms = waited_ms
                _logger.warning(
                    'assignment not applied yet', waited_ms=waited_ms
                )
        return False

    def _discard(
        self, assignments: tuple[tuple[_commands.RunAssignment, ...], ...]
    ) -> None:
        with self._term.lock:
            for runs in assignments:
                for run in runs:
                    self._dispatch(run, False)

    def _dispatch(self, run: _commands.RunAssignment, assigned: bool) -> None:
        peer = self._term.peers.get(run.worker_id)
        if peer is None:
            return
        if not assigned:
            peer.orders.discard_plan(run.task, run.run)
            return
        self._term.metrics.assigned.inc()
        self._term.load.record_starts(1)
        _logger.info(
            'run assigned',
            task=str(run.task),
            run=run.run,
            worker=run.worker_id,
            policy_version=self._term.state.policy.version,
            list_age_ms=peer.list_age_ms(),
        )
        peer.orders.dispatch(run.task)


def _step_names(demands: list[_OpenDemand]) -> set[str]:
    return {
        _specs.step_name(demand.job_id, demand.step) for demand, _ in demands
    }


def _reasons_to_report(
    demands: list[_OpenDemand],
    unfit_reasons: dict[_planner.StepKey, str],
) -> dict[_specs.JobId, str]:
    """Return why jobs can't run that have been waiting for a while.

    The workers may not be known yet before.
    """
    return {
        demand.job_id: unfit_reasons[demand.job_id, demand.step]
        for demand, _ in demands
        if (demand.job_id, demand.step) in unfit_reasons
        and demand.waited_ms >= _planner.RESERVE_AFTER_MS
    }


def _take_all(
    new_jobs: 'queue.SimpleQueue[_specs.JobId | None]', timeout_s: float
) -> list[_specs.JobId]:
    """Wait for an entry of a queue; return all jobs that are in it then."""
    found = []
    try:
        found.append(new_jobs.get(timeout=timeout_s))
        while True:
            found.append(new_jobs.get_nowait())
    except queue.Empty:
        return [job_id for job_id in found if job_id is not None]
