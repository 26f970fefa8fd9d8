"""The step of a plan that starts gangs and makes reservations."""

from dandeliondrum import messages
from dandeliondrum.placement import _gangs
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A gang that waited this long comes before younger ones, whatever the
# shares, and holds room under its team's upper limit, too.
AGED_MS = 60_000
# For so long a gang leaves its team's share to the team's single tasks.
SINGLES_FIRST_MS = 5_000
RETRY_MS = 200
# How long a reservation may be late before other workers are chosen.
OVERDUE_MS = 10_000
# A gang that found too few workers is tried again after this time, since
# only some of the workers are looked at.
TOO_LARGE_MS = 10_000
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
        self, now_ms: int, placements_max: int, alone: bool
    ) -> list[tuple[_tasks.Placement, ...]]:
        """Return the gangs (and reserved single tasks) that start.

        With ``alone``, nothing else was placed so far, and a gang larger
        than the limit of placements goes all the same.
        """
        groups: list[tuple[_tasks.Placement, ...]] = []
        left = placements_max
        while left > 0 and self._reserve(now_ms):
            no_limit = alone and not groups
            group = self._start(now_ms, None if no_limit else left)
            if group is None:
                return groups
            groups.append(group)
            left -= len(group)
        return groups

    def start_reserved(
        self, now_ms: int
    ) -> list[tuple[_tasks.Placement, ...]]:
        """Start what has the reservation, if all of its room is there.

        A gang larger than the limit of placements goes, too, as nothing else
        has been placed yet.
        """
        self._renew(now_ms)
        group = self._start(now_ms, None)
        return [] if group is None else [group]

    def _renew(self, now_ms: int) -> None:
        """Choose workers anew where tasks run longer than was said."""
        state = self._state
        made = state.reservation
        if made is None or not made.waiting:
            return
        if now_ms < made.expected_ms + OVERDUE_MS:
            return
        members = [task for task, _ in made.places]
        state.drop_reservation()
        state.reservation = state.reserver.reserve(
            state.ledger, members, made.gang_key, now_ms
        )

    def is_due(self, now_ms: int) -> bool:
        """Return whether a new reservation may be made now."""
        return self._state.reservation is None and (
            self._retry_ms is None or now_ms >= self._retry_ms
        )

    def is_too_large(self, key: _gangs.GangKey) -> bool:
        """Return whether the eligible workers can't hold the gang."""
        return key in self._too_large

    def _start(
        self, now_ms: int, left: int | None
    ) -> tuple[_tasks.Placement, ...] | None:
        state = self._state
        made = state.reservation
        if made is None or made.waiting or not made.has_all():
            return None
        if not state.ledger.teams.account(made.team_id).allows_held():
            return None
        if left is not None and len(made.places) > left:
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
        if not self.is_due(now_ms):
            return False
        turns = [self._reserve_gang, self._reserve_single]
        if self._single_is_next:
            turns.reverse()
        for turn in turns:
            if turn(now_ms):
                return True
        self._retry_ms = now_ms + RETRY_MS
        self._too_large = {
            key: at_ms
            for key, at_ms in self._too_large.items()
            if now_ms - at_ms < TOO_LARGE_MS
        }
        return False

    def _reserve_gang(self, now_ms: int) -> bool:
        state = self._state
        gang = self._next_gang(now_ms)
        while gang is not None:
            made = state.reserver.reserve(
                state.ledger, gang.members(), gang.key, now_ms
            )
            if made is not None:
                state.reservation = made
                self._single_is_next = True
                if self._is_aged(gang, now_ms):
                    for task in gang.pending.values():
                        state.queues.aged.spend(task)
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
        state.reservation = state.reserver.reserve(
            state.ledger, [task], None, now_ms
        )
        return state.reservation is not None

    def _starved_single(self, now_ms: int) -> _tasks.PendingTask | None:
        """Return the task whose bin has had no placement for longest."""
        queues = self._state.queues
        bins = sorted(
            (home.placed_ms, home.bit, home)
            for home in queues.bins.values()
            if home.groups and now_ms - home.placed_ms >= AGED_MS
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
        if self._is_aged(gang, now_ms):
            return 0, 0, gang.submitted_ms, gang.number
        account = state.ledger.teams.account(gang.key[0])
        totals = state.ledger.fleet.totals
        total = messages.Resources(0, 0, 0)
        for task in gang.pending.values():
            total = total + task.resources
        if not account.allows(total, len(gang.pending)):
            return None
        # What the gang adds counts, so that it doesn't take its team beyond
        # the share while others wait. But a team that keeps itself at its
        # share with single tasks would never start it, so after a while it
        # may go beyond by one gang, and its single tasks wait instead.
        used = state.ranking.dominant_share(account)
        added = account.share_of(total, len(gang.pending), totals)
        fair = state.ranking.fair_share(account)
        waited_ms = now_ms - gang.submitted_ms
        counted = used + (added if waited_ms < SINGLES_FIRST_MS else 0)
        if counted > fair and state.is_contended(now_ms):
            return None
        return 1, (used + added) / fair, gang.submitted_ms, gang.number

    def _is_aged(self, gang: _gangs.Gang, now_ms: int) -> bool:
        """Return whether a gang may come out of its turn."""
        return (
            now_ms - gang.submitted_ms >= AGED_MS
            and self._state.queues.aged.may_spend
        )

    def _is_late(self, gang: _gangs.Gang, now_ms: int) -> bool:
        return any(
            task.deadline_ms is not None and task.deadline_ms <= now_ms
            for task in gang.pending.values()
        )
