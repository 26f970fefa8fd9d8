"""In which order teams come when not everything fits."""

from dandeliondrum import messages
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _shares

Key = tuple[int, float, int]

FIRST_RANK = 0
SHARED_RANK = 1

_CLASS_ORDER = {
    messages.TaskClass.URGENT: 0,
    messages.TaskClass.SERVICE: 1,
    messages.TaskClass.GANG: 2,
    messages.TaskClass.BATCH: 3,
}


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

    def key(
        self, account: _shares.TeamAccount, task_class: messages.TaskClass
    ) -> Key:
        """Return where a team's tasks of a class come in the order."""
        weight = account.weight()
        dominant = self.dominant_share(account)
        order = _CLASS_ORDER[task_class]
        if task_class is messages.TaskClass.URGENT:
            slots_count = self._ledger.fleet.totals.slots_count or 1
            urgent = account.urgent_count / slots_count
            if urgent * self._weights <= weight:
                return FIRST_RANK, urgent / weight, order
        elif task_class is messages.TaskClass.SERVICE:
            if dominant * self._weights <= weight:
                return FIRST_RANK, dominant / weight, order
        return SHARED_RANK, dominant / weight, order
