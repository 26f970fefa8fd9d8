"""Estimates that a leader derives from ended attempts.

They are kept in memory only: a new leader starts without them and uses the
declared values until it has estimates of its own.
"""

import dataclasses

from returns import result

from dandeliondrum.controller import _records
from dandeliondrum import messages
from dandeliondrum import placement

# A service that has run for this long has worked on its worker.
SERVICE_AT_WORK_MS = 10_000

_COMPLETED_STATES = frozenset(
    (messages.AttemptState.FINISHED, messages.AttemptState.FAILED)
)


class Observations:
    """Resource and run time estimates, worker health and retry budget.

    Not thread-safe; the owner's lock protects it, and that of the replicated
    state the retry budget.
    """

    def __init__(self) -> None:
        self._health = placement.WorkerHealth()
        self._sizes = placement.UsageEstimator()
        self._retries = placement.RetryBudget()

    def record_end(self, ended: _records.EndedAttempt, now_ms: int) -> None:
        """Update the estimates from an attempt that has ended."""
        spec = ended.task.spec
        report = ended.report
        if report.state not in _COMPLETED_STATES:
            return
        succeeded = report.state is messages.AttemptState.FINISHED
        if not ended.is_former and not _was_at_work(ended):
            self._health.record(
                ended.worker_id, spec.task_id, succeeded, now_ms
            )
        if succeeded:
            self._sizes.record(
                spec.team_id,
                spec.queue,
                _used_resources(spec, report.peak_resources),
                report.run_ms,
            )

    def record_start(self, team_id: messages.TeamId) -> None:
        """Count a start; the retry budget is a fraction of a team's starts."""
        self._retries.record_start(team_id)

    def retry_delay_ms(self, task: _records.TaskRecord) -> int | None:
        """Return the delay in ms before a retry; None if none is allowed."""
        decision = self._retries.decide(
            task.spec.team_id,
            task.failures_count + 1,
            frozenset(task.failed_workers),
        )
        if isinstance(decision, result.Failure):
            return None
        return decision.unwrap().delay_ms

    def quarantined(self, now_ms: int) -> frozenset[messages.WorkerId]:
        """Return the workers that get no new tasks at this time."""
        return self._health.quarantined(now_ms)

    def forget_worker(self, worker_id: messages.WorkerId) -> None:
        """Discard the failures recorded for a worker that has restarted."""
        self._health.forget(worker_id)

    def set_worker_sizes(self, sizes: list[messages.Resources]) -> None:
        """Set the worker sizes, which are the upper bound of estimates."""
        self._sizes.set_worker_sizes(sizes)

    def with_estimated_memory(
        self, spec: messages.TaskSpec
    ) -> messages.TaskSpec:
        """Return the task with the memory that similar tasks have used.

        A task never gets less memory than it declared, since its worker may
        limit it to the reserved amount. Processor time stays as declared: a
        task that needs more is throttled, which affects no other task.
        """
        estimate = self._sizes.estimate(
            spec.team_id, spec.queue, spec.resources
        )
        declared = spec.resources
        memory_mb = max(declared.memory_mb, estimate.resources.memory_mb)
        resources = dataclasses.replace(declared, memory_mb=memory_mb)
        return dataclasses.replace(spec, resources=resources)

    def estimated_run_ms(self, spec: messages.TaskSpec) -> int:
        """Return the estimated run time in ms; 0 if it is not known.

        The declared run time is not used: it is often far off, and refusing
        a task because of it would turn away work that could be done.
        """
        estimate = self._sizes.estimate(
            spec.team_id, spec.queue, spec.resources
        )
        return estimate.run_ms or 0


def _was_at_work(ended: _records.EndedAttempt) -> bool:
    """Return whether a service failed that had run for a while.

    It may fail at any time, and never ends as finished on a sound worker.
    """
    return (
        ended.task.spec.task_class is messages.TaskClass.SERVICE
        and ended.report.state is messages.AttemptState.FAILED
        and ended.report.run_ms >= SERVICE_AT_WORK_MS
    )


def _used_resources(
    spec: messages.TaskSpec, peak: messages.Resources | None
) -> messages.Resources:
    """Return the resources that a task used according to its report.

    A peak that equals the granted memory may not be a measurement: a worker
    that measures nothing, or limits the task to the grant, reports the grant
    itself. An estimate adds a margin to the peak, so that grants would grow
    with every run; the margin is therefore removed here.
    """
    granted = spec.resources
    if peak is None or peak.memory_mb == granted.memory_mb:
        memory_mb = int(granted.memory_mb / placement.MEMORY_MARGIN)
        return dataclasses.replace(granted, memory_mb=memory_mb)
    return peak
