"""Limit on the work that a planning round spends on demands of no more use.

Designed for a crowd that arrives while the cell has no leader: hundreds of
its jobs can't be of use any more and would still take most of the leader's
processor time and of the calls to the adviser.
"""

import collections.abc

from dandeliondrum.jobs import _specs
from dandeliondrum.jobs.queueing import _order
from dandeliondrum.jobs.queueing import _urgency

# Demands of no more use that a round considers: the first ones in scheduling
# order, and as many of the others in turn. A round that considers 400 of them
# takes 20 ms of the leader, and starts of useful work wait for it.
FIRST_MAX = 16
IN_TURN_MAX = 16

_StepKey = tuple[_specs.JobId, _specs.StepIndex]


class Backlog:
    """Selects the demands that a round leaves to a later one.

    All that can still be of use are considered in each round. Each of the
    others is considered again after a limited number of rounds, so that one
    that can't be placed does not block those behind it. Not thread-safe.

    Example::

        backlog = Backlog()
        postponed = backlog.postponed(demands)
    """

    def __init__(self) -> None:
        self._turn = 0

    def postponed(
        self, demands: collections.abc.Iterable[_order.Demand]
    ) -> set[_StepKey]:
        """Return the steps of the demands that this round leaves out."""
        no_use = sorted(
            (
                one
                for one in demands
                if _order.urgency_of(one) is _urgency.Urgency.NO_USE
                and not one.standing.is_overdue
            ),
            key=_order.sort_key,
        )
        others = [(one.job_id, one.step) for one in no_use[FIRST_MAX:]]
        if len(others) <= IN_TURN_MAX:
            return set()
        begin = self._turn % len(others)
        self._turn = begin + IN_TURN_MAX
        in_turn = (others[begin:] + others[:begin])[:IN_TURN_MAX]
        return set(others).difference(in_turn)
