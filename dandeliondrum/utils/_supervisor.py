"""Supervision tree for threads.

A supervisor owns tasks that run until they are asked to stop. A task that
ends with an exception is restarted after a pause that doubles each time, up
to a limit. A violated invariant is fatal: the supervisor stops its tasks and
calls ``on_fatal``, which its children share, so that the process can exit.
"""

import collections.abc
import concurrent.futures
import contextlib
import threading

import structlog

from dandeliondrum.utils import _futures

RESTART_BACKOFF_MIN_MS = 50
RESTART_BACKOFF_MAX_MS = 2_000

_logger = structlog.get_logger()

Task = collections.abc.Callable[[threading.Event], object]


class InvariantError(Exception):
    """An invariant is violated; the process has to stop."""


class Supervisor:
    """Runs tasks in threads and restarts the ones that fail.

    Each task is called with an event that is set when the task has to
    return. It has a thread of its own, so that none waits for another one to
    end. The threads of tasks that have returned are used again.

    Example::

        supervisor = Supervisor('gateway')
        supervisor.run('leader link', link.run)
        ...
        supervisor.close()
    """

    def __init__(
        self,
        name: str,
        on_fatal: collections.abc.Callable[[InvariantError], object]
        | None = None,
    ) -> None:
        self.name = name
        self.stopping = threading.Event()
        self._on_fatal = on_fatal
        self._resources = contextlib.ExitStack()
        # Protects the fields below.
        self._lock = threading.Lock()
        self._closed = False
        # Each has one thread.
        self._executors: set[concurrent.futures.Executor] = set()
        self._idle: list[concurrent.futures.Executor] = []

    def run(self, name: str, task: Task) -> None:
        """Run a task; restart it on failure until the supervisor closes.

        Raises RuntimeError when the supervisor has closed, or the system
        refuses a thread; the task is then not run.
        """
        with self._lock:
            if self._closed:
                raise RuntimeError(f'{name} after the end of {self.name}')
            executor = self._idle.pop() if self._idle else self._new_executor()
            try:
                future = executor.submit(self._run, executor, name, task)
            except RuntimeError:
                # It would keep the task until it gets a thread.
                executor.shutdown(wait=False, cancel_futures=True)
                raise
            self._executors.add(executor)
        _futures.log_failure(future, 'supervised task ended')

    def _new_executor(self) -> concurrent.futures.Executor:
        return concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix=self.name
        )

    def child(self, name: str) -> 'Supervisor':
        """Return a supervisor that is closed before this one is."""
        child = Supervisor(f'{self.name}/{name}', self._on_fatal)
        self._resources.callback(child.close)
        return child

    def close(self) -> None:
        """Ask all tasks to stop and wait for them, children first."""
        self.stopping.set()
        self._resources.close()
        with self._lock:
            self._closed = True
        for executor in self._executors:
            executor.shutdown()

    def _run(
        self, executor: concurrent.futures.Executor, name: str, task: Task
    ) -> None:
        try:
            self._run_with_restarts(name, task)
        finally:
            with self._lock:
                self._idle.append(executor)

    def _run_with_restarts(self, name: str, task: Task) -> None:
        threading.current_thread().name = f'{self.name}: {name}'
        pause_ms = RESTART_BACKOFF_MIN_MS
        while not self.stopping.is_set():
            try:
                task(self.stopping)
                return
            except InvariantError as error:
                _logger.critical(
                    'invariant violated', task=name, why=str(error)
                )
                self._handle_fatal(error)
                return
            except Exception:
                _logger.exception('task failed', task=name, pause_ms=pause_ms)
            self.stopping.wait(pause_ms / 1000)
            pause_ms = min(pause_ms * 2, RESTART_BACKOFF_MAX_MS)

    def _handle_fatal(self, error: InvariantError) -> None:
        self.stopping.set()
        if self._on_fatal is not None:
            self._on_fatal(error)
