"""Takes reports of ended attempts to the log, and their news to waiters."""

import collections.abc
import dataclasses
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _context
from dandeliondrum.controller import _queueing
from dandeliondrum.controller import _records
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import utils


# A service that ends sooner than this is started again after a pause only,
# which doubles with every attempt.
SHORT_RUN_MS = 10_000
FIRST_PAUSE_MS = 500
PAUSE_DOUBLINGS_MAX = 6

_ENDED_BY_ITSELF = (
    messages.AttemptState.FINISHED,
    messages.AttemptState.FAILED,
)


class AttemptReports:
    """The leader's part that ends attempts.

    ``stop_wanted`` holds attempts that their workers are asked to stop with
    every heartbeat; the same request is repeated until the attempt has ended
    on record.
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
        self.stop_wanted: set[messages.AttemptId] = set()

    def report(
        self, reports: collections.abc.Sequence[messages.AttemptReport]
    ) -> None:
        """Put reports on record; uncertain ones wait for the worker."""
        ended = []
        with self._context.lock:
            for one in reports:
                match one.state:
                    case messages.AttemptState.UNCERTAIN:
                        self._uncertain.setdefault(one.attempt_id, 0)
                    case messages.AttemptState.RUNNING:
                        self._uncertain.pop(one.attempt_id, None)
                    case messages.AttemptState.FAILED:
                        ended.append(self._decide_retry(one))
                    case _:
                        ended.append(one)
        if not ended:
            return
        for one in ended:
            self._context.metrics.ended.labels(one.state.value).inc()
        command = messages.EndAttempts(self._context.now_ms(), tuple(ended))
        self._context.propose(command).add_done_callback(
            lambda done: self._recorded(done.result())
        )

    def _decide_retry(
        self, report: messages.AttemptReport
    ) -> messages.AttemptReport:
        """Spend from the budget if the task may be tried again.

        A report that comes twice, from gateway and worker, is decided once.
        """
        with self._context.state.lock:
            task = self._context.state.task_of(report.attempt_id)
        if task is None or not task.spec.idempotent:
            return report
        if report.attempt_id not in self._retry_delays_ms:
            delay_ms = self._context.observations.retry_delay_ms(task)
            self._retry_delays_ms[report.attempt_id] = delay_ms
        may_retry = self._retry_delays_ms[report.attempt_id] is not None
        return dataclasses.replace(report, may_retry=may_retry)

    def _recorded(
        self, outcome: result.Result[typing.Any, consensus.ProposeError]
    ) -> None:
        if isinstance(outcome, result.Success):
            self.ended(outcome.unwrap())

    def ended(
        self, news: collections.abc.Iterable[_records.EndedAttempt]
    ) -> None:
        """Free what attempts held; report their tasks or place them again."""
        context = self._context
        again = []
        with context.lock, context.state.lock:
            for one in news:
                task = one.task
                context.observations.take(one, context.now_ms())
                self.forget(one.report.attempt_id)
                delay_ms = self._retry_delays_ms.pop(
                    one.report.attempt_id, None
                )
                if task.attempt is not None:
                    continue
                context.planner.ended(task.spec.task_id)
                if task.state in _state.ENDED_STATES:
                    context.sessions.end(task.status())
                if task.state is not messages.TaskState.QUEUED:
                    continue
                pause_ms = delay_ms or _restart_pause_ms(one)
                if pause_ms:
                    self._enqueue_later(task.spec.task_id, pause_ms)
                else:
                    again.append(task.spec.task_id)
            context.work.set()
        self._queueing.enqueue_recorded(again)

    def _enqueue_later(self, task_id: messages.TaskId, delay_ms: int) -> None:
        self._timers.after(
            delay_ms, lambda: self._queueing.enqueue_recorded([task_id])
        )

    def preempt(self, task_id: messages.TaskId, _why: str) -> None:
        """Ask the worker to stop a running task; it is queued again."""
        task = self._context.state.tasks.get(task_id)
        if task is not None and task.attempt is not None:
            self.stop_wanted.add(task.attempt.attempt_id)

    def gateway_lost(self, gateway_id: messages.GatewayId) -> None:
        """Treat starts that the gateway may not have sent as uncertain."""
        context = self._context
        with context.lock, context.state.lock:
            for worker in context.state.workers.values():
                for task_id in worker.attempts.values():
                    attempt = context.state.tasks[task_id].attempt
                    if attempt and attempt.gateway_id == gateway_id:
                        self._uncertain.setdefault(attempt.attempt_id, 0)

    def settle_uncertain(
        self,
        attempt_id: messages.AttemptId,
        is_running: bool,
        heartbeats_count: int,
    ) -> None:
        """Compare an uncertain attempt with its worker's heartbeat.

        An attempt that is missing from ``heartbeats_count`` heartbeats in a
        row has to be fenced; one alone may have been sent before its start
        came.
        """
        if attempt_id not in self._uncertain:
            return
        if is_running:
            del self._uncertain[attempt_id]
            return
        self._uncertain[attempt_id] += 1
        if self._uncertain[attempt_id] >= heartbeats_count:
            del self._uncertain[attempt_id]
            self.stop_wanted.add(attempt_id)

    def forget(self, attempt_id: messages.AttemptId) -> None:
        """Drop what is remembered about an attempt that is over."""
        self._uncertain.pop(attempt_id, None)
        self.stop_wanted.discard(attempt_id)


def _restart_pause_ms(ended: _records.EndedAttempt) -> int:
    """Return how long a service that ended by itself has to wait."""
    if ended.task.spec.task_class is not messages.TaskClass.SERVICE:
        return 0
    if ended.report.state not in _ENDED_BY_ITSELF:
        return 0
    if ended.report.run_ms >= SHORT_RUN_MS:
        return 0
    doublings = min(ended.task.attempts_count - 1, PAUSE_DOUBLINGS_MAX)
    return FIRST_PAUSE_MS * 2**doublings
