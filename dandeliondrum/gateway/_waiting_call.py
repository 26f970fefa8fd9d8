"""The thread of a caller that waits for one task."""

import dataclasses
import functools

import structlog
import werkzeug

from dandeliondrum.gateway import _answer_stream
from dandeliondrum.gateway import _answer_watch
from dandeliondrum.gateway import _call_reports
from dandeliondrum.gateway import _dispatch
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _outcomes
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum.gateway import _waiters
from dandeliondrum import messages
from dandeliondrum import observability
from dandeliondrum import utils

# How long after the deadline the leader's refusal may still come.
GRACE_MS = 1_000
STOP_POLL_MS = 500

_logger = structlog.get_logger()


class WaitingCall:
    """Sees one task through, from submission to the caller's answer.

    The thread waits for the leader's order; asked to start an attempt, it
    carries the body to the worker itself and waits there for the answer.
    """

    def __init__(
        self,
        services: _services.Services,
        call: _http.Call,
        task: _task_headers.TaskRequest,
        body: bytes,
        arrived_ms: int,
    ) -> None:
        self._services = services
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
            task.vouched,
        )
        self._watch = _answer_watch.AnswerWatch()
        self._failed: _dispatch.Ended | None = None
        self._started = False
        self._reports = _call_reports.CallReports(services.reporter)

    def run(self) -> werkzeug.Response:
        """Return the response; raise CutShort where the answer broke."""
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
        waiters = self._services.waiters
        waiters.add(self._waiter)
        try:
            self._services.submitter.submit(self._waiter)
            return self._wait()
        finally:
            waiters.remove(self._waiter)
            self._give_back_starts()

    def _wait(self) -> werkzeug.Response:
        while True:
            left_ms = self._left_ms()
            if left_ms <= 0:
                return self._expired('the deadline passed')
            if self._services.readiness.stopping.is_set():
                return self._expired('the gateway stops; send the id again')
            if self._call.caller_left():
                return self._expired('the caller hung up')
            response = self._step(left_ms)
            if response is not None:
                return response

    def _left_ms(self) -> int:
        end_ms = self._waiter.deadline_ms + GRACE_MS
        return end_ms - utils.monotonic_ms()

    def _step(self, left_ms: int) -> werkzeug.Response | None:
        match self._event(left_ms):
            case messages.StartAttempt() as start:
                return self._start(start)
            case messages.TaskStatus() as status:
                return self._take(status)
        if self._watch.place is not None:
            return self._fetch(self._watch.place)
        return None

    def _event(self, left_ms: int) -> _waiters.Event | None:
        """Return what the leader says, or None when it is time to act."""
        if self._watch.place is not None:
            return self._waiter.next(min(left_ms, self._watch.pause_ms))
        end_ms = utils.monotonic_ms() + left_ms
        stopping = self._services.readiness.stopping
        with observability.span('wait for the leader'):
            while left_ms > 0 and not (
                stopping.is_set() or self._call.caller_left()
            ):
                event = self._waiter.next(min(left_ms, STOP_POLL_MS))
                if event is not None:
                    return event
                left_ms = end_ms - utils.monotonic_ms()
        return None

    def _start(self, start: messages.StartAttempt) -> werkzeug.Response | None:
        if not self._services.attempts_seen.first(start.attempt_id):
            return None
        self._observe_wait()
        self._watch.drop()
        place = _dispatch.place_of(start)
        stream = self._stream(place)
        outcome = self._services.dispatcher.start(
            start,
            self._body,
            self._wait_ms(),
            stream.open,
            functools.partial(self._waiter.has_news, start.attempt_id),
        )
        self._log.info(
            'attempt dispatched',
            attempt=start.attempt_id,
            worker=start.worker_id,
            outcome=type(outcome).__name__,
        )
        match outcome:
            case _dispatch.Ended():
                return self._ended(outcome, stream)
            case _dispatch.Running():
                self._watch.follow(place)
            case _dispatch.NeverStarted(reason=reason):
                self._reports.never_started(start.attempt_id, reason)
            case _dispatch.Uncertain(reason=reason):
                self._reports.uncertain(start.attempt_id, reason)
        return None

    def _fetch(self, place: messages.AnswerPlace) -> werkzeug.Response | None:
        stream = self._stream(place)
        began_ms = utils.monotonic_ms()
        outcome = self._services.dispatcher.fetch(
            place,
            self._wait_ms(),
            stream.open,
            functools.partial(self._waiter.has_news, place.attempt_id),
        )
        match outcome:
            case _dispatch.Ended():
                return self._ended(outcome, stream)
            case _dispatch.Running():
                self._watch.ask_again(utils.monotonic_ms() - began_ms)
            case _dispatch.Uncertain(reason=reason):
                self._log.info(
                    'no answer yet', attempt=place.attempt_id, why=reason
                )
                self._watch.back_off()
        return None

    def _ended(
        self, ended: _dispatch.Ended, stream: _answer_stream.AnswerStream
    ) -> werkzeug.Response | None:
        self._report_end(ended)
        if ended.streamed:
            return self._streamed(ended, stream)
        if not self._is_final(ended):
            self._watch.drop()
            if ended.state is messages.AttemptState.FAILED:
                self._failed = ended
            return None
        if ended.body is None:
            self._watch.follow(ended.place)
            self._watch.back_off()
            return None
        return self._deliver(ended, ended.body)

    def _deliver(
        self, ended: _dispatch.Ended, body: bytes
    ) -> werkzeug.Response:
        self._tell_others(ended)
        return _outcomes.answered(self._task.spec.task_id, ended.place, body)

    def _streamed(
        self, ended: _dispatch.Ended, stream: _answer_stream.AnswerStream
    ) -> werkzeug.Response | None:
        if ended.whole and stream.finish():
            self._tell_others(ended)
            return _outcomes.answered(
                self._task.spec.task_id, ended.place, b''
            )
        if stream.started:
            raise _http.CutShort(f'answer of {ended.attempt_id} broke off')
        if self._is_final(ended):
            self._watch.follow(ended.place)
            self._watch.back_off()
        else:
            self._watch.drop()
        return None

    def _take(self, status: messages.TaskStatus) -> werkzeug.Response | None:
        match status.state:
            case messages.TaskState.REFUSED:
                return _outcomes.refused_by_leader(status)
            case messages.TaskState.CANCELLED:
                return _outcomes.cancelled(status)
            case messages.TaskState.IN_DOUBT:
                return _outcomes.in_doubt_by_leader(status)
            case messages.TaskState.DONE if status.answer is not None:
                self._watch.follow(status.answer, of_leader=True)
            case messages.TaskState.FAILED:
                return self._failed_for_good(status)
        return None

    def _failed_for_good(
        self, status: messages.TaskStatus
    ) -> werkzeug.Response | None:
        if self._failed is not None and self._failed.body is not None:
            return self._deliver(self._failed, self._failed.body)
        if status.answer is not None:
            self._watch.follow(status.answer, of_leader=True)
            return None
        return _outcomes.failed(status)

    def _expired(self, why: str) -> werkzeug.Response:
        if self._failed is not None and self._failed.body is not None:
            return self._deliver(self._failed, self._failed.body)
        if self._waiter.vouched and not self._waiter.may_be_known():
            problem = _http.Problem(
                503, 'no_leader', f'{why}; no leader had the task', 1_000
            )
            return _outcomes.refused(
                self._task.request_id, problem, not_run=True
            )
        return self._in_doubt(why)

    def _in_doubt(self, detail: str) -> werkzeug.Response:
        return _outcomes.in_doubt(self._task.request_id, detail)

    def _stream(
        self, place: messages.AnswerPlace
    ) -> _answer_stream.AnswerStream:
        return _answer_stream.AnswerStream(
            self._call, self._task.spec.task_id, place, self._on_large_end
        )

    def _on_large_end(self, ended: _dispatch.Ended) -> bool:
        self._report_end(ended)
        return self._is_final(ended)

    def _is_final(self, ended: _dispatch.Ended) -> bool:
        """Return whether no further attempt can follow this end."""
        match ended.state:
            case messages.AttemptState.FINISHED:
                return True
            case messages.AttemptState.FAILED:
                return self._watch.of_leader or not self._task.spec.idempotent
        return False

    def _wait_ms(self) -> int:
        longest_ms = self._services.options.start_wait_ms
        return max(0, min(longest_ms, self._left_ms()))

    def _report_end(self, ended: _dispatch.Ended) -> None:
        if not self._watch.of_leader:
            self._reports.ended(ended)

    def _tell_others(self, ended: _dispatch.Ended) -> None:
        """Notify callers on this gateway that wait for the same task."""
        state = messages.TaskState.DONE
        if ended.state is messages.AttemptState.FAILED:
            state = messages.TaskState.FAILED
        place = dataclasses.replace(ended.place, body=None)
        self._services.waiters.notify_all(
            messages.TaskStatus(self._task.spec.task_id, state, answer=place)
        )

    def _give_back_starts(self) -> None:
        """Report starts that came too late for this caller."""
        while (event := self._waiter.next(0)) is not None:
            if not isinstance(event, messages.StartAttempt):
                continue
            if self._services.attempts_seen.first(event.attempt_id):
                self._reports.never_started(
                    event.attempt_id, 'its caller waits no more'
                )

    def _observe_wait(self) -> None:
        if self._started:
            return
        self._started = True
        waited_ms = utils.monotonic_ms() - self._arrived_ms
        self._services.metrics.task_wait_seconds.labels(
            self._task.spec.task_class.value
        ).observe(waited_ms / 1000)
