"""Handling of a call that runs one task and waits for its answer."""

import dataclasses
import functools

import structlog
import werkzeug

from dandeliondrum.gateway import _answer_polling
from dandeliondrum.gateway import _answer_stream
from dandeliondrum.gateway import _call_reports
from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _responses
from dandeliondrum.gateway import _task_headers
from dandeliondrum.gateway import _waiters
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import utils

# Time after the deadline during which the leader's refusal is awaited.
GRACE_MS = 1_000
STOP_POLL_MS = 500

_logger = structlog.get_logger()


class WaitingCall:
    """Runs one task from its submission to the response to the caller.

    The thread waits for events from the leader. When the leader asks for the
    start of an attempt, it sends the request body to the worker itself and
    waits for the answer of the worker.
    """

    def __init__(
        self,
        components: _components.Components,
        call: _http.Call,
        task: _task_headers.TaskRequest,
        body: bytes,
        arrived_ms: int,
    ) -> None:
        self._components = components
        self._call = call
        self._task = task
        self._body = body
        self._arrived_ms = arrived_ms
        self._log = _logger.bind(
            task=task.spec.task_id, request_id=task.request_id
        )
        self._waiter = _waiters.Waiter(
            task.spec,
            task.key,
            arrived_ms + task.spec.timeout_ms,
            task.first_sending,
        )
        self._polling = _answer_polling.AnswerPolling()
        self._failed_attempt: _dispatch.Ended | None = None
        self._wait_observed = False
        self._reports = _call_reports.CallReports(components.reporter)

    def run(self) -> werkzeug.Response:
        """Run the task and return the response to the caller.

        Raises TruncatedResponseError if a streamed answer was interrupted.
        """
        spec = self._task.spec
        with observability.span(
            'run task',
            spec.trace_parent,
            {'task': spec.task_id, 'task_class': spec.task_class.value},
        ) as span:
            self._waiter.spec = dataclasses.replace(
                spec, trace_parent=observability.current_trace_parent()
            )
            response = self._submit_and_wait()
            span.set_attribute('status', response.status_code)
            return response

    def _submit_and_wait(self) -> werkzeug.Response:
        waiters = self._components.waiters
        waiters.add(self._waiter)
        try:
            self._components.submitter.submit(self._waiter)
            return self._wait()
        finally:
            waiters.remove(self._waiter)
            self._report_unused_starts()

    def _wait(self) -> werkzeug.Response:
        while True:
            remaining_ms = self._remaining_ms()
            if remaining_ms <= 0:
                return self._end_wait('the deadline passed')
            if self._components.readiness.stopping.is_set():
                return self._end_wait(
                    'the gateway is stopping; send the id again'
                )
            if self._call.caller_disconnected():
                return self._end_wait('the caller disconnected')
            response = self._process_next(remaining_ms)
            if response is not None:
                return response

    def _remaining_ms(self) -> int:
        end_ms = self._waiter.deadline_ms + GRACE_MS
        return end_ms - utils.monotonic_ms()

    def _process_next(self, remaining_ms: int) -> werkzeug.Response | None:
        match self._next_event(remaining_ms):
            case messages.StartAttempt() as start:
                return self._start_attempt(start)
            case messages.TaskStatus() as status:
                return self._handle_status(status)
        if self._polling.place is not None:
            return self._fetch_answer(self._polling.place)
        return None

    def _next_event(self, remaining_ms: int) -> _waiters.Event | None:
        """Return the next event, or None on a timeout, stop or disconnect."""
        if self._polling.place is not None:
            return self._waiter.next_event(
                min(remaining_ms, self._polling.pause_ms)
            )
        end_ms = utils.monotonic_ms() + remaining_ms
        stopping = self._components.readiness.stopping
        with observability.span('wait for the leader'):
            while remaining_ms > 0 and not (
                stopping.is_set() or self._call.caller_disconnected()
            ):
                event = self._waiter.next_event(
                    min(remaining_ms, STOP_POLL_MS)
                )
                if event is not None:
                    return event
                remaining_ms = end_ms - utils.monotonic_ms()
        return None

    def _start_attempt(
        self, start: messages.StartAttempt
    ) -> werkzeug.Response | None:
        if not self._components.recent_attempts.add_if_new(start.attempt_id):
            return None
        self._observe_wait()
        self._polling.stop()
        place = _dispatch.place_of(start)
        stream = self._stream(place)
        outcome = self._components.dispatcher.start(
            start,
            self._body,
            self._wait_ms(),
            stream.open,
            functools.partial(self._waiter.is_superseded, start.attempt_id),
        )
        self._log.info(
            'attempt dispatched',
            attempt=start.attempt_id,
            worker=start.worker_id,
            outcome=type(outcome).__name__,
        )
        match outcome:
            case _dispatch.Ended():
                return self._handle_ended(outcome, stream)
            case _dispatch.Running():
                self._polling.start(place)
            case _dispatch.NeverStarted(reason=reason):
                self._reports.never_started(start.attempt_id, reason)
            case _dispatch.Uncertain(reason=reason):
                self._reports.uncertain(start.attempt_id, reason)
        return None

    def _fetch_answer(
        self, place: messages.AnswerPlace
    ) -> werkzeug.Response | None:
        stream = self._stream(place)
        began_ms = utils.monotonic_ms()
        outcome = self._components.dispatcher.fetch(
            place,
            self._wait_ms(),
            stream.open,
            functools.partial(self._waiter.is_superseded, place.attempt_id),
        )
        match outcome:
            case _dispatch.Ended():
                return self._handle_ended(outcome, stream)
            case _dispatch.Running():
                self._polling.poll_again(utils.monotonic_ms() - began_ms)
            case _dispatch.Uncertain(reason=reason):
                self._log.info(
                    'no answer yet', attempt=place.attempt_id, why=reason
                )
                self._polling.back_off()
        return None

    def _handle_ended(
        self, ended: _dispatch.Ended, stream: _answer_stream.AnswerStream
    ) -> werkzeug.Response | None:
        self._report_end(ended)
        if ended.streamed:
            return self._handle_streamed(ended, stream)
        if not self._is_final(ended):
            self._polling.stop()
            if ended.state is messages.AttemptState.FAILED:
                self._failed_attempt = ended
            return None
        if ended.body is None:
            self._polling.start(ended.place)
            self._polling.back_off()
            return None
        return self._deliver(ended, ended.body)

    def _deliver(
        self, ended: _dispatch.Ended, body: bytes
    ) -> werkzeug.Response:
        self._notify_other_waiters(ended)
        return _responses.answered(self._task.spec.task_id, ended.place, body)

    def _handle_streamed(
        self, ended: _dispatch.Ended, stream: _answer_stream.AnswerStream
    ) -> werkzeug.Response | None:
        if ended.complete and stream.finish():
            self._notify_other_waiters(ended)
            return _responses.answered(
                self._task.spec.task_id, ended.place, b''
            )
        if stream.started:
            raise _http.TruncatedResponseError(
                f'answer of {ended.attempt_id} was truncated'
            )
        if self._is_final(ended):
            self._polling.start(ended.place)
            self._polling.back_off()
        else:
            self._polling.stop()
        return None

    def _handle_status(
        self, status: messages.TaskStatus
    ) -> werkzeug.Response | None:
        match status.state:
            case messages.TaskState.REFUSED:
                return _responses.refused_by_leader(status)
            case messages.TaskState.CANCELLED:
                return _responses.cancelled(status)
            case messages.TaskState.IN_DOUBT:
                return _responses.in_doubt_by_leader(status)
            case messages.TaskState.DONE if status.answer is not None:
                self._polling.start(status.answer, from_leader=True)
            case messages.TaskState.FAILED:
                return self._handle_failed_task(status)
        return None

    def _handle_failed_task(
        self, status: messages.TaskStatus
    ) -> werkzeug.Response | None:
        if (
            self._failed_attempt is not None
            and self._failed_attempt.body is not None
        ):
            return self._deliver(
                self._failed_attempt, self._failed_attempt.body
            )
        if status.answer is not None:
            self._polling.start(status.answer, from_leader=True)
            return None
        return _responses.failed(status)

    def _end_wait(self, why: str) -> werkzeug.Response:
        if (
            self._failed_attempt is not None
            and self._failed_attempt.body is not None
        ):
            return self._deliver(
                self._failed_attempt, self._failed_attempt.body
            )
        if (
            self._waiter.first_sending
            and not self._waiter.may_have_been_received()
        ):
            problem = _http.Problem(
                503, 'no_leader', f'{why}; no leader received the task', 1_000
            )
            return _responses.refused(
                self._task.request_id, problem, not_run=True
            )
        return self._in_doubt(why)

    def _in_doubt(self, detail: str) -> werkzeug.Response:
        return _responses.in_doubt(self._task.request_id, detail)

    def _stream(
        self, place: messages.AnswerPlace
    ) -> _answer_stream.AnswerStream:
        return _answer_stream.AnswerStream(
            self._call,
            self._task.spec.task_id,
            place,
            self._accept_large_answer,
        )

    def _accept_large_answer(self, ended: _dispatch.Ended) -> bool:
        self._report_end(ended)
        return self._is_final(ended)

    def _is_final(self, ended: _dispatch.Ended) -> bool:
        """Return whether no other attempt can follow this one."""
        match ended.state:
            case messages.AttemptState.FINISHED:
                return True
            case messages.AttemptState.FAILED:
                return (
                    self._polling.from_leader or not self._task.spec.idempotent
                )
        return False

    def _wait_ms(self) -> int:
        longest_ms = self._components.options.start_wait_ms
        return max(0, min(longest_ms, self._remaining_ms()))

    def _report_end(self, ended: _dispatch.Ended) -> None:
        if not self._polling.from_leader:
            self._reports.ended(ended)

    def _notify_other_waiters(self, ended: _dispatch.Ended) -> None:
        """Notify callers on this gateway that wait for the same task."""
        state = messages.TaskState.DONE
        if ended.state is messages.AttemptState.FAILED:
            state = messages.TaskState.FAILED
        place = dataclasses.replace(ended.place, body=None)
        self._components.waiters.notify_all(
            messages.TaskStatus(self._task.spec.task_id, state, answer=place)
        )

    def _report_unused_starts(self) -> None:
        """Report queued starts as never started after the call has ended."""
        while (event := self._waiter.next_event(0)) is not None:
            if not isinstance(event, messages.StartAttempt):
                continue
            if self._components.recent_attempts.add_if_new(event.attempt_id):
                self._reports.never_started(
                    event.attempt_id, 'the caller is no longer waiting'
                )

    def _observe_wait(self) -> None:
        if self._wait_observed:
            return
        self._wait_observed = True
        waited_ms = utils.monotonic_ms() - self._arrived_ms
        self._components.metrics.task_wait_seconds.labels(
            self._task.spec.task_class.value
        ).observe(waited_ms / 1000)
