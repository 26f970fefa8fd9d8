"""Callers that wait for a task, and what they are notified of."""

import collections
import queue
import threading

from dandeliondrum import messages
from dandeliondrum import utils

_GOING_ON = frozenset(
    (
        messages.TaskState.UNKNOWN,
        messages.TaskState.QUEUED,
        messages.TaskState.ASSIGNED,
    )
)

Event = messages.StartAttempt | messages.TaskStatus


class Waiter:
    """One caller's thread that waits for one task.

    ``vouched`` is true when the id was never sent before. As long as also
    :meth:`may_be_known` is false, the gateway knows by itself that the
    task did not run.
    """

    def __init__(
        self,
        spec: messages.TaskSpec,
        key: str,
        deadline_ms: int,
        vouched: bool = False,
    ) -> None:
        self.spec = spec
        self.key = key
        self.deadline_ms = deadline_ms
        self.vouched = vouched
        self._lock = threading.Lock()
        self._submits_open = 0
        self._known = False
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()
        self._untaken: collections.deque[Event] = collections.deque()

    def notify(self, event: Event) -> None:
        """Hand the waiting thread an event; never waits."""
        with self._lock:
            self._untaken.append(event)
            self._events.put(event)

    def next(self, timeout_ms: int) -> Event | None:
        """Return the next event, or None when none comes in time."""
        try:
            if timeout_ms <= 0:
                event = self._events.get_nowait()
            else:
                event = self._events.get(timeout=timeout_ms / 1000)
        except queue.Empty:
            return None
        with self._lock:
            self._untaken.popleft()
        return event

    def has_news(self, attempt_id: messages.AttemptId) -> bool:
        """Return whether an event waits that overtakes this attempt.

        A status that only says that the task waits or runs does not, nor
        does the same start once more.
        """
        with self._lock:
            return any(_overtakes(one, attempt_id) for one in self._untaken)

    def submit_begins(self) -> None:
        """Note that the task is about to be sent to a leader."""
        with self._lock:
            self._submits_open += 1

    def submit_ended(self, had_effect: bool) -> None:
        """Note what became of a sending; in doubt it had an effect."""
        with self._lock:
            self._submits_open -= 1
            self._known = self._known or had_effect

    def may_be_known(self) -> bool:
        """Return whether any leader may have seen the task."""
        with self._lock:
            return self._known or self._submits_open > 0

    def left_ms(self) -> int:
        """Return how long the caller still waits."""
        return max(0, self.deadline_ms - utils.monotonic_ms())


def _overtakes(event: Event, attempt_id: messages.AttemptId) -> bool:
    if isinstance(event, messages.StartAttempt):
        return event.attempt_id != attempt_id
    return event.state not in _GOING_ON


class Waiters:
    """All callers that wait on this gateway, by task."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._by_task: dict[messages.TaskId, list[Waiter]] = (
            collections.defaultdict(list)
        )

    def add(self, waiter: Waiter) -> None:
        """Let events of the waiter's task reach it."""
        with self._lock:
            self._by_task[waiter.spec.task_id].append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Forget a waiter."""
        with self._lock:
            waiters = self._by_task[waiter.spec.task_id]
            if waiter in waiters:
                waiters.remove(waiter)
            if not waiters:
                del self._by_task[waiter.spec.task_id]

    def notify_one(self, start: messages.StartAttempt) -> bool:
        """Give a start to one waiter; False when nobody waits."""
        with self._lock:
            waiters = self._by_task.get(start.spec.task_id)
            if not waiters:
                return False
            waiters[0].notify(start)
            return True

    def notify_all(self, status: messages.TaskStatus) -> None:
        """Give a status to everybody who waits for the task."""
        with self._lock:
            for waiter in self._by_task.get(status.task_id, ()):
                waiter.notify(status)

    def snapshot(self) -> list[Waiter]:
        """Return all waiters of this moment."""
        with self._lock:
            return [
                waiter
                for waiters in self._by_task.values()
                for waiter in waiters
            ]
