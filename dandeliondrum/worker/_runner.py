"""Runs attempts in a thread pool."""

import concurrent.futures
import dataclasses
import json
import math
import typing

from opentelemetry import propagate
from opentelemetry import trace
from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum.worker import _attempt
from dandeliondrum.worker import _options
from dandeliondrum.worker import _task

_logger = structlog.get_logger()
_tracer = trace.get_tracer('dandeliondrum.worker')


class FinishCallback(typing.Protocol):
    """Callback for the end of an attempt."""

    def __call__(
        self,
        attempt: _attempt.Attempt,
        state: messages.AttemptState,
        answer: bytes,
        detail: str,
    ) -> None:
        """Record how the attempt ended."""


class Runner:
    """Runs the tasks that the bodies of attempts describe."""

    def __init__(self, options: _options.Options) -> None:
        self._options = options
        self._executor = concurrent.futures.ThreadPoolExecutor(
            options.slots_count, thread_name_prefix=options.worker_id
        )

    def run(self, attempt: _attempt.Attempt, finish: FinishCallback) -> None:
        """Run an attempt in the pool; ``finish`` is called at its end."""
        self._executor.submit(self._run, attempt, finish)

    def close(self) -> None:
        """Wait for all running attempts."""
        self._executor.shutdown()

    def _run(self, attempt: _attempt.Attempt, finish: FinishCallback) -> None:
        carrier = {'traceparent': attempt.call.trace_parent}
        with _tracer.start_as_current_span(
            'worker attempt', context=propagate.extract(carrier)
        ) as span:
            span.set_attribute('attempt_id', attempt.call.attempt_id)
            try:
                state, answer, detail = self._execute(attempt)
            except Exception as error:
                _logger.exception('attempt failed')
                state, answer, detail = _failure(repr(error))
            finish(attempt, state, answer, detail)
            span.set_attribute('state', attempt.state.value)

    def _execute(
        self, attempt: _attempt.Attempt
    ) -> tuple[messages.AttemptState, bytes, str]:
        match _task.parse_body(attempt.call.body):
            case result.Success(body):
                pass
            case result.Failure(why):
                return _failure(f'bad body: {why}')
        if body.use_memory_mb is not None:
            attempt.used = dataclasses.replace(
                attempt.call.resources, memory_mb=body.use_memory_mb
            )
        if self._options.fails_everything:
            return _failure('this worker fails everything')
        attempt.simulate_work(math.inf if body.hang else body.run_ms)
        if body.fail:
            return _failure('the task was asked to fail')
        answer = _task.answer(
            body,
            self._options.worker_id,
            attempt.call.task_id,
            attempt.call.attempt_id,
        )
        return messages.AttemptState.FINISHED, answer, ''


def _failure(why: str) -> tuple[messages.AttemptState, bytes, str]:
    answer = json.dumps({'error': why}).encode()
    return messages.AttemptState.FAILED, answer, why
