"""Teams that have tasks waiting, in order of what they use."""

import bisect

from dandeliondrum.placement import _bins
from dandeliondrum.placement import _ranking

Teams = list[tuple[float, int, _bins.TeamQueue]]


class TeamOrder:
    """Two orders: by dominant share and by what urgent tasks use."""

    def __init__(self, ranking: _ranking.Ranking) -> None:
        self.by_share: Teams = []
        self.by_urgent: Teams = []
        self._ranking = ranking

    def enter(self, team: _bins.TeamQueue) -> None:
        """Put a team where it belongs now."""
        team.places = self._ranking.places(team.account)
        share, urgent = team.places
        bisect.insort(self.by_share, (share, team.number, team))
        bisect.insort(self.by_urgent, (urgent, team.number, team))

    def leave(self, team: _bins.TeamQueue) -> None:
        """Take a team out of both orders."""
        for order, place in zip((self.by_share, self.by_urgent), team.places):
            del order[bisect.bisect_left(order, (place, team.number))]
