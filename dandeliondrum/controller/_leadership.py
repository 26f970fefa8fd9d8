"""One term of leadership: the leader's components and their calls."""

import collections.abc
import concurrent.futures
import contextlib
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.controller import _attempt_reports
from dandeliondrum.controller import _context
from dandeliondrum.controller import _crashes
from dandeliondrum.controller import _deadlines
from dandeliondrum.controller import _dispatch
from dandeliondrum.controller import _heartbeats
from dandeliondrum.controller import _operators
from dandeliondrum.controller import _queries
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _sessions
from dandeliondrum.controller import _submissions
from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum import transport
from dandeliondrum import utils

FORGET_EVERY_MS = 10_000

_logger = structlog.get_logger()

OnFatal = collections.abc.Callable[[utils.InvariantError], object]


class Leadership:
    """Runs the scheduler of a controller while it leads.

    Its data is kept in memory only, rebuilt from the replicated state when a
    term begins and discarded when leadership is lost.
    """

    def __init__(
        self,
        context: _context.Context,
        timers: utils.TimerService,
        on_fatal: OnFatal | None = None,
    ) -> None:
        self.context = context
        self._timers = timers
        self._on_fatal = on_fatal
        self._resources = contextlib.ExitStack()
        self._queueing = _queueing.Queueing(context)
        self._submissions = _submissions.Submissions(context, self._queueing)
        self._queries = _queries.Queries(context, self._queueing)
        self._attempt_reports = _attempt_reports.AttemptReports(
            context, self._queueing, timers
        )
        self._heartbeats = _heartbeats.Heartbeats(
            context, self._attempt_reports
        )
        self._deadlines = _deadlines.Deadlines(context, self._queueing)
        self._dispatch = _dispatch.Dispatch(context, self._attempt_reports)
        self._operators = _operators.Operators(
            context, self._heartbeats, self._queueing
        )

    def open(self) -> None:
        """Rebuild the planner, then start scheduling."""
        self._rebuild()
        supervisor = utils.Supervisor('leadership', self._on_fatal)
        self._resources.callback(supervisor.close)
        supervisor.run('dispatch', self._dispatch.run)
        for interval_ms, callback in (
            (_heartbeats.CHECK_EVERY_MS, self._heartbeats.check),
            (_deadlines.CHECK_EVERY_MS, self._deadlines.check),
            (FORGET_EVERY_MS, self._forget_ended),
        ):
            timer = self._timers.every(interval_ms, callback)
            self._resources.callback(timer.cancel)

    def close(self) -> None:
        """Stop scheduling and disconnect gateways, which look for a leader."""
        with self._resources, contextlib.ExitStack() as steps:
            steps.callback(self.context.work_available.set)
            steps.callback(self.context.sessions.close)

    def _rebuild(self) -> None:
        context = self.context
        with context.lock, context.state.lock:
            context.planner.set_teams(
                _operators.team_grants(context.state.rules)
            )
            for worker_id in context.state.workers:
                self._heartbeats.refresh(worker_id)
            for worker in context.state.workers.values():
                for task_id in worker.attempts.values():
                    self._restore_running(task_id)
            waiting = [task.spec.task_id for task in context.state.queued()]
        self._queueing.enqueue_recorded(waiting)

    def _restore_running(self, task_id: messages.TaskId) -> None:
        task = self.context.state.tasks[task_id]
        attempt = task.attempt
        if attempt is None:
            raise utils.InvariantError(
                f'running task {task_id} has no attempt'
            )
        spec = task.spec
        self.context.planner.restore(
            placement.RunningTask(
                placement.PendingTask(
                    spec.task_id,
                    spec.team_id,
                    spec.queue,
                    spec.task_class,
                    spec.resources,
                    attempt.assigned_ms,
                    task.deadline_ms,
                    spec.expected_run_ms,
                    spec.region,
                    preemptible=spec.idempotent,
                    isolated=_crashes.is_suspect(task),
                ),
                attempt.worker_id,
                attempt.assigned_ms,
            )
        )
        self._attempt_reports.report(
            (
                messages.AttemptReport(
                    attempt.attempt_id, messages.AttemptState.UNCERTAIN
                ),
            )
        )

    def _forget_ended(self) -> None:
        context = self.context
        before_ms = context.now_ms() - context.options.answer_retention_ms
        with context.state.lock:
            is_due = any(
                task.ended_ms is not None and task.ended_ms < before_ms
                for task in context.state.tasks.values()
            )
        if not is_due:
            return
        command = messages.ForgetTasks(context.now_ms(), before_ms)
        context.propose(command).add_done_callback(self._on_forgotten)

    def _on_forgotten(self, done: _context.ProposalFuture) -> None:
        outcome = done.result()
        if isinstance(outcome, result.Success):
            self._heartbeats.release(outcome.unwrap())

    def handle_call(
        self, connection: transport.Connection, message: typing.Any
    ) -> typing.Any:
        """Handle a call of a gateway; the reply may be a future."""
        context = self.context
        if isinstance(message, messages.RegisterGateway):
            return self._register_gateway(connection, message)
        # Read without the lock of the context, which is held while a plan is
        # made; the sessions have a lock of their own.
        session = context.sessions.by_connection(connection)
        if session is None:
            return messages.CallFailed('the gateway must register first', True)
        match message:
            case messages.GatewayHeartbeat():
                return self._handle_heartbeat(session, message)
            case messages.SubmitTasks():
                return self._submissions.submit(session, message)
            case messages.QueryTasks():
                return self._queries.query(message)
            case messages.CancelCall():
                return self._queries.cancel(message)
            case messages.ReportAttempts():
                self._attempt_reports.report(message.reports)
                return messages.Done()
            case messages.ReleaseAnswers():
                return self._release_answers(message)
            case messages.AnnounceWorker():
                return self._heartbeats.announce(message)
            case messages.WorkerHeartbeats():
                return self._heartbeats.handle(message)
            case messages.RulesPartQuery():
                return context.documents.part(message)
        return self._operators.handle(message)

    def _register_gateway(
        self,
        connection: transport.Connection,
        message: messages.RegisterGateway,
    ) -> concurrent.futures.Future[typing.Any]:
        context = self.context
        session = _sessions.Session(
            connection,
            message.gateway_id,
            context.sessions.next_number(),
            message.region,
            message.rules_version,
            takes_parts=message.takes_parts,
        )

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return messages.NotLeader()
            with context.lock, context.state.lock:
                if not context.sessions.register(session):
                    _logger.info(
                        'registration refused', gateway=message.gateway_id
                    )
                    return messages.NotLeader()
                context.work_available.set()
            return context.documents.registered(
                context.term,
                context.options.controller_id,
                message.takes_parts,
            )

        return utils.map_future(context.node.confirm_leadership(), answer)

    def _handle_heartbeat(
        self, session: _sessions.Session, message: messages.GatewayHeartbeat
    ) -> typing.Any:
        context = self.context
        session.rules_version = message.rules_version

        def reply() -> messages.GatewayHeartbeatReply:
            return messages.GatewayHeartbeatReply(
                context.term,
                context.state.rules_record.version,
                context.node.status().addresses(),
            )

        if context.node.is_leading():
            return reply()
        return context.answer_if_confirmed(reply)

    def _release_answers(self, call: messages.ReleaseAnswers) -> typing.Any:
        with self.context.state.lock:
            tasks = [
                self.context.state.tasks[task_id]
                for task_id in call.task_ids
                if task_id in self.context.state.tasks
                and self.context.state.tasks[task_id].spec.team_id
                == call.team_id
            ]
        self._heartbeats.release(tasks)
        return messages.Done()

    def on_close(self, connection: transport.Connection) -> None:
        """Remove a gateway and dequeue the tasks that only it waits for.

        Durable tasks stay queued. Another gateway may ask for the other tasks
        again until their deadlines.
        """
        context = self.context
        with context.lock:
            session = context.sessions.remove(connection)
            if session is None:
                return
            for task_id in tuple(session.waiting_for):
                entry = context.pending.get(task_id)
                if entry is None or entry.spec.durable:
                    continue
                if context.sessions.waiters(task_id):
                    continue
                if context.drop_pending(task_id):
                    context.abandoned_deadlines_ms[task_id] = entry.deadline_ms
        self._attempt_reports.gateway_lost(session.gateway_id)
