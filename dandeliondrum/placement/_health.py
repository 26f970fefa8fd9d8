"""Quarantine of workers on which tasks fail more often than on others."""

import collections
import collections.abc
import dataclasses
import math

from dandeliondrum import messages

# Recent outcomes kept for each worker, and the failures among them below
# which it is not quarantined.
OUTCOMES_COUNT = 20
FAILURES_COUNT_MIN = 3
# A worker is quarantined if the probability of as many failures at the
# failure rates of its peers is below this.
P_VALUE_THRESHOLD = 1e-5
# Lower bound of the peers' failure rate, and how many outcomes of a team the
# peers need before the team's outcomes are compared.
PEER_FAILURE_RATE_MIN = 0.02
PEER_OUTCOMES_COUNT_MIN = 3

INITIAL_QUARANTINE_MS = 60_000
QUARANTINE_MS_MAX = 1_800_000
PROBATION_FAILURES_MAX = 2
PROBATION_SUCCESSES_COUNT = 5
# Largest fraction of the workers in quarantine. If more of them fail, the
# workers are not the cause.
QUARANTINED_FRACTION_MAX = 0.25

TASKS_COUNT_MAX = 20_000


def team_of(task_id: messages.TaskId) -> str:
    """Return the team in a task id, '' if it has none.

    Example::

        team_of('lens/123')  # 'lens'
    """
    return task_id.partition('/')[0] if '/' in task_id else ''


@dataclasses.dataclass(slots=True)
class _Tally:
    ok_count: int = 0
    failed_count: int = 0

    def add(self, ok: bool, count: int = 1) -> None:
        if ok:
            self.ok_count += count
        else:
            self.failed_count += count


@dataclasses.dataclass(slots=True)
class _Record:
    """The recent outcomes and the quarantine of one worker."""

    outcomes: collections.deque[tuple[messages.TaskId, bool]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=OUTCOMES_COUNT)
        )
    )
    by_team: dict[str, _Tally] = dataclasses.field(default_factory=dict)
    quarantined_until_ms: int | None = None
    on_probation: bool = False
    quarantine_ms: int = INITIAL_QUARANTINE_MS


@dataclasses.dataclass(slots=True)
class _TaskRecord:
    """The workers on which a task failed, and whether it ever succeeded."""

    failed_on: set[messages.WorkerId] = dataclasses.field(default_factory=set)
    succeeded: bool = False

    def is_at_fault(self) -> bool:
        return len(self.failed_on) > 1 and not self.succeeded


class WorkerHealth:
    """Quarantines workers by comparison with their peers.

    A worker's failures are compared with those of the same teams on other
    workers. Failures of a task that failed on several workers and succeeded
    on none are attributed to the task. A quarantine is followed by
    probation, in which the worker gets tasks again: a few failures lead to a
    quarantine of twice the length, a few successes end the probation.

    Example::

        health.record(worker_id, task_id, ok=False, now_ms=now_ms)
        for worker_id in health.quarantined(now_ms):
            planner.put_worker(facts[worker_id], eligible=False)
    """

    def __init__(
        self,
        team_of_task: collections.abc.Callable[
            [messages.TaskId], str
        ] = team_of,
    ) -> None:
        self._team_of = team_of_task
        self._workers: dict[messages.WorkerId, _Record] = {}
        self._teams: dict[str, _Tally] = {}
        self._tasks: collections.OrderedDict[messages.TaskId, _TaskRecord] = (
            collections.OrderedDict()
        )

    def record(
        self,
        worker_id: messages.WorkerId,
        task_id: messages.TaskId,
        ok: bool,
        now_ms: int,
    ) -> None:
        """Record the outcome of a task on a worker."""
        record = self._workers.setdefault(worker_id, _Record())
        self._note_task(worker_id, task_id, ok)
        self._note_outcome(record, task_id, ok)
        if (
            record.quarantined_until_ms is not None
            and now_ms < record.quarantined_until_ms
        ):
            return
        if record.on_probation:
            self._update_probation(record, now_ms)
        elif not ok and self._is_outlier(record):
            self._quarantine(record, now_ms)

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Discard the record of a worker that was removed or repaired."""
        record = self._workers.pop(worker_id, None)
        if record is not None:
            self._clear(record)

    def quarantined(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that must not get new tasks at this time."""
        return frozenset(
            worker_id
            for worker_id, record in self._workers.items()
            if record.quarantined_until_ms is not None
            and now_ms < record.quarantined_until_ms
        )

    def _note_task(
        self, worker_id: messages.WorkerId, task_id: messages.TaskId, ok: bool
    ) -> None:
        task = self._tasks.setdefault(task_id, _TaskRecord())
        if ok:
            task.succeeded = True
        else:
            task.failed_on.add(worker_id)
        if len(self._tasks) > TASKS_COUNT_MAX:
            self._tasks.popitem(last=False)

    def _note_outcome(
        self, record: _Record, task_id: messages.TaskId, ok: bool
    ) -> None:
        if len(record.outcomes) == OUTCOMES_COUNT:
            self._count(record, *record.outcomes[0], -1)
        record.outcomes.append((task_id, ok))
        self._count(record, task_id, ok, 1)

    def _count(
        self, record: _Record, task_id: messages.TaskId, ok: bool, sign: int
    ) -> None:
        team = self._team_of(task_id)
        record.by_team.setdefault(team, _Tally()).add(ok, sign)
        self._teams.setdefault(team, _Tally()).add(ok, sign)

    def _clear(self, record: _Record) -> None:
        for task_id, ok in record.outcomes:
            self._count(record, task_id, ok, -1)
        record.outcomes.clear()

    def _attributable_outcomes(self, record: _Record) -> list[bool]:
        """Return the outcomes attributed to the worker; True is a success."""
        outcomes = []
        for task_id, ok in record.outcomes:
            task = self._tasks.get(task_id)
            if not ok and task is not None and task.is_at_fault():
                continue
            outcomes.append(ok)
        return outcomes

    def _is_outlier(self, record: _Record) -> bool:
        expected = 0.0
        count = 0
        failures_count = 0
        for task_id, ok in record.outcomes:
            task = self._tasks.get(task_id)
            if not ok and task is not None and task.is_at_fault():
                continue
            rate = self._peer_failure_rate(record, self._team_of(task_id))
            if rate is None:
                continue
            expected += rate
            count += 1
            failures_count += not ok
        if failures_count < FAILURES_COUNT_MIN:
            return False
        return (
            _binomial_tail(failures_count, count, expected / count)
            < P_VALUE_THRESHOLD
        )

    def _peer_failure_rate(self, record: _Record, team: str) -> float | None:
        """Return the failure rate of the team's tasks on other workers.

        None if the other workers have too few outcomes of the team.
        """
        on_worker = record.by_team[team]
        all_workers = self._teams[team]
        failed_count = all_workers.failed_count - on_worker.failed_count
        count = all_workers.ok_count - on_worker.ok_count + failed_count
        if count < PEER_OUTCOMES_COUNT_MIN:
            return None
        return max(PEER_FAILURE_RATE_MIN, failed_count / count)

    def _update_probation(self, record: _Record, now_ms: int) -> None:
        outcomes = self._attributable_outcomes(record)
        if outcomes.count(False) >= PROBATION_FAILURES_MAX:
            self._quarantine(record, now_ms)
        elif outcomes.count(True) >= PROBATION_SUCCESSES_COUNT:
            record.on_probation = False
            record.quarantine_ms = INITIAL_QUARANTINE_MS

    def _quarantine(self, record: _Record, now_ms: int) -> None:
        count = len(self.quarantined(now_ms)) + 1
        if count > max(1, len(self._workers) * QUARANTINED_FRACTION_MAX):
            return
        record.quarantined_until_ms = now_ms + record.quarantine_ms
        record.quarantine_ms = min(2 * record.quarantine_ms, QUARANTINE_MS_MAX)
        record.on_probation = True
        self._clear(record)


def _binomial_tail(failures_count: int, count: int, rate: float) -> float:
    """Return the binomial probability of at least this many failures."""
    rate = min(rate, 1.0)
    return sum(
        math.comb(count, failed)
        * rate**failed
        * (1 - rate) ** (count - failed)
        for failed in range(failures_count, count + 1)
    )
