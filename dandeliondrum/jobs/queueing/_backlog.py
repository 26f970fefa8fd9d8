"""Limit on the work that a planning round spends on late demands.

Designed for a crowd that arrives while the cell has no leader, and for a load
that leaves hundreds of jobs late: they would take most of the leader's
processor time and of the calls to the adviser, so that work that can still be
in time would wait for long rounds.
"""

import collections.abc

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.queueing import _order
from dandeliondrum.jobs.queueing import _urgency

_StepKey = tuple[_specs.JobId, _specs.StepIndex]
_Limits = tuple[int, int]

# Demands of each class that a round considers: the first ones in scheduling
# order, and some of the others in turn. With 600 late ones a round took 75 ms
# of the leader, and work with half a second of slack waits for several rounds.
LIMITS: collections.abc.Mapping[_urgency.Urgency, _Limits] = {
    _urgency.Urgency.LATE: (64, 32),
    _urgency.Urgency.NO_USE: (16, 16),
}


class Backlog:
    """Selects the demands that a round leaves to a later one.

    All that can still be in time are considered in each round. Each of the
    others is considered again after a limited number of rounds, so that one
    that can't be placed does not block those behind it. Not thread-safe.

    Example::

        backlog = Backlog()
        postponed = backlog.postponed(demands)
    """

    def __init__(self) -> None:
        self._turns = dict.fromkeys(LIMITS, 0)

    def postponed(
        self, demands: collections.abc.Iterable[_order.Demand]
    ) -> set[_StepKey]:
        """Return the steps of the demands that this round leaves out."""
        by_urgency: dict[_urgency.Urgency, list[_order.Demand]] = {
            urgency: [] for urgency in LIMITS
        }
        for one in demands:
            urgency = _order.urgency_of(one)
            if urgency in by_urgency and not one.standing.is_overdue:
                by_urgency[urgency].append(one)
        left_out: set[_StepKey] = set()
        for urgency, found in by_urgency.items():
            left_out |= self._postponed_of(urgency, found)
        return left_out

    def _postponed_of(
        self, urgency: _urgency.Urgency, demands: list[_order.Demand]
    ) -> set[_StepKey]:
        """Return the steps to leave out among those of one class."""
        first_max, in_turn_max = LIMITS[urgency]
        if len(demands) <= first_max + in_turn_max:
            return set()
        demands.sort(key=_order.sort_key)
        others = [(one.job_id, one.step) for one in demands[first_max:]]
        begin = self._turns[urgency] % len(others)
        self._turns[urgency] = begin + in_turn_max
        in_turn = (others[begin:] + others[:begin])[:in_turn_max]
        return set(others).difference(in_turn)
