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

RESTART_BACKOFF_MIN_MS = 50
RESTART_BACKOFF_MAX_MS = 2_000

_logger = structlog.get_logger()

Task = collections.abc.Callable[[threading.Event], object]


class InvariantError(Exception):
    """An invariant is violated; the process has to stop."""


class Supervisor:
    """Runs tasks in threads and restarts the ones that fail.

    Each task is called with an event that is set when the task has to
    return. ``threads_count`` limits how many tasks run at a time.

    Example::

        supervisor = Supervisor('gateway', threads_count=4)
        supervisor.run('leader link', link.run)
        ...
        supervisor.close()
    """

    def __init__(
        self,
        name: str,
        threads_count: int,
        on_fatal: collections.abc.Callable[[InvariantError], object]
        | None = None,
    ) -> None:
        self.name = name
        self.stopping = threading.Event()
        self._on_fatal = on_fatal
        self._resources = contextlib.ExitStack()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            max_workers=threads_count, thread_name_prefix=name
        )

    def run(self, name: str, task: Task) -> None:
        """Run a task; restart it on failure until the supervisor closes."""
        self._executor.submit(self._run_with_restarts, name, task)

    def child(self, name: str, threads_count: int) -> 'Supervisor':
        """Return a supervisor that is closed before this one is."""
        child = Supervisor(
            f'{self.name}/{name}', threads_count, self._on_fatal
        )
        self._resources.callback(child.close)
        return child

    def close(self) -> None:
        """Ask all tasks to stop and wait for them, children first."""
        self.stopping.set()
        self._resources.close()
        self._executor.shutdown(wait=True, cancel_futures=True)

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
