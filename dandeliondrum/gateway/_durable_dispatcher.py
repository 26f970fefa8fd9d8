"""Dispatch of durable tasks, whose bodies come from the leader."""

import concurrent.futures
import dataclasses
import functools

import structlog

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _reporter
from dandeliondrum import messages
from dandeliondrum import observability

# How long a start occupies its thread while it waits for an answer. Later
# ends are reported by the heartbeats of the worker.
START_WAIT_MS = 1_000
# Answers up to this size are stored in the replicated log.
REPLICATED_ANSWER_MAX_BYTES = 64 * 1024

_logger = structlog.get_logger()


class DurableDispatcher:
    """Starts the attempts that the leader pushes, in a thread pool."""

    def __init__(
        self,
        dispatcher: _dispatch.Dispatcher,
        reporter: _reporter.Reporter,
        recent_attempts: _dispatch.RecentAttempts,
        threads_count: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._reporter = reporter
        self._recent_attempts = recent_attempts
        self._executor = concurrent.futures.ThreadPoolExecutor(
            threads_count, thread_name_prefix='durable'
        )

    def submit(self, start: messages.StartAttempt) -> None:
        """Queue the start of an attempt without blocking."""
        if not self._recent_attempts.add_if_new(start.attempt_id):
            return
        try:
            future = self._executor.submit(self._run, start)
        except RuntimeError:
            self._report_never_started(start)
            return
        future.add_done_callback(functools.partial(self._on_done, start))

    def close(self) -> None:
        """Cancel queued starts and wait for those in progress."""
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run(self, start: messages.StartAttempt) -> None:
        wait_ms = START_WAIT_MS
        if start.spec.task_class is messages.TaskClass.SERVICE:
            wait_ms = 0
        with observability.span('dispatch task', start.spec.trace_parent):
            outcome = self._dispatcher.start(start, start.body or b'', wait_ms)
        _logger.info(
            'durable attempt dispatched',
            task=start.spec.task_id,
            attempt=start.attempt_id,
            worker=start.worker_id,
            outcome=type(outcome).__name__,
        )
        report = start_report(start, outcome)
        if report is not None:
            self._reporter.report(report)

    def _on_done(
        self,
        start: messages.StartAttempt,
        future: concurrent.futures.Future[None],
    ) -> None:
        if future.cancelled():
            self._report_never_started(start)
            return
        error = future.exception()
        if error is not None:
            _logger.error(
                'dispatch failed', attempt=start.attempt_id, why=str(error)
            )
            self._reporter.report(
                messages.AttemptReport(
                    start.attempt_id,
                    messages.AttemptState.UNCERTAIN,
                    detail=str(error),
                )
            )

    def _report_never_started(self, start: messages.StartAttempt) -> None:
        self._reporter.report(
            messages.AttemptReport(
                start.attempt_id,
                messages.AttemptState.NEVER_STARTED,
                detail='the gateway is stopping',
            )
        )


def start_report(
    start: messages.StartAttempt, outcome: _dispatch.StartOutcome
) -> messages.AttemptReport | None:
    """Return the report to the leader about the start of a durable task.

    Returns None for an attempt that is still running; the leader learns of
    its end from the heartbeats of the worker.
    """
    attempt_id = start.attempt_id
    match outcome:
        case _dispatch.Ended(state=state, place=place, body=body):
            if body is not None and len(body) <= REPLICATED_ANSWER_MAX_BYTES:
                place = dataclasses.replace(place, body=body)
            return messages.AttemptReport(
                attempt_id, state, place, run_ms=outcome.run_ms
            )
        case _dispatch.Running():
            return None
        case _dispatch.NeverStarted(reason=reason):
            state = messages.AttemptState.NEVER_STARTED
            return messages.AttemptReport(attempt_id, state, detail=reason)
        case _dispatch.Uncertain(reason=reason):
            state = messages.AttemptState.UNCERTAIN
            return messages.AttemptReport(attempt_id, state, detail=reason)
