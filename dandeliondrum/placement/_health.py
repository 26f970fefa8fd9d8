"""Workers that fail what their peers finish."""

import collections
import collections.abc
import dataclasses
import math

from dandeliondrum import messages

OUTCOMES_COUNT = 20
FAILURES_COUNT_MIN = 3
# A worker is quarantined when its failures would be this unlikely on one of
# its peers.
CHANCE_MAX = 1e-5
# Peers are taken to fail at least so often, and outcomes of a team count
# for a verdict once the peers have so many of it.
PEERS_RATE_MIN = 0.02
PEERS_OUTCOMES_MIN = 3

FIRST_QUARANTINE_MS = 60_000
LONGEST_QUARANTINE_MS = 1_800_000
PROBATION_FAILURES_MAX = 2
PROBATION_SUCCESSES_COUNT = 5
# A part of the workers that is never exceeded: where more fail, it isn't
# the workers.
QUARANTINED_PORTION_MAX = 0.25

TASKS_COUNT_MAX = 20_000


def team_of(task_id: messages.TaskId) -> str:
    """Return the part of a task id that names its team."""
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
    """What is known of one worker."""

    outcomes: collections.deque[tuple[messages.TaskId, bool]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=OUTCOMES_COUNT)
        )
    )
    by_team: dict[str, _Tally] = dataclasses.field(default_factory=dict)
    until_ms: int | None = None
    on_probation: bool = False
    quarantine_ms: int = FIRST_QUARANTINE_MS


@dataclasses.dataclass(slots=True)
class _TaskRecord:
    """On which workers a task failed, and whether it ever succeeded."""

    failed_on: set[messages.WorkerId] = dataclasses.field(default_factory=set)
    succeeded: bool = False

    def is_at_fault(self) -> bool:
        return len(self.failed_on) > 1 and not self.succeeded


class WorkerHealth:
    """Quarantines workers by comparison with their peers.

    A worker's failures are compared with those of the same teams on other
    workers. A failure of a task that failed on several workers and succeeded
    on none is the task's. A quarantine ends in probation: the worker gets
    tasks again, a few failures bring it back for twice as long, a few
    successes clear it.

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
        """Note how a task ended on a worker."""
        record = self._workers.setdefault(worker_id, _Record())
        self._note_task(worker_id, task_id, ok)
        self._note_outcome(record, task_id, ok)
        if record.until_ms is not None and now_ms < record.until_ms:
            return
        if record.on_probation:
            self._judge_probation(record, now_ms)
        elif not ok and self._is_far_worse(record):
            self._quarantine(record, now_ms)

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Drop what is known of a worker that is gone or was repaired."""
        record = self._workers.pop(worker_id, None)
        if record is not None:
            self._clear(record)

    def quarantined(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that must get nothing new at this time."""
        return frozenset(
            worker_id
            for worker_id, record in self._workers.items()
            if record.until_ms is not None and now_ms < record.until_ms
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

    def _blamed(self, record: _Record) -> list[bool]:
        """Return outcomes that say something on the worker; True is ok."""
        found = []
        for task_id, ok in record.outcomes:
            task = self._tasks.get(task_id)
            if not ok and task is not None and task.is_at_fault():
                continue
            found.append(ok)
        return found

    def _is_far_worse(self, record: _Record) -> bool:
        expected = 0.0
        count = 0
        failures_count = 0
        for task_id, ok in record.outcomes:
            task = self._tasks.get(task_id)
            if not ok and task is not None and task.is_at_fault():
                continue
            rate = self._peers_rate(record, self._team_of(task_id))
            if rate is None:
                continue
            expected += rate
            count += 1
            failures_count += not ok
        if failures_count < FAILURES_COUNT_MIN:
            return False
        return _tail(failures_count, count, expected / count) < CHANCE_MAX

    def _peers_rate(self, record: _Record, team: str) -> float | None:
        """Return how often the team's tasks fail on other workers."""
        own = record.by_team[team]
        everywhere = self._teams[team]
        failed_count = everywhere.failed_count - own.failed_count
        count = everywhere.ok_count - own.ok_count + failed_count
        if count < PEERS_OUTCOMES_MIN:
            return None
        return max(PEERS_RATE_MIN, failed_count / count)

    def _judge_probation(self, record: _Record, now_ms: int) -> None:
        outcomes = self._blamed(record)
        if outcomes.count(False) >= PROBATION_FAILURES_MAX:
            self._quarantine(record, now_ms)
        elif outcomes.count(True) >= PROBATION_SUCCESSES_COUNT:
            record.on_probation = False
            record.quarantine_ms = FIRST_QUARANTINE_MS

    def _quarantine(self, record: _Record, now_ms: int) -> None:
        count = len(self.quarantined(now_ms)) + 1
        if count > max(1, len(self._workers) * QUARANTINED_PORTION_MAX):
            return
        record.until_ms = now_ms + record.quarantine_ms
        record.quarantine_ms = min(
            2 * record.quarantine_ms, LONGEST_QUARANTINE_MS
        )
        record.on_probation = True
        self._clear(record)


def _tail(failures_count: int, count: int, rate: float) -> float:
    """Return the chance of at least so many failures at this rate."""
    rate = min(rate, 1.0)
    return sum(
        math.comb(count, failed)
        * rate**failed
        * (1 - rate) ** (count - failed)
        for failed in range(failures_count, count + 1)
    )
