"""Urgency classes of jobs, by their latency objectives."""

import enum

# A job that ends later than this many times its objective is of no more use.
USEFUL_OBJECTIVES_MAX = 3


class Urgency(enum.IntEnum):
    """Best outcome that a job can reach if a step of it starts now."""

    IN_TIME = 0
    LATE = 1
    NO_USE = 2


def urgency_at(
    now_ms: int, latest_start_ms: int, objective_ms: int | None
) -> Urgency:
    """Return the class of a step that has to start by ``latest_start_ms``.

    A job without an objective can't be late.
    """
    if objective_ms is None or now_ms <= latest_start_ms:
        return Urgency.IN_TIME
    latest_useful_ms = latest_start_ms + int(
        (USEFUL_OBJECTIVES_MAX - 1) * objective_ms
    )
    return Urgency.LATE if now_ms <= latest_useful_ms else Urgency.NO_USE
