"""Estimates of resource usage and run time, by team and queue."""

import collections
import collections.abc
import dataclasses

from dandeliondrum import messages

# Reports kept for each queue of a team.
SAMPLES_COUNT = 64
# The declared size is used until this many tasks have reported.
SAMPLES_COUNT_MIN = 8
QUEUES_COUNT_MAX = 10_000

# CPU use can be throttled, memory use can't, so memory is sized for nearly
# all tasks. The margins let an estimate grow when tasks were limited to the
# amounts they had been given.
CPU_QUANTILE = 0.75
MEMORY_QUANTILE = 0.95
RUN_QUANTILE = 0.75
CPU_MARGIN = 1.15
MEMORY_MARGIN = 1.2

# Estimates are rounded up to these steps, so that tasks of similar size get
# equal resources and can be handled together.
CPU_STEP_MILLICORES = 50
MEMORY_STEP_MB = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The expected usage of a task; ``run_ms`` is None if unknown."""

    resources: messages.Resources
    run_ms: int | None
    samples_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    used: messages.Resources
    run_ms: int


_Key = tuple[messages.TeamId, messages.QueueName]


class UsageEstimator:
    """Estimates resource usage and run times by quantiles of reports.

    The quantiles are taken over the last reports of a queue of a team. The
    largest value is never used, so that one outlier doesn't change the
    estimate. Accelerators are not estimated but granted as declared.

    Example::

        estimator = UsageEstimator()
        estimator.set_worker_sizes([facts.resources])
        estimator.record(team_id, queue, report.peak_resources, report.run_ms)
        estimate = estimator.estimate(team_id, queue, spec.resources)
    """

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[
            _Key, collections.deque[_Sample]
        ] = collections.OrderedDict()
        self._cached_usage: dict[_Key, tuple[messages.Resources, int]] = {}
        self._sizes: list[messages.Resources] = []

    def set_worker_sizes(
        self, sizes: collections.abc.Iterable[messages.Resources]
    ) -> None:
        """Set the sizes of the workers, which limit the estimates."""
        self._sizes = sorted(
            set(sizes),
            key=lambda size: (
                size.accelerators_count,
                size.memory_mb,
                size.cpu_millicores,
            ),
        )

    def record(
        self,
        team_id: messages.TeamId,
        queue: messages.QueueName,
        used: messages.Resources,
        run_ms: int,
    ) -> None:
        """Record the usage of a finished task; ``run_ms`` is its run time."""
        key = team_id, queue
        samples = self._samples.get(key)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLES_COUNT)
            self._samples[key] = samples
        samples.append(_Sample(used, run_ms))
        self._samples.move_to_end(key)
        self._cached_usage.pop(key, None)
        if len(self._samples) > QUEUES_COUNT_MAX:
            oldest, _ = self._samples.popitem(last=False)
            self._cached_usage.pop(oldest, None)

    def estimate(
        self,
        team_id: messages.TeamId,
        queue: messages.QueueName,
        declared: messages.Resources,
    ) -> Estimate:
        """Return the expected usage of a task.

        That is the declared size while there are too few reports. If no
        worker can hold the estimate, it is reduced to the largest worker
        that can hold the declared size. If there is none, the declared size
        is returned, so that the task can be refused.
        """
        key = team_id, queue
        samples = self._samples.get(key, ())
        if len(samples) < SAMPLES_COUNT_MIN:
            return Estimate(declared, None, len(samples))
        usage = self._cached_usage.get(key)
        if usage is None:
            usage = _estimate_usage(samples)
            self._cached_usage[key] = usage
        resources, run_ms = usage
        estimated = dataclasses.replace(
            resources, accelerators_count=declared.accelerators_count
        )
        return Estimate(
            self._cap_to_worker_size(estimated, declared),
            run_ms,
            len(samples),
        )

    def _cap_to_worker_size(
        self, estimated: messages.Resources, declared: messages.Resources
    ) -> messages.Resources:
        if not self._sizes or any(estimated.fits_in(s) for s in self._sizes):
            return estimated
        fitting = [size for size in self._sizes if declared.fits_in(size)]
        if not fitting:
            return declared
        largest = fitting[-1]
        return messages.Resources(
            min(estimated.cpu_millicores, largest.cpu_millicores),
            min(estimated.memory_mb, largest.memory_mb),
            estimated.accelerators_count,
        )


def _estimate_usage(
    samples: collections.abc.Iterable[_Sample],
) -> tuple[messages.Resources, int]:
    reports = list(samples)
    cpu = _quantile([one.used.cpu_millicores for one in reports], CPU_QUANTILE)
    memory = _quantile(
        [one.used.memory_mb for one in reports], MEMORY_QUANTILE
    )
    run_ms = _quantile([one.run_ms for one in reports], RUN_QUANTILE)
    resources = messages.Resources(
        _round_up(cpu * CPU_MARGIN, CPU_STEP_MILLICORES),
        _round_up(memory * MEMORY_MARGIN, MEMORY_STEP_MB),
    )
    return resources, run_ms


def _quantile(values: list[int], quantile: float) -> int:
    """Return a quantile of the values, but never the largest one."""
    values.sort()
    position = min(int(len(values) * quantile), len(values) - 2)
    return values[position]


def _round_up(amount: float, step: int) -> int:
    return max(1, -int(-amount // step)) * step
