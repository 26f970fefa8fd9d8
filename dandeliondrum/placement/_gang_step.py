"""The step of a plan that starts gangs and makes reservations."""

from dandeliondrum import messages
from dandeliondrum.placement import _gangs
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A gang that waited this long comes before younger ones, whatever the
# shares, and holds room under its team's upper limit, too.
AGED_MS = 60_000
RETRY_MS = 200
BINS_TRIED_COUNT = 8


class GangStep:
    """Starts complete gangs; reserves room for one at a time."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        self._retry_ms: int | None = None
        # Gangs and single tasks take turns.
        self._single_is_next = False
        # Gangs too large for the eligible workers, and when it was found.
        self._too_large: dict[_gangs.GangKey, int] = {}

    def note_change(self) -> None:
        """Look again at once: a gang is complete or the fleet changed."""
        self._retry_ms = None

    def note_fleet(self) -> None:
        """Look again at gangs that were too large for the fleet."""
        self._too_large.clear()
        self._retry_ms = None

    def run(
        self, now_ms: int, placements_max: int
    ) -> list[tuple[_tasks.Placement, ...]]:
        """Return the gangs (and reserved single tasks) that start."""
        groups: list[tuple[_tasks.Placement, ...]] = []
        left = placements_max
        while True:
            if self._state.reservation is None and not self._reserve(now_ms):
                return groups
            group = self._start(now_ms, left, alone=not groups)
            if group is None:
                return groups
            groups.append(group)
            left -= len(group)

    def is_too_large(self, key: _gangs.GangKey) -> bool:
        """Tell whether the eligible workers can't hold the gang."""
        return key in self._too_large

    def _start(
        self, now_ms: int, left: int, alone: bool
    ) -> tuple[_tasks.Placement, ...] | None:
        state = self._state
        made = state.reservation
        if made is None or made.waiting or not made.has_all():
            return None
        if not state.ledger.teams.account(made.team_id).allows_held():
            return None
        if len(made.places) > left and not alone:
            return None
        state.drop_reservation()
        reason = 'all members of its gang had room at once'
        if made.gang_key is None:
            reason = 'room was reserved for it after a long wait'
        return tuple(
            state.commit(task, worker.worker_id, now_ms, reason)
            for task, worker in made.places
        )

    def _reserve(self, now_ms: int) -> bool:
        if self._retry_ms is not None and now_ms < self._retry_ms:
            return False
        turns = [self._reserve_gang, self._reserve_single]
        if self._single_is_next:
            turns.reverse()
        for turn in turns:
            if turn(now_ms):
                return True
        self._retry_ms = now_ms + RETRY_MS
        return False

    def _reserve_gang(self, now_ms: int) -> bool:
        state = self._state
        gang = self._next_gang(now_ms)
        while gang is not None:
            made = state.reserver.reserve(
                state.ledger, gang.members(), gang.key
            )
            if made is not None:
                state.reservation = made
                self._single_is_next = True
                return True
            self._too_large[gang.key] = now_ms
            state.gangs.defer(gang)
            gang = self._next_gang(now_ms)
        return False

    def _reserve_single(self, now_ms: int) -> bool:
        """Reserve for a task whose like has found no room for long."""
        state = self._state
        self._single_is_next = False
        task = self._starved_single(now_ms)
        if task is None:
            return False
        state.reservation = state.reserver.reserve(state.ledger, [task], None)
        return state.reservation is not None

    def _starved_single(self, now_ms: int) -> _tasks.PendingTask | None:
        """Return the task whose bin has had no placement for longest."""
        queues = self._state.queues
        bins = sorted(
            (home.placed_ms, home.bit, home)
            for home in queues.bins.values()
            if now_ms - home.placed_ms >= AGED_MS
        )
        for _, _, home in bins[:BINS_TRIED_COUNT]:
            task = queues.first(home, now_ms)
            if task is not None and now_ms - task.submitted_ms >= AGED_MS:
                return task
        return None

    def _next_gang(self, now_ms: int) -> _gangs.Gang | None:
        best: _gangs.Gang | None = None
        best_key: tuple[int, float, int, int] | None = None
        for gang in self._state.gangs.firsts():
            if gang.key in self._too_large or self._is_late(gang, now_ms):
                continue
            key = self._key(gang, now_ms)
            if key is not None and (best_key is None or key < best_key):
                best, best_key = gang, key
        return best

    def _key(
        self, gang: _gangs.Gang, now_ms: int
    ) -> tuple[int, float, int, int] | None:
        """Return the place in the order, None if it isn't its turn."""
        state = self._state
        if now_ms - gang.submitted_ms >= AGED_MS:
            return 0, 0, gang.submitted_ms, gang.number
        account = state.ledger.teams.account(gang.key[0])
        total = messages.Resources(0, 0, 0)
        for task in gang.pending.values():
            total = total + task.resources
        if not account.allows(total, len(gang.pending)):
            return None
        dominant = state.ranking.dominant_share(account)
        fair = state.ranking.fair_share(account)
        if dominant > fair and state.queues.blocked:
            return None
        return 1, dominant / fair, gang.submitted_ms, gang.number

    def _is_late(self, gang: _gangs.Gang, now_ms: int) -> bool:
        return any(
            task.deadline_ms is not None and task.deadline_ms <= now_ms
            for task in gang.pending.values()
        )
