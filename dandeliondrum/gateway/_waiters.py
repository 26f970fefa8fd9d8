"""Callers that are waiting for a task, and the events sent to them."""

import collections
import queue
import threading

from dandeliondrum import messages
from dandeliondrum import utils

_UNFINISHED_STATES = frozenset(
    (
        messages.TaskState.UNKNOWN,
        messages.TaskState.QUEUED,
        messages.TaskState.ASSIGNED,
    )
)

Event = messages.StartAttempt | messages.TaskStatus


class Waiter:
    """Event queue of a caller's thread that waits for one task.

    ``first_sending`` is true if the gateway generated the request id or the
    caller declares that it never sent this id before. Only then, and while
    :meth:`may_have_been_received` is false, may the gateway itself report
    that the task was not run.
    """

    def __init__(
        self,
        spec: messages.TaskSpec,
        key: str,
        deadline_ms: int,
        first_sending: bool = False,
    ) -> None:
        self.spec = spec
        self.key = key
        self.deadline_ms = deadline_ms
        self.first_sending = first_sending
        self._lock = threading.Lock()
        self._open_submits_count = 0
        self._received = False
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._unread: collections.deque[Event] = collections.deque()

    def notify(self, event: Event) -> None:
        """Queue an event for the waiting thread without blocking."""
        with self._lock:
            self._unread.append(event)
            self._events.put(event)

    def next_event(self, timeout_ms: int) -> Event | None:
        """Return the next event, or None after ``timeout_ms``."""
        try:
            if timeout_ms <= 0:
                event = self._events.get_nowait()
            else:
                event = self._events.get(timeout=timeout_ms / 1000)
        except queue.Empty:
            return None
        with self._lock:
            self._unread.popleft()
        return event

    def is_superseded(self, attempt_id: messages.AttemptId) -> bool:
        """Return whether a queued event makes this attempt obsolete.

        These are the start of another attempt and a status that says that the
        task has ended. A repeated start of the same attempt, or a status of a
        task that is still queued or running, is ignored.
        """
        with self._lock:
            return any(_supersedes(one, attempt_id) for one in self._unread)

    def submit_started(self) -> None:
        """Record that the task is about to be sent to a leader."""
        with self._lock:
            self._open_submits_count += 1

    def submit_ended(self, had_effect: bool) -> None:
        """Record the outcome of a submission.

        ``had_effect`` has to be true also if that is not known.
        """
        with self._lock:
            self._open_submits_count -= 1
            self._received = self._received or had_effect

    def may_have_been_received(self) -> bool:
        """Return whether any leader may have received the task."""
        with self._lock:
            return self._received or self._open_submits_count > 0

    def remaining_ms(self) -> int:
        """Return the time until the caller's deadline."""
        return max(0, self.deadline_ms - utils.monotonic_ms())


def _supersedes(event: Event, attempt_id: messages.AttemptId) -> bool:
    if isinstance(event, messages.StartAttempt):
        return event.attempt_id != attempt_id
    return event.state not in _UNFINISHED_STATES


class WaiterRegistry:
    """All waiters of this gateway, indexed by task."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_task: dict[messages.TaskId, list[Waiter]] = (
            collections.defaultdict(list)
        )

    def add(self, waiter: Waiter) -> None:
        """Register a waiter for the events of its task."""
        with self._lock:
            self._by_task[waiter.spec.task_id].append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Unregister a waiter."""
        with self._lock:
            waiters = self._by_task[waiter.spec.task_id]
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                del self._by_task[waiter.spec.task_id]

    def notify_one(self, start: messages.StartAttempt) -> bool:
        """Send a start to one waiter; return False if there is none."""
        with self._lock:
            waiters = self._by_task.get(start.spec.task_id)
            if not waiters:
                return False
            waiters[0].notify(start)
            return True

    def notify_all(self, status: messages.TaskStatus) -> None:
        """Send a status to all waiters of the task."""
        with self._lock:
            for waiter in self._by_task.get(status.task_id, ()):
                waiter.notify(status)

    def snapshot(self) -> list[Waiter]:
        """Return a copy of the list of all waiters."""
        with self._lock:
            return [
                waiter
                for waiters in self._by_task.values()
                for waiter in waiters
            ]
