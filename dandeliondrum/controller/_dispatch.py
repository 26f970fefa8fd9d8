"""From the planner's decisions to agreed attempts at the gateways."""

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
# More commands than this wait for the log's quorum only if it is slow; then
# planning further ahead would only make the plan stale.
COMMANDS_IN_FLIGHT_MAX = 8


class Dispatch:
    """The leader's part that decides and sends."""

    def __init__(
        self,
        context: _context.Context,
        attempt_reports: '_attempt_reports.AttemptReports',
    ) -> None:
        self._context = context
        self._attempt_reports = attempt_reports
        self._failing = threading.Event()
        self._in_flight = threading.BoundedSemaphore(COMMANDS_IN_FLIGHT_MAX)

    def run(self, stopping: threading.Event) -> None:
        """Plan whenever there is work, until asked to stop."""
        work = self._context.work
        while not stopping.is_set():
            work.wait(IDLE_WAIT_MS / 1000)
            work.clear()
            while self._plan_once() and not stopping.is_set():
                failing = self._failing.is_set()
                pause_ms = FAILURE_PAUSE_MS if failing else ROUND_PAUSE_MS
                stopping.wait(pause_ms / 1000)

    def _plan_once(self) -> bool:
        """Plan one round; True when something was placed."""
        context = self._context
        with context.lock:
            if not context.sessions.all():
                return False
            plan = context.planner.plan(context.now_ms(), PLACEMENTS_PER_ROUND)
            context.pending.measure(context.now_ms())
            gangs = [group for group in plan.groups if len(group) > 1]
            singles = [group[0] for group in plan.groups if len(group) == 1]
            commands = [self._command(group, True) for group in gangs]
            if singles:
                commands.append(self._command(tuple(singles), False))
            for preemption in plan.preemptions:
                self._attempt_reports.preempt(
                    preemption.task_id, preemption.why
                )
        for command, placements in commands:
            self._propose(command, placements)
        return bool(commands)

    def _command(
        self, placements: tuple[placement.Placement, ...], is_gang: bool
    ) -> tuple[messages.AssignTasks, tuple[placement.Placement, ...]]:
        context = self._context
        assignments = []
        sent = []
        for one in placements:
            assignment = self._assignment(one)
            if assignment is None:
                context.planner.ended(one.task_id)
                context.pending.remove(one.task_id)
                continue
            sent.append(one)
            assignments.append(assignment)
        command = messages.AssignTasks(
            context.now_ms(), tuple(assignments), is_gang
        )
        return command, tuple(sent)

    def _assignment(
        self, one: placement.Placement
    ) -> messages.Assignment | None:
        context = self._context
        entry = context.pending.get(one.task_id)
        worker = context.state.workers.get(one.worker_id)
        if entry is None or worker is None:
            return None
        session = context.sessions.pick(entry.spec, worker.facts.region)
        if session is None:
            return None
        return messages.Assignment(
            one.task_id,
            one.worker_id,
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

        def finish(done: _context.Proposed) -> None:
            self._context.metrics.commit_seconds.observe(
                time.monotonic() - proposed_s
            )
            self._in_flight.release()
            self._committed(placements, done.result())

        committed.add_done_callback(finish)

    def _committed(
        self,
        placements: tuple[placement.Placement, ...],
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> None:
        if isinstance(outcome, result.Failure):
            self._failing.set()
            self._revert(placements)
            return
        self._failing.clear()
        for one, assigned in zip(placements, outcome.unwrap(), strict=True):
            if assigned.attempt is None:
                self._context.metrics.rejected.inc()
                self._rejected(one, assigned)
            else:
                self._context.metrics.assigned.inc()
                self._send(assigned.attempt)

    def _revert(self, placements: tuple[placement.Placement, ...]) -> None:
        with self._context.lock:
            for one in placements:
                self._context.planner.revert(one)

    def _rejected(
        self, one: placement.Placement, assigned: _records.AssignOutcome
    ) -> None:
        """Put a task back that the state machine would not start there.

        If its state changed meanwhile (cancelled, say) it is not pending any
        more and leaves the planner.
        """
        context = self._context
        with context.lock, context.state.lock:
            context.planner.revert(one)
            task = context.state.tasks.get(one.task_id)
            is_queued = messages.TaskState.QUEUED
            if task is not None and task.state is not is_queued:
                context.drop_pending(one.task_id)

    def _send(self, attempt: _records.AttemptRecord) -> None:
        context = self._context
        with context.lock, context.state.lock:
            context.pending.remove(attempt.task_id, started=True)
            if attempt.attempt_id.endswith('#1'):
                team_id, _, _ = attempt.task_id.partition('/')
                context.observations.started(messages.TeamId(team_id))
            task = context.state.tasks.get(attempt.task_id)
            worker = context.state.workers.get(attempt.worker_id)
            session = context.sessions.gateway(attempt.gateway_id)
            if task is None or task.attempt is not attempt or worker is None:
                return
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
        attributes = {
            'attempt': attempt.attempt_id,
            'worker': attempt.worker_id,
        }
        with observability.sampled_span(
            'assign attempt', start.spec.trace_parent, attributes
        ):
            is_sent = session is not None and session.connection.push(start)
        if not is_sent:
            self._attempt_reports.report(
                (
                    messages.AttemptReport(
                        attempt.attempt_id,
                        messages.AttemptState.NEVER_STARTED,
                        detail='its gateway was gone before the start',
                    ),
                )
            )
