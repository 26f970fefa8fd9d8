"""Dispatches durable tasks, whose bodies come from the leader."""

import concurrent.futures
import dataclasses
import functools

import structlog

from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _reporter
from dandeliondrum import messages
from dandeliondrum import observability

# How long a dispatch holds its thread; later ends come by heartbeat.
HOLD_MS = 1_000
# Answers up to this size go into the replicated log.
LOGGED_ANSWER_MAX_BYTES = 64 * 1024

_logger = structlog.get_logger()


class DurableDispatch:
    """Starts pushed attempts in a bounded pool of threads."""

    def __init__(
        self,
        dispatcher: _dispatch.Dispatcher,
        reporter: _reporter.Reporter,
        attempts_seen: _dispatch.AttemptsSeen,
        threads_count: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._reporter = reporter
        self._attempts_seen = attempts_seen
        self._executor = concurrent.futures.ThreadPoolExecutor(
            threads_count, thread_name_prefix='durable'
        )

    def submit(self, start: messages.StartAttempt) -> None:
        """Start the attempt soon; never waits."""
        if not self._attempts_seen.first(start.attempt_id):
            return
        try:
            future = self._executor.submit(self._run, start)
        except RuntimeError:
            self._give_back(start)
            return
        future.add_done_callback(functools.partial(self._done, start))

    def close(self) -> None:
        """Give back what has not begun and wait for the rest."""
        self._executor.shutdown(wait=True, cancel_futures=True)

    def _run(self, start: messages.StartAttempt) -> None:
        hold_ms = HOLD_MS
        if start.spec.task_class is messages.TaskClass.SERVICE:
            hold_ms = 0
        with observability.span('dispatch task', start.spec.trace_parent):
            outcome = self._dispatcher.start(start, start.body or b'', hold_ms)
        _logger.info(
            'durable attempt dispatched',
            task=start.spec.task_id,
            attempt=start.attempt_id,
            worker=start.worker_id,
            outcome=type(outcome).__name__,
        )
        report = report_of(start, outcome)
        if report is not None:
            self._reporter.report(report)

    def _done(
        self,
        start: messages.StartAttempt,
        future: concurrent.futures.Future[None],
    ) -> None:
        if future.cancelled():
            self._give_back(start)
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

    def _give_back(self, start: messages.StartAttempt) -> None:
        self._reporter.report(
            messages.AttemptReport(
                start.attempt_id,
                messages.AttemptState.NEVER_STARTED,
                detail='the gateway stops',
            )
        )


def report_of(
    start: messages.StartAttempt, outcome: _dispatch.StartOutcome
) -> messages.AttemptReport | None:
    """Return what the leader is sent about the start of a durable task.

    Of one that goes on it hears by the worker's heartbeats.
    """
    attempt_id = start.attempt_id
    match outcome:
        case _dispatch.Ended(state=state, place=place, body=body):
            if body is not None and len(body) <= LOGGED_ANSWER_MAX_BYTES:
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
