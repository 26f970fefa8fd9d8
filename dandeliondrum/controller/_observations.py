"""What a leader learns from the ends of attempts.

All of it is soft: a new leader starts to learn anew, and until then takes
what was declared.
"""

import dataclasses

from returns import result

from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import placement

_RAN_TO_ITS_END = frozenset(
    (messages.AttemptState.FINISHED, messages.AttemptState.FAILED)
)


class Observations:
    """Sizes, run times, bad workers and the budget for retries.

    The owner's lock protects it.
    """

    def __init__(self) -> None:
        self._health = placement.WorkerHealth()
        self._sizes = placement.SizeLearner()
        self._retries = placement.RetryBudget()

    def take(self, ended: _records.EndedAttempt, now_ms: int) -> None:
        """Learn from an attempt that has ended."""
        spec = ended.task.spec
        report = ended.report
        if report.state not in _RAN_TO_ITS_END:
            return
        is_ok = report.state is messages.AttemptState.FINISHED
        self._health.record(ended.worker_id, spec.task_id, is_ok, now_ms)
        if is_ok:
            self._sizes.record(
                spec.team_id,
                spec.queue,
                _used(spec, report.peak_resources),
                report.run_ms,
            )

    def started(self, team_id: messages.TeamId) -> None:
        """Count a start; retries are allowed as a part of these."""
        self._retries.record_start(team_id)

    def retry_delay_ms(self, task: _records.TaskRecord) -> int | None:
        """Return after which pause a failed task may be tried again."""
        decided = self._retries.decide(
            task.spec.team_id,
            task.failures_count + 1,
            frozenset(task.failed_workers),
        )
        if isinstance(decided, result.Failure):
            return None
        return decided.unwrap().delay_ms

    def quarantined(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that get nothing new at this time."""
        return self._health.quarantined(now_ms)

    def forget(self, worker_id: messages.WorkerId) -> None:
        """Give a worker that has started anew a clean sheet."""
        self._health.forget(worker_id)

    def set_worker_sizes(self, sizes: list[messages.Resources]) -> None:
        """Take what workers have; nothing is taken to need more."""
        self._sizes.set_worker_sizes(sizes)

    def sized(self, spec: messages.TaskSpec) -> messages.TaskSpec:
        """Return the task with the memory that its kind was seen to use.

        A task is never given less than it declared, since its worker may
        hold it to that. Processors are given as declared: a task that wants
        more is throttled, which harms nobody else.
        """
        estimate = self._sizes.estimate(
            spec.team_id, spec.queue, spec.resources
        )
        declared = spec.resources
        memory_mb = max(declared.memory_mb, estimate.resources.memory_mb)
        resources = dataclasses.replace(declared, memory_mb=memory_mb)
        return dataclasses.replace(spec, resources=resources)

    def run_ms(self, spec: messages.TaskSpec) -> int:
        """Return how long such tasks run; 0 while it is not known.

        What was declared is often far off, and refusing for it would turn
        away work that could be done.
        """
        estimate = self._sizes.estimate(
            spec.team_id, spec.queue, spec.resources
        )
        return estimate.run_ms or 0


def _used(
    spec: messages.TaskSpec, peak: messages.Resources | None
) -> messages.Resources:
    """Return what a report says that a task used.

    A peak that equals the grant may be the grant itself, reported by a
    worker that measures nothing or holds the task to it. With the margin of
    an estimate on top, grants would climb with every run, so the margin is
    taken off first.
    """
    granted = spec.resources
    if peak is None or peak.memory_mb == granted.memory_mb:
        memory_mb = int(granted.memory_mb / placement.MEMORY_MARGIN)
        return dataclasses.replace(granted, memory_mb=memory_mb)
    return peak
