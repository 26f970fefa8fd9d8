"""Calls of those who submit work and wait for it."""

import collections.abc
import contextlib
import threading

from returns import result
import werkzeug

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _outcomes
from dandeliondrum.gateway import _services
from dandeliondrum.gateway import _task_headers
from dandeliondrum.gateway import _waiting_call
from dandeliondrum import messages
from dandeliondrum import utils

# Threads that waiting calls leave to short ones, and of the others the part
# that batch calls may hold, so that urgent ones still find a thread.
THREADS_KEPT_FREE = 8
BATCH_PART = 0.75
BUSY_RETRY_AFTER_MS = 500


class WaitingRoom:
    """Bounds how many callers wait at the same time, by class."""

    def __init__(self, threads_count: int) -> None:
        self.most = max(1, threads_count - THREADS_KEPT_FREE)
        self.most_batch = max(1, int(self.most * BATCH_PART))
        self._lock = threading.Lock()
        self._waiting: dict[messages.TaskClass, int] = {}

    def enter(self, task_class: messages.TaskClass) -> bool:
        """Take a place; false when all places of the class are taken."""
        with self._lock:
            count = self._waiting.get(task_class, 0)
            if sum(self._waiting.values()) >= self.most:
                return False
            if (
                task_class is not messages.TaskClass.URGENT
                and count >= self.most_batch
            ):
                return False
            self._waiting[task_class] = count + 1
            return True

    def leave(self, task_class: messages.TaskClass) -> None:
        """Give a place back."""
        with self._lock:
            self._waiting[task_class] -= 1


class Callers:
    """Serves ``POST /v1/tasks``."""

    def __init__(self, services: _services.Services) -> None:
        self._services = services
        self._room = WaitingRoom(services.options.callers_threads_count)

    def routes(self) -> tuple[_http.Route, ...]:
        """Return what this part serves."""
        return (_http.Route('POST', '/v1/tasks', self.run_task),)

    def run_task(self, call: _http.Call) -> werkzeug.Response:
        """Run one task and answer with its whole answer."""
        arrived_ms = utils.monotonic_ms()
        match _task_headers.identity(call, self._services.rules):
            case result.Failure(problem):
                vouched = _task_headers.is_vouched(call)
                return _outcomes.refused('', problem, vouched)
            case result.Success(who):
                return self._run(call, who, arrived_ms)
        raise utils.InvariantError('a result is a success or a failure')

    def _run(
        self,
        call: _http.Call,
        who: _task_headers.Identity,
        arrived_ms: int,
    ) -> werkzeug.Response:
        body = call.body(self._services.options.body_max_bytes)
        task = body.bind(lambda data: _task_headers.parse(call, who, data))
        match body, task:
            case result.Success(data), result.Success(request):
                return self._wait(call, request, data, arrived_ms)
            case _, result.Failure(problem):
                return _outcomes.refused(who.request_id, problem, who.vouched)
        raise utils.InvariantError('a result is a success or a failure')

    def _wait(
        self,
        call: _http.Call,
        task: _task_headers.TaskRequest,
        body: bytes,
        arrived_ms: int,
    ) -> werkzeug.Response:
        with self._place(task.spec.task_class) as taken:
            if not taken:
                problem = _http.Problem(
                    503,
                    'gateway_busy',
                    'all places of this class are taken',
                    BUSY_RETRY_AFTER_MS,
                )
                return _outcomes.refused(
                    task.request_id, problem, task.vouched
                )
            return _waiting_call.WaitingCall(
                self._services, call, task, body, arrived_ms
            ).run()

    @contextlib.contextmanager
    def _place(
        self, task_class: messages.TaskClass
    ) -> collections.abc.Iterator[bool]:
        if not self._room.enter(task_class):
            yield False
            return
        gauge = self._services.metrics.waiting_tasks.labels(task_class.value)
        gauge.inc()
        try:
            yield True
        finally:
            gauge.dec()
            self._room.leave(task_class)
