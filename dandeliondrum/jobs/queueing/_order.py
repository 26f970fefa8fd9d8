"""The scheduling order of due steps."""

import collections
import collections.abc
import dataclasses
import typing

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.queueing import _contention
from dandeliondrum.jobs.queueing import _deferral
from dandeliondrum.jobs.queueing import _late_work
from dandeliondrum.jobs.queueing import _shares
from dandeliondrum.jobs.queueing import _standing
from dandeliondrum.jobs.queueing import _urgency

# Under contention, a step that has waited this long may go first. It is more
# than three times the objective of jobs of up to half a minute, so what can
# still be of use has had its turn before.
WAIT_MAX_MS = 120_000

_SortKey = tuple[
    bool, _urgency.Urgency, bool, int, int, float, int, _specs.JobId
]


class Demand(_shares.Demand, _deferral.Demand, typing.Protocol):
    """Fields that the order reads; see ``_planner.Demand``."""

    job_id: _specs.JobId
    step: _specs.StepIndex
    submitted_ms: int
    waited_ms: int
    urgency: _urgency.Urgency
    crashes_count: int


_AnyDemand = typing.TypeVar('_AnyDemand', bound=Demand)


def urgency_of(demand: Demand) -> _urgency.Urgency:
    """Return the urgency class by which a demand is sorted.

    A suspect of a single crash is most likely not to blame and does not lose
    its place, since it waits for an empty worker.
    """
    if demand.crashes_count == 1:
        return _urgency.Urgency.IN_TIME
    return demand.urgency


def sort_key(demand: Demand) -> _SortKey:
    """Return the sort key of a demand.

    Demands that can still meet their objective come first, then those that
    are late but of use. If more work arrives than fits, others would otherwise
    become late behind demands that are late already, or of no more use at
    all. Then the priority of the queue decides, then the time that is left,
    and then age. Late demands of one priority are all worth the same part of
    their value until they are of no use, so the ones with the least work left
    per value come first: it makes the most of the capacity. What ``order``
    has found about a demand counts between these.
    """
    urgency = urgency_of(demand)
    standing = demand.standing
    if standing.before is not None and not standing.is_overdue:
        place = standing.before
        return (
            True,
            _urgency.Urgency.IN_TIME,
            place.is_deferred,
            place.priority,
            place.share_band,
            place.latest_start_ms,
            standing.turn,
            demand.job_id,
        )
    return (
        not standing.is_overdue,
        urgency,
        standing.is_deferred,
        demand.priority,
        standing.share_band,
        demand.left_core_ms / demand.value
        if urgency is _urgency.Urgency.LATE
        else demand.latest_start_ms,
        demand.submitted_ms,
        demand.job_id,
    )


def order(
    demands: collections.abc.Iterable[_AnyDemand],
    contention: _contention.Contention,
    now_ms: int,
) -> list[_AnyDemand]:
    """Set the standing of each demand and return them in scheduling order.

    Standings differ only in pools under contention.
    """
    demands = list(demands)
    for demand in demands:
        demand.standing = _standing.NEUTRAL
    demands.sort(key=sort_key)
    by_pool = collections.defaultdict(list)
    if contention.pools:
        for demand in demands:
            if demand.pool in contention.pools:
                by_pool[demand.pool].append(demand)
    for pool, contending in by_pool.items():
        if contention.weighs_teams():
            _set_share_bands(pool, contending, contention)
        _set_deferred(pool, contending, contention, now_ms)
        _set_before(pool, contending, contention, now_ms)
        _set_overdue(contending)
    if any(demand.standing is not _standing.NEUTRAL for demand in demands):
        demands.sort(key=sort_key)
    return demands


def cause_of(demand: Demand) -> _standing.Cause:
    """Return what decided the position of a demand, for logs and counters."""
    standing, urgency = demand.standing, demand.urgency
    if standing.is_overdue:
        return _standing.Cause.OVERDUE
    if urgency is _urgency.Urgency.NO_USE:
        return _standing.Cause.NO_USE
    if standing.before is not None:
        return _standing.Cause.OTHERS_CAN_WAIT
    if urgency is _urgency.Urgency.LATE:
        return _standing.Cause.LATE
    if standing.is_deferred:
        return _standing.Cause.DEFERRED
    if standing.share_band:
        return _standing.Cause.SHARE
    return _standing.Cause.ORDER


def _set_share_bands(
    pool: str,
    demands: list[_AnyDemand],
    contention: _contention.Contention,
) -> None:
    bands = _shares.ShareBands(
        contention.pools[pool].capacity,
        contention.running.get(pool, _contention.Running()),
        contention.weights,
        demands,
    )
    if not bands.any():
        return
    for demand in demands:
        band = bands.take(demand)
        if band:
            demand.standing = _standing.banded(band)


def _set_deferred(
    pool: str,
    demands: list[_AnyDemand],
    contention: _contention.Contention,
    now_ms: int,
) -> None:
    in_time = [
        demand
        for demand in demands
        if demand.urgency is _urgency.Urgency.IN_TIME
    ]
    in_time.sort(key=sort_key)
    for demand in _deferral.deferred(
        in_time,
        contention.pools[pool],
        contention.running.get(pool, _contention.Running()),
        now_ms,
    ):
        demand.standing = _standing.deferred(demand.standing.share_band)


def _set_before(
    pool: str,
    demands: list[_AnyDemand],
    contention: _contention.Contention,
    now_ms: int,
) -> None:
    """Let late demands go before less urgent ones that can wait for them."""
    in_time, late = (
        sorted(
            (demand for demand in demands if urgency_of(demand) is urgency),
            key=sort_key,
        )
        for urgency in (_urgency.Urgency.IN_TIME, _urgency.Urgency.LATE)
    )
    late = [one for one in late if one.standing is _standing.NEUTRAL]
    last_priority = max((one.priority for one in in_time), default=0)
    if not late or late[0].priority >= last_priority:
        return
    found = _late_work.places(
        late,
        in_time,
        contention.pools[pool],
        contention.running.get(pool, _contention.Running()),
        now_ms,
    )
    for turn, (demand, behind) in enumerate(found, -len(found)):
        place = _standing.Place(
            behind.standing.is_deferred,
            behind.priority,
            behind.standing.share_band,
            behind.latest_start_ms,
        )
        demand.standing = _standing.Standing(before=place, turn=turn)


def _set_overdue(demands: list[_AnyDemand]) -> None:
    """Let the demand of the pool that has waited longest go first.

    One at a time: a backlog that is of no more use would otherwise keep all
    others from being in time.
    """
    oldest = max(demands, key=lambda demand: demand.waited_ms)
    if oldest.waited_ms >= WAIT_MAX_MS:
        oldest.standing = dataclasses.replace(oldest.standing, is_overdue=True)
