"""Scheduling rounds: request advice, place tasks, commit the assignments."""

import collections.abc
import dataclasses
import threading
import time

from returns import result
import structlog

from dandeliondrum.jobs import _advice_calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _delays
from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum import messages

# Minimum interval between rounds, so that one round batches many decisions.
ROUND_MIN_MS = 8
# Maximum interval between rounds: tickets and suspensions expire without an
# event.
ROUND_MAX_MS = 150

_logger = structlog.get_logger()

_Open = list[tuple[_planner.Demand, _policy.QueuePolicy]]
_Groups = list[tuple[_planner.Placement, ...]]


class Scheduler:
    """Task that assigns waiting tasks to workers."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term
        self._advice_calls = _advice_calls.AdviceCalls(term)
        self._delays = _delays.Delays()
        # Steps for which the last round reserved workers.
        self._served: set[tuple[_specs.JobId, _specs.StepIndex]] = set()

    def run(self, stopping: threading.Event) -> None:
        """Run a round after each change until ``stopping`` is set."""
        work = self._term.work
        while not stopping.is_set():
            work.wait(ROUND_MAX_MS / 1000)
            if stopping.is_set():
                return
            work.clear()
            if self._term.may_act():
                self._round()
            stopping.wait(ROUND_MIN_MS / 1000)

    def _round(self) -> None:
        term = self._term
        began_s = time.monotonic()
        with term.lock, term.state.lock:
            term.metrics.open_jobs.set(len(term.state.open_jobs))
            demands = list(_demands.open_demands(term.state))
            if not demands:
                term.advice.keep_only(set())
                return
            rooms = self._rooms()
            term.metrics.usable_workers.set(len(rooms))
            self._advice_calls.make(demands, rooms, self._served)
            groups = self._plan(demands, rooms)
            numbered = _demands.assignments(term.state, groups)
            self._note_orders(groups, numbered)
        term.metrics.round_seconds.observe(time.monotonic() - began_s)
        if numbered:
            self._agree(numbered)

    def _rooms(self) -> list[_planner.WorkerRoom]:
        term = self._term
        now_ms = _clock.elapsed_ms()
        rooms = []
        slow = term.progress.slow_workers(now_ms)
        for worker_id, worker in term.state.workers.items():
            peer = term.peers.get(worker_id)
            if peer is None or not peer.usable():
                continue
            if worker.facts.phase is not _commands.WorkerPhase.READY:
                continue
            if term.health.suspended(worker_id, now_ms):
                continue
            suspicion = term.health.suspicion(worker_id)
            rooms.append(
                _demands.room_of(worker, suspicion + (worker_id in slow))
            )
        return rooms

    def _plan(
        self, demands: _Open, rooms: list[_planner.WorkerRoom]
    ) -> _Groups:
        term = self._term
        now_ms = _clock.elapsed_ms()
        ready = [
            self._with_grants(demand, queue, now_ms)
            for demand, queue in demands
        ]
        team_room = _demands.team_room(term.state)
        preemption = _preemption.Preemption(self._yielding_runs)
        groups = _planner.plan(
            [one for one in ready if one.granted is None or one.granted],
            rooms,
            team_room,
            preemption,
        )
        self._served = preemption.served
        self._stop(preemption.chosen)
        placed = {
            (one.task.job_id, one.task.step) for g in groups for one in g
        }
        waiting = [
            one for one in ready if (one.job_id, one.step) not in placed
        ]
        self._delays.report(waiting, rooms, team_room, now_ms)
        return groups

    def _yielding_runs(
        self, worker_id: messages.WorkerId
    ) -> list[_preemption.YieldingRun]:
        orders = self._term.peers[worker_id].orders
        return _demands.yielding_runs(self._term.state, worker_id, orders)

    def _stop(self, runs: list[_preemption.YieldingRun]) -> None:
        for one in runs:
            self._term.metrics.preempted.inc()
            _logger.info(
                'run preempted',
                task=str(one.task),
                run=one.run,
                worker=one.worker_id,
                priority=one.priority,
            )
            self._term.peers[one.worker_id].orders.stop(one.task, one.run)

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
            waited_ms=self._delays.waited_ms(
                demand.job_id, demand.step, now_ms
            ),
        )

    def _note_orders(
        self,
        groups: _Groups,
        numbered: tuple[tuple[_commands.RunAssignment, ...], ...],
    ) -> None:
        """Add the runs to the order books before they can be assigned."""
        for group, runs in zip(groups, numbered, strict=True):
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

    def _agree(
        self, numbered: tuple[tuple[_commands.RunAssignment, ...], ...]
    ) -> None:
        term = self._term
        outcome = term.agree(_commands.AssignRuns(numbered))
        if isinstance(outcome, result.Failure):
            # The command may still be applied; in that case the next leader
            # handles the runs.
            _logger.warning('runs not assigned', why=str(outcome.failure()))
            return
        with term.lock:
            for runs, assigned in zip(numbered, outcome.unwrap(), strict=True):
                for run in runs:
                    self._dispatch(run, assigned)

    def _dispatch(self, run: _commands.RunAssignment, assigned: bool) -> None:
        peer = self._term.peers.get(run.worker_id)
        if peer is None:
            return
        if not assigned:
            peer.orders.unplan(run.task)
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
