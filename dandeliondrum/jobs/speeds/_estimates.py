"""Estimation of the speeds of a pool's workers from samples.

A sample is the logarithm of how much faster one step ran on one worker than
its caller estimated. It is the sum of the worker's speed and of the error of
the estimate, which all tasks of a step share. Both are separated by
alternating between them, as in a two-way model with random effects.
"""

import collections.abc
import dataclasses
import math
import statistics

from dandeliondrum.jobs import _specs
from dandeliondrum import messages

StepKey = tuple[_specs.JobId, int]

# The weight of a sample halves each time it is older by this.
HALF_LIFE_MS = 30_000
# Number of samples that counts as much as the assumption that an estimate is
# right, or that a worker has the median speed. Estimates vary by a fifth to
# two fifths, about as much as the samples of one worker.
PRIOR_COUNT = 0.5
# A sample that differs from the worker's speed by more than this factor says
# more about a stall than about the estimate of its step.
ESTIMATE_ERROR_MAX = 2.5
# Each iteration takes away at least a tenth of the error; speeds are kept
# from one refresh to the next, so few are sufficient.
ITERATIONS = 4

_LOG_ERROR_MAX = math.log(ESTIMATE_ERROR_MAX)


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Logarithm of the rate of one step on one worker, and its age."""

    step: StepKey
    log_rate: float
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The speed of a worker, where 1.0 is the median of its pool.

    Four fifths of the samples by weight are at least ``low``, and four
    fifths at most ``high``. ``samples_count`` is the number of different
    steps, and ``age_ms`` the age of the newest sample.
    """

    speed: float
    low: float
    high: float
    samples_count: int
    age_ms: int


Samples = collections.abc.Mapping[
    messages.WorkerId, collections.abc.Sequence[Sample]
]
_Weighted = collections.abc.Mapping[
    messages.WorkerId, list[tuple[int, float, float]]
]
_Speeds = collections.abc.Mapping[messages.WorkerId, float]


def estimate(
    samples: Samples,
    before: collections.abc.Mapping[messages.WorkerId, float],
    trusted_count: int,
) -> tuple[dict[messages.WorkerId, Estimate], float]:
    """Return the estimate of each worker with samples, and the pool's rate.

    ``before`` holds earlier speeds, from which the iteration starts. The
    median is taken over the workers with at least ``trusted_count`` samples.
    The rate is the median speed relative to the callers' estimates.
    """
    if not samples:
        return {}, 1.0
    level = statistics.median(
        sample.log_rate for found in samples.values() for sample in found
    )
    numbers: dict[StepKey, int] = {}
    weighted = {
        worker_id: [
            (
                numbers.setdefault(one.step, len(numbers)),
                one.log_rate - level,
                2 ** (-one.age_ms / HALF_LIFE_MS),
            )
            for one in found
        ]
        for worker_id, found in samples.items()
    }
    speeds = {
        worker_id: math.log(before.get(worker_id, 1.0))
        for worker_id in samples
    }
    errors = [0.0] * len(numbers)
    for _ in range(ITERATIONS):
        errors = _step_errors(weighted, speeds, len(numbers))
        speeds = _worker_speeds(weighted, speeds, errors)
    corrected = {
        worker_id: sorted(
            (value - errors[step], weight) for step, value, weight in found
        )
        for worker_id, found in weighted.items()
    }
    medians = {
        worker_id: _quantile(values, 0.5)
        for worker_id, values in corrected.items()
    }
    trusted = [
        medians[worker_id]
        for worker_id, found in samples.items()
        if len(found) >= trusted_count
    ]
    median = statistics.median(trusted or medians.values())
    estimates = {
        worker_id: Estimate(
            math.exp(medians[worker_id] - median),
            math.exp(_quantile(values, 0.2) - median),
            math.exp(_quantile(values, 0.8) - median),
            len(values),
            min(one.age_ms for one in samples[worker_id]),
        )
        for worker_id, values in corrected.items()
    }
    return estimates, math.exp(level + median)


def _step_errors(
    weighted: _Weighted, speeds: _Speeds, steps_count: int
) -> list[float]:
    """Return the logarithm of the error of each step's estimate."""
    sums = [0.0] * steps_count
    weights = [PRIOR_COUNT] * steps_count
    for worker_id, found in weighted.items():
        speed = speeds[worker_id]
        for step, value, weight in found:
            sums[step] += weight * _limit(value - speed)
            weights[step] += weight
    return [
        total / weight for total, weight in zip(sums, weights, strict=True)
    ]


def _worker_speeds(
    weighted: _Weighted, before: _Speeds, errors: list[float]
) -> dict[messages.WorkerId, float]:
    """Return the logarithm of the speed of each worker."""
    speeds = {}
    for worker_id, found in weighted.items():
        speed = before[worker_id]
        total, weights = 0.0, PRIOR_COUNT
        for step, value, weight in found:
            total += weight * (speed + _limit(value - errors[step] - speed))
            weights += weight
        speeds[worker_id] = total / weights
    return speeds


def _limit(rest: float) -> float:
    if rest > _LOG_ERROR_MAX:
        return _LOG_ERROR_MAX
    return rest if rest > -_LOG_ERROR_MAX else -_LOG_ERROR_MAX


def _quantile(
    values: collections.abc.Sequence[tuple[float, float]], part: float
) -> float:
    """Return the weighted quantile of sorted pairs of value and weight."""
    left = part * sum(weight for _, weight in values)
    for value, weight in values:
        left -= weight
        if left <= 0:
            return value
    return values[-1][0]
