"""Weighted dominant shares of teams, as bands of the scheduling order."""

import collections.abc
import typing

from dandeliondrum.jobs.queueing import _contention
from dandeliondrum import messages

# Teams without a weight use what no other team needs.
WEIGHT_MIN = 0.001
# A team that wants this many times as much of its share as the others want of
# theirs goes behind them for what exceeds its share. With a strict order by
# shares, teams with an even load lose more by ignored deadlines than they
# gain.
BURST_FACTOR = 4.0


class Demand(_contention.Demand, typing.Protocol):
    """Fields that the bands depend on; see ``_planner.Demand``."""

    team_id: messages.TeamId
    priority: int


class ShareBands:
    """Bands of demands by the use of their teams in one pool.

    A team's share is its weight divided by those of all teams with running or
    waiting work in the pool, so that what idle teams leave is lent. Its use
    is its dominant share of the pool: running tasks and the demands that were
    asked about before, as if they had been placed. For a demand, only work of
    the same or a more urgent priority counts, so that a team's urgent work
    does not go behind that of others because of what else it runs.
    """

    def __init__(
        self,
        capacity: messages.Resources,
        running: _contention.Running,
        weights: collections.abc.Mapping[messages.TeamId, int],
        demands: collections.abc.Iterable[Demand],
    ) -> None:
        self._capacity = capacity
        self._used = {
            team_id: {
                priority: _contention.dominant_share(amount, capacity)
                for priority, amount in used.items()
            }
            for team_id, used in running.used.items()
        }
        wanted = {
            team_id: sum(used.values()) for team_id, used in self._used.items()
        }
        for demand in demands:
            wanted[demand.team_id] = wanted.get(
                demand.team_id, 0.0
            ) + _contention.dominant_share(demand.amount, capacity)
        self._shares = _shares(wanted, weights)
        self._greedy = _greedy(wanted, self._shares)

    def any(self) -> bool:
        """Return whether any team goes behind others."""
        return bool(self._greedy)

    def take(self, demand: Demand) -> int:
        """Return the band of the next demand, and count its amount."""
        team_id, priority = demand.team_id, demand.priority
        if team_id not in self._greedy:
            return 0
        by_priority = self._used.setdefault(team_id, {})
        used = sum(
            value for other, value in by_priority.items() if other <= priority
        )
        by_priority[priority] = by_priority.get(
            priority, 0.0
        ) + _contention.dominant_share(demand.amount, self._capacity)
        return int(used / self._shares[team_id]).bit_length()


def _shares(
    wanted: collections.abc.Mapping[messages.TeamId, float],
    weights: collections.abc.Mapping[messages.TeamId, int],
) -> dict[messages.TeamId, float]:
    positive = {
        team_id: max(weights.get(team_id, 0), WEIGHT_MIN) for team_id in wanted
    }
    total = sum(positive.values())
    return {team_id: weight / total for team_id, weight in positive.items()}


def _greedy(
    wanted: collections.abc.Mapping[messages.TeamId, float],
    shares: collections.abc.Mapping[messages.TeamId, float],
) -> set[messages.TeamId]:
    """Return the teams that want much more of their share than others."""
    total = sum(wanted.values())
    found = set()
    for team_id, share in shares.items():
        # What the others want of their shares, on average.
        others = (total - wanted[team_id]) / (1 - share) if share < 1 else 0.0
        if wanted[team_id] > BURST_FACTOR * share * max(1.0, others):
            found.add(team_id)
    return found
