"""Handler of calls that submit a task and wait for its answer."""

import collections.abc
import contextlib
import threading

from returns import result
import werkzeug

from dandeliondrum.gateway import _components
from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _responses
from dandeliondrum.gateway import _task_headers
from dandeliondrum.gateway import _waiting_call
from dandeliondrum import messages
from dandeliondrum import utils

# Threads reserved for short calls, which do not wait for a task.
RESERVED_THREADS_COUNT = 8
# Share of the other threads that batch calls may use; the rest stays free
# for urgent calls.
BATCH_FRACTION_MAX = 0.75
BUSY_RETRY_AFTER_MS = 500


class WaitingCallLimiter:
    """Limits the number of concurrently waiting calls by class."""

    def __init__(self, threads_count: int) -> None:
        self.calls_max = max(1, threads_count - RESERVED_THREADS_COUNT)
        self.batch_calls_max = max(1, int(self.calls_max * BATCH_FRACTION_MAX))
        self._lock = threading.Lock()
        self._counts: dict[messages.TaskClass, int] = {}

    def try_acquire(self, task_class: messages.TaskClass) -> bool:
        """Acquire a slot; return False if none is free for the class."""
        with self._lock:
            count = self._counts.get(task_class, 0)
            if sum(self._counts.values()) >= self.calls_max:
                return False
            if (
                task_class is not messages.TaskClass.URGENT
                and count >= self.batch_calls_max
            ):
                return False
            self._counts[task_class] = count + 1
            return True

    def release(self, task_class: messages.TaskClass) -> None:
        """Release a slot."""
        with self._lock:
            self._counts[task_class] -= 1


class TaskRunHandlers:
    """Serves ``POST /v1/tasks``."""

    def __init__(self, components: _components.Components) -> None:
        self._components = components
        self._limiter = WaitingCallLimiter(
            components.options.callers_threads_count
        )

    def routes(self) -> tuple[_http.Route, ...]:
        """Return the routes of this handler."""
        return (_http.Route('POST', '/v1/tasks', self.run_task),)

    def run_task(self, call: _http.Call) -> werkzeug.Response:
        """Run one task and return its complete answer."""
        arrived_ms = utils.monotonic_ms()
        match _task_headers.parse_identity(call, self._components.rules):
            case result.Failure(problem):
                first_sending = _task_headers.is_first_sending(call)
                return _responses.refused('', problem, first_sending)
            case result.Success(identity):
                return self._run(call, identity, arrived_ms)
        raise utils.InvariantError('a result is a success or a failure')

    def _run(
        self,
        call: _http.Call,
        identity: _task_headers.Identity,
        arrived_ms: int,
    ) -> werkzeug.Response:
        body = call.body(self._components.options.body_max_bytes)
        task = body.bind(
            lambda data: _task_headers.parse_task(call, identity, data)
        )
        match body, task:
            case result.Success(data), result.Success(request):
                return self._wait(call, request, data, arrived_ms)
            case _, result.Failure(problem):
                return _responses.refused(
                    identity.request_id, problem, identity.first_sending
                )
        raise utils.InvariantError('a result is a success or a failure')

    def _wait(
        self,
        call: _http.Call,
        task: _task_headers.TaskRequest,
        body: bytes,
        arrived_ms: int,
    ) -> werkzeug.Response:
        with self._acquire_slot(task.spec.task_class) as acquired:
            if not acquired:
                problem = _http.Problem(
                    503,
                    'gateway_busy',
                    'too many calls of this class are waiting',
                    BUSY_RETRY_AFTER_MS,
                )
                return _responses.refused(
                    task.request_id, problem, task.first_sending
                )
            return _waiting_call.WaitingCall(
                self._components, call, task, body, arrived_ms
            ).run()

    @contextlib.contextmanager
    def _acquire_slot(
        self, task_class: messages.TaskClass
    ) -> collections.abc.Iterator[bool]:
        if not self._limiter.try_acquire(task_class):
            yield False
            return
        gauge = self._components.metrics.waiting_tasks.labels(task_class.value)
        gauge.inc()
        try:
            yield True
        finally:
            gauge.dec()
            self._limiter.release(task_class)
