"""Log lines that explain why due steps are not placed."""

import structlog

from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import queueing
from dandeliondrum import messages

# Time before the first report about a waiting step, and between reports.
REPORT_INTERVAL_MS = 1_000
# Interval between batches of log lines, and the maximum number of lines in a
# batch; the oldest steps come first.
BATCH_INTERVAL_MS = 250
REPORTS_PER_BATCH_MAX = 5

_logger = structlog.get_logger()

_Key = tuple[_specs.JobId, _specs.StepIndex]


class WaitTracker:
    """Tracks since when each step waits.

    Not thread-safe: only the scheduler's thread uses it.
    """

    def __init__(self) -> None:
        self._since_ms: dict[_Key, int] = {}
        self._reported_ms: dict[_Key, int] = {}
        self._batch_ms = 0

    def waited_ms(
        self, job_id: _specs.JobId, step: _specs.StepIndex, now_ms: int
    ) -> int:
        """Return how long a step has waited, 0 if it is not tracked yet."""
        return now_ms - self._since_ms.get((job_id, step), now_ms)

    def report(
        self,
        waiting: list[_planner.Demand],
        workers: list[_planner.AvailableWorker],
        team_available: dict[messages.TeamId, messages.Resources],
        now_ms: int,
    ) -> None:
        """Update the waiting steps after a round and log the oldest ones."""
        keys = {(demand.job_id, demand.step): demand for demand in waiting}
        self._since_ms = {key: self._since_ms.get(key, now_ms) for key in keys}
        if now_ms - self._batch_ms < BATCH_INTERVAL_MS:
            return
        self._reported_ms = {
            key: value
            for key, value in self._reported_ms.items()
            if key in keys
        }
        due = [
            key
            for key, since_ms in self._since_ms.items()
            if now_ms - self._reported_ms.get(key, since_ms)
            >= REPORT_INTERVAL_MS
        ]
        due.sort(key=lambda key: self._since_ms[key])
        if due:
            self._batch_ms = now_ms
        for key in due[:REPORTS_PER_BATCH_MAX]:
            self._reported_ms[key] = now_ms
            demand = keys[key]
            wait_reason = _planner.wait_reason(demand, workers, team_available)
            _logger.info(
                'step waits',
                job=demand.job_id,
                step=demand.step,
                tasks_count=len(demand.indexes),
                waited_ms=now_ms - self._since_ms[key],
                why=wait_reason.value,
                late=demand.is_late,
                urgency=demand.urgency.name,
                position_cause=queueing.cause_of(demand).value,
                share_band=demand.standing.share_band,
                usable_workers_count=len(workers),
                with_capacity_count=_planner.workers_with_capacity_count(
                    demand, workers
                ),
                granted_count=(
                    None if demand.tickets is None else len(demand.tickets)
                ),
            )
