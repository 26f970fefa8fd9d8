"""The scheduling order of due steps."""

import typing

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.queueing import _urgency

_SortKey = tuple[_urgency.Urgency, int, float, int, str]


class Demand(typing.Protocol):
    """What the order depends on; see ``_planner.Demand``."""

    job_id: _specs.JobId
    step: _specs.StepIndex
    priority: int
    submitted_ms: int
    latest_start_ms: int
    urgency: _urgency.Urgency
    left_core_ms: float
    value: float
    crashes_count: int


def sort_key(demand: Demand) -> _SortKey:
    """Return the sort key of a demand.

    Demands that can still meet their objective come first, then those that
    are late but of use. If more work arrives than fits, others would otherwise
    become late behind demands that are late already, or of no more use at
    all. Then the priority of the queue decides, then the time that is left,
    and then age. Late demands of one priority are all worth the same part of
    their value until they are of no use, so the ones with the least work left
    per value come first: it makes the most of the capacity. A suspect of a
    single crash is most likely not to blame and does not lose its place,
    since it waits for an empty worker.
    """
    urgency = demand.urgency
    if demand.crashes_count == 1:
        urgency = _urgency.Urgency.IN_TIME
    return (
        urgency,
        demand.priority,
        demand.left_core_ms / demand.value
        if urgency is _urgency.Urgency.LATE
        else demand.latest_start_ms,
        demand.submitted_ms,
        demand.job_id,
    )
