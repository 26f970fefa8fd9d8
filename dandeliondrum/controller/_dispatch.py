"""Commits the planner's placements and sends the starts to gateways."""

import threading
import time
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _attempt_reports
from dandeliondrum.controller import _context
from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import placement

PLACEMENTS_PER_ROUND = 512
ROUND_PAUSE_MS = 2
FAILURE_PAUSE_MS = 200
IDLE_WAIT_MS = 100
# More uncommitted commands than this mean that the log's quorum is slow. A
# plan made further ahead would be stale by the time it is committed.
COMMANDS_IN_FLIGHT_MAX = 8


class Dispatch:
    """Plans, commits and sends assignments on behalf of the leader."""

    def __init__(
        self,
        context: _context.Context,
        attempt_reports: '_attempt_reports.AttemptReports',
    ) -> None:
        self._context = context
        self._attempt_reports = attempt_reports
        self._commit_failed = threading.Event()
        self._in_flight = threading.BoundedSemaphore(COMMANDS_IN_FLIGHT_MAX)

    def run(self, stopping: threading.Event) -> None:
        """Plan while there is work, until ``stopping`` is set."""
        work_available = self._context.work_available
        while not stopping.is_set():
            work_available.wait(IDLE_WAIT_MS / 1000)
            work_available.clear()
            while self._plan_once() and not stopping.is_set():
                commit_failed = self._commit_failed.is_set()
                pause_ms = (
                    FAILURE_PAUSE_MS if commit_failed else ROUND_PAUSE_MS
                )
                stopping.wait(pause_ms / 1000)

    def _plan_once(self) -> bool:
        """Run one planning round; return whether a task was placed."""
        context = self._context
        with context.lock:
            if not context.sessions.all():
                return False
            plan = context.planner.plan(context.now_ms(), PLACEMENTS_PER_ROUND)
            context.pending.record_throughput(context.now_ms())
            gangs = [group for group in plan.groups if len(group) > 1]
            singles = [group[0] for group in plan.groups if len(group) == 1]
            commands = [self._assign_command(group, True) for group in gangs]
            if singles:
                commands.append(self._assign_command(tuple(singles), False))
            for preemption in plan.preemptions:
                self._attempt_reports.preempt(
                    preemption.task_id, preemption.reason
                )
        for command, placements in commands:
            self._propose(command, placements)
        return bool(commands)

    def _assign_command(
        self, placements: tuple[placement.Placement, ...], is_gang: bool
    ) -> tuple[messages.AssignTasks, tuple[placement.Placement, ...]]:
        context = self._context
        assignments = []
        assigned = []
        for planned in placements:
            assignment = self._assignment(planned)
            if assignment is None:
                self._abandon(planned)
                continue
            assigned.append(planned)
            assignments.append(assignment)
        command = messages.AssignTasks(
            context.now_ms(), tuple(assignments), is_gang
        )
        return command, tuple(assigned)

    def _abandon(self, planned: placement.Placement) -> None:
        """Drop a placed task that can't be sent to its worker.

        If it is recorded, it is refused at its deadline, unless a gateway
        asks for it again.
        """
        context = self._context
        entry = context.pending.get(planned.task_id)
        context.planner.release(planned.task_id)
        context.pending.remove(planned.task_id)
        if entry is not None:
            context.abandoned_deadlines_ms[planned.task_id] = entry.deadline_ms

    def _assignment(
        self, planned: placement.Placement
    ) -> messages.Assignment | None:
        context = self._context
        entry = context.pending.get(planned.task_id)
        worker = context.state.workers.get(planned.worker_id)
        if entry is None or worker is None:
            return None
        session = context.sessions.choose_gateway(
            entry.spec, worker.facts.region
        )
        if session is None:
            return None
        return messages.Assignment(
            planned.task_id,
            planned.worker_id,
            worker.facts.incarnation,
            session.gateway_id,
            context.state.rules.defaults.lease_ms[entry.spec.task_class],
            None if entry.spec.durable else entry.spec,
        )

    def _propose(
        self,
        command: messages.AssignTasks,
        placements: tuple[placement.Placement, ...],
    ) -> None:
        if not placements:
            return
        self._in_flight.acquire()
        proposed_s = time.monotonic()
        committed = self._context.propose(command)

        def finish(done: _context.ProposalFuture) -> None:
            self._context.metrics.commit_seconds.observe(
                time.monotonic() - proposed_s
            )
            self._in_flight.release()
            self._on_committed(placements, done.result())

        committed.add_done_callback(finish)

    def _on_committed(
        self,
        placements: tuple[placement.Placement, ...],
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> None:
        if isinstance(outcome, result.Failure):
            self._commit_failed.set()
            self._revert(placements)
            return
        self._commit_failed.clear()
        for planned, assign_outcome in zip(
            placements, outcome.unwrap(), strict=True
        ):
            if assign_outcome.attempt is None:
                self._context.metrics.rejected.inc()
                self._on_rejected(planned, assign_outcome)
            else:
                self._context.metrics.assigned.inc()
                self._send(assign_outcome.attempt)

    def _revert(self, placements: tuple[placement.Placement, ...]) -> None:
        with self._context.lock:
            for planned in placements:
                self._context.planner.revert(planned)

    def _on_rejected(
        self,
        planned: placement.Placement,
        assign_outcome: _records.AssignOutcome,
    ) -> None:
        """Queue a task again whose assignment the state machine rejected.

        A task that is no longer queued, for instance because it was
        cancelled meanwhile, is removed from the planner.
        """
        context = self._context
        with context.lock, context.state.lock:
            context.planner.revert(planned)
            task = context.state.tasks.get(planned.task_id)
            queued = messages.TaskState.QUEUED
            if task is not None and task.state is not queued:
                context.drop_pending(planned.task_id)

    def _send(self, attempt: _records.AttemptRecord) -> None:
        context = self._context
        with context.lock, context.state.lock:
            context.pending.remove(attempt.task_id, started=True)
            if attempt.attempt_id.endswith('#1'):
                team_id, _, _ = attempt.task_id.partition('/')
                context.observations.record_start(messages.TeamId(team_id))
            task = context.state.tasks.get(attempt.task_id)
            worker = context.state.workers.get(attempt.worker_id)
            session = context.sessions.by_gateway(attempt.gateway_id)
            if task is None or task.attempt is not attempt or worker is None:
                return
            evacuated = context.state.is_evacuated(worker.facts)
            start = messages.StartAttempt(
                attempt.attempt_id,
                attempt.token,
                task.spec,
                attempt.worker_id,
                worker.facts.address,
                attempt.incarnation,
                attempt.lease_ms,
                task.body,
            )
        if evacuated:
            context.metrics.withheld.inc()
            self._never_started(attempt, 'its failure domain is evacuated')
            return
        attributes = {
            'attempt': attempt.attempt_id,
            'worker': attempt.worker_id,
        }
        with observability.sampled_span(
            'assign attempt', start.spec.trace_parent, attributes
        ):
            is_sent = session is not None and session.connection.push(start)
        if not is_sent:
            self._never_started(
                attempt, 'its gateway disconnected before the start'
            )

    def _never_started(
        self, attempt: _records.AttemptRecord, detail: str
    ) -> None:
        never_started = messages.AttemptState.NEVER_STARTED
        self._attempt_reports.report(
            (
                messages.AttemptReport(
                    attempt.attempt_id, never_started, detail=detail
                ),
            )
        )
