"""Value of a job to its callers, relative to other jobs of its queue."""

import collections
import collections.abc

from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# The value of a job has a fixed part and one that grows with its work. Both
# add up to 1 for a job with the mean work of its queue.
VALUE_BASE = 0.3
VALUE_PER_MEAN_WORK = 0.7
VALUE_MAX = 4.0


def work_core_ms(
    steps: collections.abc.Iterable[_specs.StepSpec],
    tasks_counts: collections.abc.Iterable[int],
) -> float:
    """Return the work of this many tasks of each step, in ms of a core.

    Endless steps don't count, since nobody waits for their end.
    """
    return sum(
        count * step.expected_run_ms * step.resources.cpu_millicores / 1000
        for step, count in zip(steps, tasks_counts, strict=True)
        if not step.endless
    )


class KindMeans:
    """Mean work of the jobs of each queue that this leader has seen."""

    def __init__(self) -> None:
        self._totals: dict[messages.QueueName, float] = {}
        self._counts: collections.Counter[messages.QueueName] = (
            collections.Counter()
        )

    def record(self, job: _specs.JobSpec) -> None:
        """Record the work of one more job."""
        total = self._totals.get(job.queue, 0.0)
        self._totals[job.queue] = total + _job_core_ms(job)
        self._counts[job.queue] += 1

    def value(self, job: _specs.JobSpec) -> float:
        """Return the value of a job; that of an average one is 1.

        Example: with a mean work of 10 s, a job of 20 s has 1.7.
        """
        mean = self._totals.get(job.queue, 0.0) / (
            self._counts[job.queue] or 1
        )
        ratio = _job_core_ms(job) / mean if mean else 1.0
        return min(VALUE_MAX, VALUE_BASE + VALUE_PER_MEAN_WORK * ratio)


def _job_core_ms(job: _specs.JobSpec) -> float:
    return work_core_ms(job.steps, (step.tasks_count for step in job.steps))
