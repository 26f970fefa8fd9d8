"""Scheduling rounds: request advice, place tasks, commit the assignments."""

import collections.abc
import dataclasses
import threading
import time

from returns import result
import structlog

from dandeliondrum.jobs import _advice_requester
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _wait_tracker
from dandeliondrum import messages

# Minimum interval between rounds, so that one round batches many decisions.
ROUND_MIN_MS = 8
# Maximum interval between rounds: tickets and suspensions expire without an
# event.
ROUND_MAX_MS = 150

_logger = structlog.get_logger()

_Demands = list[tuple[_planner.Demand, _policy.QueuePolicy]]
_Groups = list[tuple[_planner.Placement, ...]]


class Scheduler:
    """Thread that assigns waiting tasks to workers."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term
        self._advice_requester = _advice_requester.AdviceRequester(term)
        self._wait_tracker = _wait_tracker.WaitTracker()
        # Steps for which the last round reserved workers on which tasks fit,
        # now or once runs have been stopped.
        self._steps_with_capacity: set[
            tuple[_specs.JobId, _specs.StepIndex]
        ] = set()

    def run(self, stopping: threading.Event) -> None:
        """Run a round after each change until ``stopping`` is set."""
        round_requested = self._term.round_requested
        while not stopping.is_set():
            round_requested.wait(ROUND_MAX_MS / 1000)
            if stopping.is_set():
                return
            round_requested.clear()
            if self._term.may_act():
                self._round()
            stopping.wait(ROUND_MIN_MS / 1000)

    def _round(self) -> None:
        admission = self._term.admission
        admission.begin_round(_clock.elapsed_ms())
        try:
            assignments = self._plan_round()
        finally:
            admission.end_round(_clock.elapsed_ms())
        if assignments:
            self._commit(assignments)

    def _plan_round(
        self,
    ) -> tuple[tuple[_commands.RunAssignment, ...], ...]:
        """Plan due tasks and register their orders; return assignments."""
        term = self._term
        started_s = time.monotonic()
        with term.lock, term.state.lock:
            term.metrics.open_jobs.set(len(term.state.open_jobs))
            demands = list(_demands.open_demands(term.state))
            if not demands:
                term.advice.retain(set())
                return ()
            workers = self._usable_workers()
            term.metrics.usable_workers.set(len(workers))
            self._advice_requester.request(
                demands, workers, self._steps_with_capacity
            )
            groups = self._plan(demands, workers)
            assignments = _demands.assignments(term.state, groups)
            self._register_orders(groups, assignments)
        term.metrics.round_seconds.observe(time.monotonic() - started_s)
        return assignments

    def _usable_workers(self) -> list[_planner.AvailableWorker]:
        term = self._term
        now_ms = _clock.elapsed_ms()
        workers = []
        slow = term.progress.slow_workers(now_ms)
        for worker_id, worker in term.state.workers.items():
            peer = term.peers.get(worker_id)
            if peer is None or not peer.usable():
                continue
            if worker.facts.phase is not _commands.WorkerPhase.READY:
                continue
            if term.health.suspended(worker_id, now_ms):
                continue
            penalty = term.health.consecutive_failures(worker_id)
            workers.append(
                _demands.available_worker(
                    worker, penalty + (worker_id in slow)
                )
            )
        return workers

    def _plan(
        self, demands: _Demands, workers: list[_planner.AvailableWorker]
    ) -> _Groups:
        term = self._term
        now_ms = _clock.elapsed_ms()
        ready = [
            self._with_grants(demand, queue, now_ms)
            for demand, queue in demands
        ]
        team_available = _demands.team_available(term.state)
        preemption = _preemption.Preemption(self._preemptible_runs)
        groups = _planner.plan(
            [
                demand
                for demand in ready
                if demand.granted is None or demand.granted
            ],
            workers,
            team_available,
            preemption,
        )
        self._steps_with_capacity = preemption.steps_with_capacity
        self._preempt(preemption.chosen)
        placed = {
            (placement.task.job_id, placement.task.step)
            for group in groups
            for placement in group
        }
        waiting = [
            demand
            for demand in ready
            if (demand.job_id, demand.step) not in placed
        ]
        self._wait_tracker.report(waiting, workers, team_available, now_ms)
        return groups

    def _preemptible_runs(
        self, worker_id: messages.WorkerId
    ) -> list[_preemption.PreemptibleRun]:
        orders = self._term.peers[worker_id].orders
        return _demands.preemptible_runs(self._term.state, worker_id, orders)

    def _preempt(self, runs: list[_preemption.PreemptibleRun]) -> None:
        for run in runs:
            self._term.metrics.preempted.inc()
            _logger.info(
                'run preempted',
                task=str(run.task),
                run=run.run,
                worker=run.worker_id,
                priority=run.priority,
            )
            self._term.peers[run.worker_id].orders.stop(run.task, run.run)

    def _with_grants(
        self,
        demand: _planner.Demand,
        queue: _policy.QueuePolicy,
        now_ms: int,
    ) -> _planner.Demand:
        term = self._term
        tickets: dict[messages.WorkerId, str] | None = None
        granted: collections.abc.Set[messages.WorkerId] | None = None
        if queue.advice is not None:
            name = _specs.step_name(demand.job_id, demand.step)
            tickets = term.advice.tickets(name, now_ms)
            granted = term.advice.granted(name)
        failed_on = term.failed_on.get((demand.job_id, demand.step), set())
        return dataclasses.replace(
            demand,
            tickets=tickets,
            granted=granted,
            avoided=frozenset(failed_on),
            waited_ms=self._wait_tracker.waited_ms(
                demand.job_id, demand.step, now_ms
            ),
        )

    def _register_orders(
        self,
        groups: _Groups,
        assignments: tuple[tuple[_commands.RunAssignment, ...], ...],
    ) -> None:
        """Add the runs to the order books before they can be assigned."""
        for group, runs in zip(groups, assignments, strict=True):
            for placement, run in zip(group, runs, strict=True):
                job = self._term.state.jobs[run.task.job_id]
                task = job.steps[run.task.step].tasks[run.task.index]
                order = _orders.Order(
                    run.run,
                    job.spec.payload,
                    task.checkpoint,
                    placement.ticket,
                )
                self._term.peers[run.worker_id].orders.plan(run.task, order)

    def _commit(
        self, assignments: tuple[tuple[_commands.RunAssignment, ...], ...]
    ) -> None:
        term = self._term
        outcome = term.commit(_commands.AssignRuns(assignments))
        if isinstance(outcome, result.Failure):
            # The command may still be applied; in that case the next leader
            # handles the runs.
            _logger.warning('runs not assigned', why=str(outcome.failure()))
            return
        with term.lock:
            for runs, assigned in zip(
                assignments, outcome.unwrap(), strict=True
            ):
                for run in runs:
                    self._dispatch(run, assigned)

    def _dispatch(self, run: _commands.RunAssignment, assigned: bool) -> None:
        peer = self._term.peers.get(run.worker_id)
        if peer is None:
            return
        if not assigned:
            peer.orders.discard_plan(run.task)
            return
        self._term.metrics.assigned.inc()
        _logger.info(
            'run assigned',
            task=str(run.task),
            run=run.run,
            worker=run.worker_id,
            policy_version=self._term.state.policy.version,
            list_age_ms=peer.list_age_ms(),
        )
        self._observe_first_start(run.task.job_id)
        peer.orders.dispatch(run.task)

    def _observe_first_start(self, job_id: _specs.JobId) -> None:
        accepted = self._term.accepted_ms.pop(job_id, None)
        if accepted is not None:
            queue, since_ms = accepted
            waited_ms = _clock.elapsed_ms() - since_ms
            self._term.metrics.first_start_seconds.labels(queue).observe(
                waited_ms / 1000
            )
