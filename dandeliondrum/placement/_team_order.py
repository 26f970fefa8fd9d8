"""Teams with pending tasks, ordered by their usage."""

import bisect

from dandeliondrum.placement import _bins
from dandeliondrum.placement import _ranking

SortedTeams = list[tuple[float, int, _bins.TeamQueue]]


class TeamOrder:
    """Teams ordered by dominant share, and by usage of urgent tasks."""

    def __init__(self, ranking: _ranking.Ranking) -> None:
        self.by_share: SortedTeams = []
        self.by_urgent: SortedTeams = []
        self._ranking = ranking

    def insert(self, team: _bins.TeamQueue) -> None:
        """Insert a team according to its present usage."""
        team.sort_keys = self._ranking.sort_keys(team.account)
        share, urgent = team.sort_keys
        bisect.insort(self.by_share, (share, team.number, team))
        bisect.insort(self.by_urgent, (urgent, team.number, team))

    def remove(self, team: _bins.TeamQueue) -> None:
        """Remove a team from both orders."""
        for order, place in zip(
            (self.by_share, self.by_urgent), team.sort_keys
        ):
            del order[bisect.bisect_left(order, (place, team.number))]
