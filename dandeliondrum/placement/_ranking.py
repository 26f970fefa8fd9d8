"""The order of teams by weighted dominant share."""

from dandeliondrum import messages
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _shares


# The urgent tasks of a team keep the first rank up to this multiple of its
# share, since the few tasks of a small team arrive in bursts.
URGENT_BURST_FACTOR = 3.0


class Ranking:
    """Orders teams by weighted dominant resource fairness (DRF).

    Urgent tasks have the first rank while the team's urgent tasks alone are
    within its share (see ``URGENT_BURST_FACTOR``), whatever else it runs.
    Services have it while their team is within its share. All other tasks
    are ordered by their team's dominant share divided by its weight, so a
    team can borrow unused share, which returns to its owner as tasks end.
    Smaller keys come first.
    """

    def __init__(self) -> None:
        self._ledger = _ledger.Ledger()
        self._total_weight = 1.0
        self._dominant_shares: dict[messages.TeamId, float] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Set the ledger with the teams and the totals of the fleet."""
        self._ledger = ledger

    def reset(self) -> None:
        """Recompute after a change of the grants or the fleet."""
        accounts = self._ledger.teams.accounts.values()
        self._total_weight = (
            sum(
                account.weight()
                for account in accounts
                if account.grant is not None
            )
            or 1.0
        )
        self._dominant_shares.clear()

    def note_change(self, team_id: messages.TeamId) -> None:
        """Discard the cached share of a team whose usage has changed."""
        self._dominant_shares.pop(team_id, None)

    def dominant_share(self, account: _shares.TeamAccount) -> float:
        """Return the team's dominant share of the fleet, from 0 to 1."""
        share = self._dominant_shares.get(account.team_id)
        if share is None:
            share = account.dominant_share(self._ledger.fleet.totals)
            self._dominant_shares[account.team_id] = share
        return share

    def fair_share(self, account: _shares.TeamAccount) -> float:
        """Return the fraction of the fleet granted to the team."""
        return account.weight() / self._total_weight

    def first_rank_limit(self) -> float:
        """Return the largest key with which a team is within its share."""
        return 1.0 / self._total_weight

    def sort_keys(self, account: _shares.TeamAccount) -> tuple[float, float]:
        """Return a team's keys by dominant share and by urgent tasks.

        Each is a fraction of the fleet per unit of weight; smaller keys come
        first.
        """
        weight = account.weight()
        slots_count = self._ledger.fleet.totals.slots_count or 1
        urgent = account.urgent_count / slots_count / URGENT_BURST_FACTOR
        return (
            self.dominant_share(account) / weight,
            urgent / weight,
        )

    def has_first_rank(
        self, account: _shares.TeamAccount, task_class: messages.TaskClass
    ) -> bool:
        """Return whether a team's tasks of a class have the first rank."""
        share, urgent = self.sort_keys(account)
        if task_class is messages.TaskClass.URGENT:
            return urgent <= self.first_rank_limit()
        if task_class is messages.TaskClass.SERVICE:
            return share <= self.first_rank_limit()
        return False
