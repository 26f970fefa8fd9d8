"""What tasks really use, learned by team and queue."""

import collections
import collections.abc
import dataclasses

from dandeliondrum import messages

SAMPLES_COUNT = 64
# Declared sizes hold until so many tasks have reported.
SAMPLES_COUNT_MIN = 8
QUEUES_COUNT_MAX = 10_000

# Processors can be throttled, memory can't, so memory is sized for nearly
# all tasks. The margins let an estimate climb where tasks were held down to
# what they had been given.
CPU_QUANTILE = 0.75
MEMORY_QUANTILE = 0.95
RUN_QUANTILE = 0.75
CPU_MARGIN = 1.15
MEMORY_MARGIN = 1.2

# Estimates are rounded up to these steps, so that tasks stay alike.
CPU_STEP_MILLICORES = 50
MEMORY_STEP_MB = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a task is expected to use; ``run_ms`` is None if not known."""

    resources: messages.Resources
    run_ms: int | None
    samples_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    used: messages.Resources
    run_ms: int


_Key = tuple[messages.TeamId, messages.QueueName]


class SizeLearner:
    """Learns sizes and run times from reports, by robust quantiles.

    The quantiles are taken over the last reports of a team's queue, never
    over the largest one, so that one wild report doesn't move an estimate.
    Accelerators are granted as declared.

    Example::

        learner = SizeLearner()
        learner.set_worker_sizes([facts.resources])
        learner.record(team_id, queue, report.peak_resources, report.run_ms)
        estimate = learner.estimate(team_id, queue, spec.resources)
    """

    def __init__(self) -> None:
        self._samples: collections.OrderedDict[
            _Key, collections.deque[_Sample]
        ] = collections.OrderedDict()
        self._learned: dict[_Key, tuple[messages.Resources, int]] = {}
        self._sizes: list[messages.Resources] = []

    def set_worker_sizes(
        self, sizes: collections.abc.Iterable[messages.Resources]
    ) -> None:
        """Set what the workers have; no estimate will be above it."""
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
        """Take the report of a task that has finished."""
        key = team_id, queue
        samples = self._samples.get(key)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLES_COUNT)
            self._samples[key] = samples
        samples.append(_Sample(used, run_ms))
        self._samples.move_to_end(key)
        self._learned.pop(key, None)
        if len(self._samples) > QUEUES_COUNT_MAX:
            oldest, _ = self._samples.popitem(last=False)
            self._learned.pop(oldest, None)

    def estimate(
        self,
        team_id: messages.TeamId,
        queue: messages.QueueName,
        declared: messages.Resources,
    ) -> Estimate:
        """Return what a task will use, as declared while little is known.

        A declared size that fits a worker stays within the largest worker
        that it fits; one that fits none is returned as declared, so that it
        can be refused.
        """
        key = team_id, queue
        samples = self._samples.get(key, ())
        if len(samples) < SAMPLES_COUNT_MIN:
            return Estimate(declared, None, len(samples))
        learned = self._learned.get(key)
        if learned is None:
            learned = _learn(samples)
            self._learned[key] = learned
        resources, run_ms = learned
        wanted = dataclasses.replace(
            resources, accelerators_count=declared.accelerators_count
        )
        return Estimate(self._within(wanted, declared), run_ms, len(samples))

    def _within(
        self, wanted: messages.Resources, declared: messages.Resources
    ) -> messages.Resources:
        if not self._sizes or any(wanted.fits_in(s) for s in self._sizes):
            return wanted
        fitting = [size for size in self._sizes if declared.fits_in(size)]
        if not fitting:
            return declared
        largest = fitting[-1]
        return messages.Resources(
            min(wanted.cpu_millicores, largest.cpu_millicores),
            min(wanted.memory_mb, largest.memory_mb),
            wanted.accelerators_count,
        )


def _learn(
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
    """Return a quantile, never the largest value."""
    values.sort()
    position = min(int(len(values) * quantile), len(values) - 2)
    return values[position]


def _round_up(amount: float, step: int) -> int:
    return max(1, -int(-amount // step)) * step
