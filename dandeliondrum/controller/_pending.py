"""The tasks that a leader holds for a worker, and how long they may wait."""

import collections
import collections.abc
import dataclasses

from returns import result

from dandeliondrum import messages
from dandeliondrum import placement

QUEUED_MAX = 20_000

# Waiting differs by team, since each has its share, and by class.
Group = tuple[messages.TeamId, messages.TaskClass]


@dataclasses.dataclass
class PendingEntry:
    """One task that waits for a worker.

    ``key_id`` is the key with which a caller who still waits handed it in;
    empty for an open queue and for durable work, which is owed an answer.
    A retry of a gang's member is placed by itself, since the others may have
    ended by then.
    """

    spec: messages.TaskSpec
    deadline_ms: int
    excluded_workers: frozenset[messages.WorkerId] = frozenset()
    key_id: str = ''
    is_retry: bool = False

    @property
    def group(self) -> Group:
        """The tasks among which this one waits."""
        return self.spec.team_id, self.spec.task_class


class Pending:
    """Knows what waits, and refuses early what would wait in vain.

    The owner's lock protects it.
    """

    def __init__(self) -> None:
        self._entries: dict[messages.TaskId, PendingEntry] = {}
        self._by_queue: collections.Counter[messages.QueueName] = (
            collections.Counter()
        )
        self._by_group: collections.Counter[Group] = collections.Counter()
        self._estimators: dict[Group, placement.WaitEstimator] = {}
        self._started: collections.Counter[Group] = collections.Counter()
        self._admission = placement.AdmissionPolicy()

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, task_id: messages.TaskId) -> bool:
        return task_id in self._entries

    def get(self, task_id: messages.TaskId) -> PendingEntry | None:
        """Return the entry of a task."""
        return self._entries.get(task_id)

    def add(self, entry: PendingEntry) -> None:
        """Take a task in."""
        if entry.spec.task_id in self._entries:
            return
        self._entries[entry.spec.task_id] = entry
        self._by_queue[entry.spec.queue] += 1
        self._by_group[entry.group] += 1

    def remove(self, task_id: messages.TaskId, started: bool = False) -> None:
        """Let a task go; one that started counts as throughput."""
        entry = self._entries.pop(task_id, None)
        if entry is None:
            return
        self._by_queue[entry.spec.queue] -= 1
        self._by_group[entry.group] -= 1
        if started:
            self._started[entry.group] += 1

    def overdue(self, now_ms: int) -> list[PendingEntry]:
        """Return the tasks whose deadline has passed."""
        return [
            entry
            for entry in self._entries.values()
            if entry.deadline_ms <= now_ms
            and entry.spec.task_class is not messages.TaskClass.SERVICE
        ]

    def without_key(
        self, key_ids: collections.abc.Container[str]
    ) -> list[PendingEntry]:
        """Return the tasks whose key is none of these any more."""
        return [
            entry
            for entry in self._entries.values()
            if entry.key_id and entry.key_id not in key_ids
        ]

    def measure(self, now_ms: int) -> None:
        """Note the throughput of each group since the last call."""
        for group in set(self._estimators) | set(self._started):
            estimator = self._estimators.setdefault(
                group, placement.WaitEstimator()
            )
            estimator.record(
                self._started[group], self._by_group[group], now_ms
            )
        self._started.clear()

    def admit(
        self, spec: messages.TaskSpec, queued_max: int | None, run_ms: int
    ) -> result.Result[None, messages.RefusalReason]:
        """Say whether waiting makes sense for one more task.

        ``run_ms`` is how long it will run, 0 if that is not known.
        """
        group = spec.team_id, spec.task_class
        estimator = self._estimators.get(group)
        wait_ms = 0
        if estimator is not None:
            wait_ms = estimator.estimated_wait_ms(self._by_group[group])
        if spec.task_class is messages.TaskClass.SERVICE:
            wait_ms = 0
        return self._admission.decide(
            self._by_queue[spec.queue],
            wait_ms,
            spec.timeout_ms - run_ms,
            QUEUED_MAX if queued_max is None else queued_max,
        )
