"""In which order teams come when not everything fits."""

from dandeliondrum import messages
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _shares


# How far the urgent tasks of a team may go beyond its share and still come
# first; a small team's few tasks come in bursts.
URGENT_BURST = 3.0


class Ranking:
    """Orders teams by weighted dominant share, urgent work ahead.

    Urgent tasks come first while the urgent tasks of their team alone stay
    within its share, whatever else it runs; services come first while their
    team is within its share. All else goes to the team whose dominant share
    is smallest for its weight, so idle share is lent and comes back as tasks
    end. Smaller keys come first.
    """

    def __init__(self) -> None:
        self._ledger = _ledger.Ledger()
        self._weights = 1.0
        self._dominant: dict[messages.TeamId, float] = {}

    def bind(self, ledger: _ledger.Ledger) -> None:
        """Read teams and totals from this ledger."""
        self._ledger = ledger

    def reset(self) -> None:
        """Forget what was computed: grants or the fleet have changed."""
        accounts = self._ledger.teams.accounts.values()
        self._weights = (
            sum(
                account.weight()
                for account in accounts
                if account.grant is not None
            )
            or 1.0
        )
        self._dominant.clear()

    def note_change(self, team_id: messages.TeamId) -> None:
        """Forget the share of a team whose usage has changed."""
        self._dominant.pop(team_id, None)

    def dominant_share(self, account: _shares.TeamAccount) -> float:
        """Return the largest part of any resource that the team uses."""
        share = self._dominant.get(account.team_id)
        if share is None:
            share = account.dominant_share(self._ledger.fleet.totals)
            self._dominant[account.team_id] = share
        return share

    def fair_share(self, account: _shares.TeamAccount) -> float:
        """Return the part of the fleet that was granted to the team."""
        return account.weight() / self._weights

    def first_rank_limit(self) -> float:
        """Return the key up to which a team is within its share."""
        return 1.0 / self._weights

    def places(self, account: _shares.TeamAccount) -> tuple[float, float]:
        """Return a team's keys: by dominant share, and by urgent tasks.

        Each is a part of the fleet for one unit of granted share; smaller
        comes first.
        """
        weight = account.weight()
        slots_count = self._ledger.fleet.totals.slots_count or 1
        urgent = account.urgent_count / slots_count / URGENT_BURST
        return (
            self.dominant_share(account) / weight,
            urgent / weight,
        )

    def is_first(
        self, account: _shares.TeamAccount, task_class: messages.TaskClass
    ) -> bool:
        """Return whether a team's tasks of a class come before the rest."""
        share, urgent = self.places(account)
        if task_class is messages.TaskClass.URGENT:
            return urgent <= self.first_rank_limit()
        if task_class is messages.TaskClass.SERVICE:
            return share <= self.first_rank_limit()
        return False
