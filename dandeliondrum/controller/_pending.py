"""Tasks that wait for a worker, and the admission of new ones."""

import collections
import collections.abc
import dataclasses

from returns import result

from dandeliondrum import messages
from dandeliondrum import placement

DEFAULT_QUEUED_MAX = 20_000

# Waiting times are estimated per team, since each team has its own share, and
# per task class.
Group = tuple[messages.TeamId, messages.TaskClass]


@dataclasses.dataclass
class PendingEntry:
    """One task that waits for a worker.

    ``key_id`` names the API key of the waiting caller that submitted the
    task. It is empty for open queues and for durable tasks, which stay
    queued when a key is withdrawn, because their callers are owed an answer.
    A retry (``is_retry``) of a gang's member is placed alone, since the
    other members may have ended already. An ``isolated`` task shares its
    worker with no other.
    """

    spec: messages.TaskSpec
    deadline_ms: int
    excluded_workers: frozenset[messages.WorkerId] = frozenset()
    key_id: str = ''
    is_retry: bool = False
    isolated: bool = False

    @property
    def group(self) -> Group:
        """The group whose waiting times apply to this task."""
        return self.spec.team_id, self.spec.task_class


class PendingTasks:
    """Holds the waiting tasks and rejects tasks that would wait too long.

    Not thread-safe; the owner's lock protects it.
    """

    def __init__(self) -> None:
        self._entries: dict[messages.TaskId, PendingEntry] = {}
        self._count_by_queue: collections.Counter[messages.QueueName] = (
            collections.Counter()
        )
        self._count_by_group: collections.Counter[Group] = (
            collections.Counter()
        )
        self._estimators: dict[Group, placement.WaitEstimator] = {}
        self._started_by_group: collections.Counter[Group] = (
            collections.Counter()
        )
        self._admission = placement.AdmissionPolicy()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, task_id: messages.TaskId) -> bool:
        return task_id in self._entries

    def get(self, task_id: messages.TaskId) -> PendingEntry | None:
        """Return the entry of a task, or None if it does not wait."""
        return self._entries.get(task_id)

    def add(self, entry: PendingEntry) -> None:
        """Add a task; has no effect if the task is already waiting."""
        if entry.spec.task_id in self._entries:
            return
        self._entries[entry.spec.task_id] = entry
        self._count_by_queue[entry.spec.queue] += 1
        self._count_by_group[entry.group] += 1

    def remove(self, task_id: messages.TaskId, started: bool = False) -> None:
        """Remove a task; one that started counts towards the throughput."""
        entry = self._entries.pop(task_id, None)
        if entry is None:
            return
        self._count_by_queue[entry.spec.queue] -= 1
        self._count_by_group[entry.group] -= 1
        if started:
            self._started_by_group[entry.group] += 1

    def overdue(self, now_ms: int) -> list[PendingEntry]:
        """Return the tasks whose deadline has passed."""
        return [
            entry
            for entry in self._entries.values()
            if entry.deadline_ms <= now_ms
            and entry.spec.task_class is not messages.TaskClass.SERVICE
        ]

    def with_key_not_in(
        self, key_ids: collections.abc.Container[str]
    ) -> list[PendingEntry]:
        """Return tasks submitted with a key that is not in ``key_ids``."""
        return [
            entry
            for entry in self._entries.values()
            if entry.key_id and entry.key_id not in key_ids
        ]

    def record_throughput(self, now_ms: int) -> None:
        """Record the throughput of each group since the last call."""
        for group in set(self._estimators) | set(self._started_by_group):
            estimator = self._estimators.setdefault(
                group, placement.WaitEstimator()
            )
            estimator.record(
                self._started_by_group[group],
                self._count_by_group[group],
                now_ms,
            )
        self._started_by_group.clear()

    def check_admission(
        self, spec: messages.TaskSpec, queued_max: int | None, run_ms: int
    ) -> result.Result[None, messages.RefusalReason]:
        """Decide whether a new task may wait, or return why it is refused.

        ``queued_max`` limits the tasks in its queue; None stands for
        DEFAULT_QUEUED_MAX.
        ``run_ms`` is the estimated run time, 0 if it is not known.
        """
        group = spec.team_id, spec.task_class
        estimator = self._estimators.get(group)
        wait_ms = 0
        if estimator is not None:
            wait_ms = estimator.estimated_wait_ms(self._count_by_group[group])
        if spec.task_class is messages.TaskClass.SERVICE:
            wait_ms = 0
        return self._admission.decide(
            self._count_by_queue[spec.queue],
            wait_ms,
            spec.timeout_ms - run_ms,
            DEFAULT_QUEUED_MAX if queued_max is None else queued_max,
        )
