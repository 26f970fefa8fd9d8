"""Commits reports of ended attempts and notifies waiting gateways."""

import collections.abc
import dataclasses
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _records
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import utils


# A service that ends sooner than this is restarted after a delay, which
# doubles with every attempt.
SHORT_RUN_MS = 10_000
FIRST_RESTART_DELAY_MS = 500
RESTART_DELAY_DOUBLINGS_MAX = 6

_logger = structlog.get_logger()

_EXITED_STATES = (
    messages.AttemptState.FINISHED,
    messages.AttemptState.FAILED,
)


class AttemptReports:
    """Ends attempts on behalf of the leader.

    ``stop_requested`` holds the attempts that workers are asked to stop. The
    request is repeated in every heartbeat reply until the end of the attempt
    is committed. It is protected by the lock of the replicated state.
    """

    def __init__(
        self,
        context: _context.Context,
        queueing: _queueing.Queueing,
        timers: utils.TimerService,
    ) -> None:
        self._context = context
        self._queueing = queueing
        self._timers = timers
        self._retry_delays_ms: dict[messages.AttemptId, int | None] = {}
        self._uncertain: dict[messages.AttemptId, int] = {}
        self.stop_requested: set[messages.AttemptId] = set()

    def report(
        self, reports: collections.abc.Sequence[messages.AttemptReport]
    ) -> None:
        """Commit ends of attempts; uncertain ones wait for a heartbeat."""
        ended = []
        with self._context.state.lock:
            for report in reports:
                match report.state:
                    case messages.AttemptState.UNCERTAIN:
                        self._uncertain.setdefault(report.attempt_id, 0)
                    case messages.AttemptState.RUNNING:
                        self._uncertain.pop(report.attempt_id, None)
                        self._note_started(report.attempt_id)
                    case messages.AttemptState.FAILED:
                        ended.append(self._decide_retry(report))
                    case _:
                        ended.append(report)
        if not ended:
            return
        for report in ended:
            self._context.metrics.ended.labels(report.state.value).inc()
        command = messages.EndAttempts(self._context.now_ms(), tuple(ended))
        self._context.propose(command).add_done_callback(
            lambda done: self._on_committed(tuple(ended), done.result())
        )

    def _decide_retry(
        self, report: messages.AttemptReport
    ) -> messages.AttemptReport:
        """Decide whether a failed task is retried, using the retry budget.

        The gateway and the worker may both report the same failure; the
        budget is charged only once.
        """
        task = self._context.state.task_of_attempt(report.attempt_id)
        if task is None or not task.spec.idempotent:
            return report
        if report.attempt_id not in self._retry_delays_ms:
            delay_ms = self._context.observations.retry_delay_ms(task)
            self._retry_delays_ms[report.attempt_id] = delay_ms
        may_retry = self._retry_delays_ms[report.attempt_id] is not None
        return dataclasses.replace(report, may_retry=may_retry)

    def _on_committed(
        self,
        reports: tuple[messages.AttemptReport, ...],
        outcome: result.Result[typing.Any, consensus.ProposeError],
    ) -> None:
        if isinstance(outcome, result.Success):
            self.handle_ended(outcome.unwrap())
            return
        _logger.warning(
            'ends not recorded',
            why=outcome.failure().failure.value,
            reports_count=len(reports),
        )
        # A gateway reports an end only once, so the worker's heartbeats have
        # to settle the attempt.
        with self._context.state.lock:
            for report in reports:
                self._uncertain.setdefault(report.attempt_id, 0)

    def handle_ended(
        self, ended_attempts: collections.abc.Iterable[_records.EndedAttempt]
    ) -> None:
        """Process committed ends: notify waiters or queue tasks again."""
        context = self._context
        requeued = []
        with context.lock, context.state.lock:
            for ended in ended_attempts:
                task = ended.task
                context.observations.record_end(ended, context.now_ms())
                self.forget(ended.report.attempt_id)
                retry_delay_ms = self._retry_delays_ms.pop(
                    ended.report.attempt_id, None
                )
                if task.attempt is not None:
                    continue
                context.planner.release(task.spec.task_id)
                if task.state in _state.ENDED_STATES:
                    context.sessions.notify_ended(task.status())
                    context.drop_pending(task.spec.task_id)
                if task.state is not messages.TaskState.QUEUED:
                    continue
                delay_ms = retry_delay_ms or _restart_delay_ms(ended)
                if delay_ms:
                    self._enqueue_later(task.spec.task_id, delay_ms)
                else:
                    requeued.append(task.spec.task_id)
            context.work_available.set()
        self._queueing.enqueue_recorded(requeued)

    def _enqueue_later(self, task_id: messages.TaskId, delay_ms: int) -> None:
        self._timers.after(
            delay_ms, lambda: self._queueing.enqueue_recorded([task_id])
        )

    def preempt(self, task_id: messages.TaskId, _reason: str) -> None:
        """Ask the worker to stop a running task; it is then queued again."""
        state = self._context.state
        with state.lock:
            task = state.tasks.get(task_id)
            if task is not None and task.attempt is not None:
                self.stop_requested.add(task.attempt.attempt_id)

    def gateway_lost(self, gateway_id: messages.GatewayId) -> None:
        """Mark attempts uncertain that a lost gateway may not have started."""
        context = self._context
        with context.lock, context.state.lock:
            for worker in context.state.workers.values():
                for task_id in worker.attempts.values():
                    attempt = context.state.tasks[task_id].attempt
                    if attempt and attempt.gateway_id == gateway_id:
                        self._uncertain.setdefault(attempt.attempt_id, 0)

    def check_uncertain(
        self,
        attempt_id: messages.AttemptId,
        is_running: bool,
        missing_heartbeats_max: int,
    ) -> None:
        """Compare an uncertain attempt with its worker's heartbeat.

        An attempt that is missing from ``missing_heartbeats_max`` heartbeats
        in a row is fenced. A single heartbeat is not enough, since it may
        have been sent before the start reached the worker.
        """
        if attempt_id not in self._uncertain:
            return
        if is_running:
            del self._uncertain[attempt_id]
            return
        self._uncertain[attempt_id] += 1
        if self._uncertain[attempt_id] >= missing_heartbeats_max:
            del self._uncertain[attempt_id]
            self.stop_requested.add(attempt_id)

    def note_running(
        self,
        worker: _records.WorkerRecord,
        running: collections.abc.Set[messages.AttemptId],
    ) -> None:
        """Note the attempts of a worker that its heartbeat shows as running.

        The caller holds the lock of the state.
        """
        self._context.started_attempts |= running & worker.attempts.keys()

    def _note_started(self, attempt_id: messages.AttemptId) -> None:
        task = self._context.state.task_of_attempt(attempt_id)
        if (
            task is not None
            and task.attempt is not None
            and task.attempt.attempt_id == attempt_id
        ):
            self._context.started_attempts.add(attempt_id)

    def forget(self, attempt_id: messages.AttemptId) -> None:
        """Discard the state kept for an attempt that has ended."""
        self._uncertain.pop(attempt_id, None)
        self.stop_requested.discard(attempt_id)
        self._context.started_attempts.discard(attempt_id)


def _restart_delay_ms(ended: _records.EndedAttempt) -> int:
    """Return the delay before a service that exited is restarted, in ms."""
    if ended.task.spec.task_class is not messages.TaskClass.SERVICE:
        return 0
    if ended.report.state not in _EXITED_STATES:
        return 0
    if ended.report.run_ms >= SHORT_RUN_MS:
        return 0
    doublings = min(ended.task.attempts_count - 1, RESTART_DELAY_DOUBLINGS_MAX)
    return FIRST_RESTART_DELAY_MS * 2**doublings
