"""Standing of a demand in the scheduling order under contention."""

import dataclasses
import enum
import functools


class Cause(enum.Enum):
    """Rule that decided the position of a demand."""

    ORDER = 'by priority and time left'
    LATE = 'its objective can not be met any more'
    NO_USE = 'it is of no more use to its caller'
    OTHERS_CAN_WAIT = 'it is late and more urgent than what can wait for it'
    SHARE = 'its team uses more than its share'
    DEFERRED = 'more can be in time if this one waits'
    OVERDUE = 'it has waited longest'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """Place among the demands that can be in time, in scheduling order."""

    is_deferred: bool
    priority: int
    share_band: int
    latest_start_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Position of a demand relative to others that are equally urgent.

    An ``is_overdue`` demand goes before all others. An ``is_deferred`` one
    goes behind those that can be in time. ``share_band`` is higher for teams
    that use more than their share; it is 0 up to the share, 1 up to twice the
    share, 2 up to four times, and so on. One with ``before`` goes right
    before the demand that has this place among those that can be in time; of
    several such demands the one with the least ``turn`` is the first.
    """

    is_overdue: bool = False
    is_deferred: bool = False
    share_band: int = 0
    before: 'Place | None' = None
    turn: int = 0


NEUTRAL = Standing()


@functools.cache
def deferred(share_band: int) -> Standing:
    """Return the standing of a deferred demand.

    Hundreds of demands may be deferred in a round, and they have few bands.
    """
    return Standing(is_deferred=True, share_band=share_band)


@functools.cache
def banded(share_band: int) -> Standing:
    """Return the standing of a demand of a team above its share."""
    return Standing(share_band=share_band)
