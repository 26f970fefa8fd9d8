"""Late work of urgent queues that goes before work that can wait for it.

Late work goes behind all that can be in time, since the latter is worth more.
Behind a backlog of less urgent work with seconds of slack, though, short
urgent work that has missed its objective by little would wait until it is of
no use at all. It goes first where, by the forecast, nothing becomes late for
it.
"""

import bisect
import collections.abc
import itertools
import math
import typing

from dandeliondrum.jobs.queueing import _contention
from dandeliondrum.jobs.queueing import _deferral

# What has to be left of the slack of the work that waits: rounds, and
# starts after them, come in steps of about this.
MARGIN_MS = 200
# Late work goes only before what needs so many times its work. With large late
# work before smaller one, more callers were late in trials.
SMALLER_FACTOR = 10

_AnyDemand = typing.TypeVar('_AnyDemand', bound=_deferral.Demand)


def places(
    late: collections.abc.Iterable[_AnyDemand],
    in_time: collections.abc.Sequence[_AnyDemand],
    room: _contention.PoolRoom,
    running: _contention.Running,
    now_ms: int,
) -> list[tuple[_AnyDemand, _AnyDemand]]:
    """Return late demands that go first, each with the one it goes before.

    Both ``late`` and ``in_time`` are in scheduling order. A late demand goes
    before less urgent ones only, and only if all that are behind it can wait
    for it and for those that were let in before.
    """
    forecast = _deferral.Forecast(room, running)
    slack_ms = _least_slack_ms(in_time, forecast, now_ms)
    found = []
    taken_ms = 0.0
    for demand in late:
        # So long the whole pool would be busy with it.
        work_ms = forecast.part(demand) * demand.spec.expected_run_ms
        needed_ms = taken_ms + work_ms + MARGIN_MS
        position = bisect.bisect_left(slack_ms, needed_ms)
        behind = next(
            (
                one
                for one in in_time[position:]
                if one.priority > demand.priority
                and one.left_core_ms >= SMALLER_FACTOR * demand.left_core_ms
            ),
            None,
        )
        if behind is not None:
            found.append((demand, behind))
            taken_ms += work_ms
    return found


def _least_slack_ms(
    demands: collections.abc.Sequence[_AnyDemand],
    forecast: _deferral.Forecast,
    now_ms: int,
) -> list[float]:
    """Return the least slack of each demand and those behind it.

    What is deferred, or late by the forecast, is not kept from being in time
    by anything that goes before it.
    """
    slack_ms = []
    for demand in demands:
        start_ms, _ = forecast.place(demand)
        left_ms = demand.latest_start_ms - now_ms - start_ms
        can_wait = (
            demand.objective_ms is None
            or demand.standing.is_deferred
            or left_ms < 0
        )
        slack_ms.append(math.inf if can_wait else left_ms)
    least_ms = list(itertools.accumulate(reversed(slack_ms), min))
    least_ms.reverse()
    return least_ms
