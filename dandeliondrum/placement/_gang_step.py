"""The planning step that starts gangs and makes reservations."""

from dandeliondrum import messages
from dandeliondrum.placement import _gangs
from dandeliondrum.placement import _state
from dandeliondrum.placement import _tasks

# A gang that has waited this long precedes younger ones whatever the shares,
# while there is credit for aged groups. It gets a reservation even if its team
# is at its upper limit; what ends of the team's tasks is then kept for it.
# Single tasks that are starved for this long get reservations too.
AGED_MS = 60_000
# How long a gang that would exceed its team's share waits behind other tasks.
SINGLES_FIRST_MS = 5_000
# Interval between attempts to make a reservation when none was possible.
RETRY_MS = 200
# How overdue a reservation may be before other workers are chosen.
OVERDUE_MS = 10_000
# A gang for which too few workers were found is retried after this time,
# since only a sample of the workers is examined.
TOO_LARGE_RETRY_MS = 10_000
# How many bins are searched for a starved single task.
BINS_TRIED_COUNT = 8


class GangStep:
    """Starts complete gangs and keeps at most one reservation."""

    def __init__(self, state: _state.State) -> None:
        self._state = state
        self._retry_ms: int | None = None
        # Gangs and starved single tasks get reservations alternately.
        self._single_is_next = False
        # Gangs too large for the eligible workers, and when that was found.
        self._too_large: dict[_gangs.GangKey, int] = {}

    def note_change(self) -> None:
        """Allow a reservation attempt at once after a gang has changed."""
        self._retry_ms = None

    def note_fleet(self) -> None:
        """Retry gangs that were too large after a change of the fleet."""
        self._too_large.clear()
        self._retry_ms = None

    def run(
        self, now_ms: int, placements_max: int, nothing_placed: bool
    ) -> list[tuple[_tasks.Placement, ...]]:
        """Return the gangs and reserved single tasks that start now.

        With ``nothing_placed``, the plan is empty so far, and the first gang
        may exceed ``placements_max``; else a gang larger than this limit
        would never start.
        """
        groups: list[tuple[_tasks.Placement, ...]] = []
        left = placements_max
        while left > 0 and self._reserve(now_ms):
            no_limit = nothing_placed and not groups
            group = self._start(now_ms, None if no_limit else left)
            if group is None:
                return groups
            groups.append(group)
            left -= len(group)
        return groups

    def start_reserved(
        self, now_ms: int
    ) -> list[tuple[_tasks.Placement, ...]]:
        """Start the reserved tasks if all of their capacity is free.

        The limit of placements does not apply, as the plan is still empty.
        """
        self._replan_overdue(now_ms)
        group = self._start(now_ms, None)
        return [] if group is None else [group]

    def _replan_overdue(self, now_ms: int) -> None:
        """Choose other workers if tasks run longer than expected."""
        state = self._state
        reservation = state.reservation
        if reservation is None or not reservation.waiting:
            return
        if now_ms < reservation.expected_ms + OVERDUE_MS:
            return
        members = [task for task, _ in reservation.assignments]
        state.drop_reservation()
        state.reservation = state.reserver.reserve(
            state.ledger, members, reservation.gang_key, now_ms
        )

    def is_due(self, now_ms: int) -> bool:
        """Return whether a new reservation may be made now."""
        return self._state.reservation is None and (
            self._retry_ms is None or now_ms >= self._retry_ms
        )

    def is_too_large(self, key: _gangs.GangKey) -> bool:
        """Return whether the gang was found too large for the fleet."""
        return key in self._too_large

    def _start(
        self, now_ms: int, left: int | None
    ) -> tuple[_tasks.Placement, ...] | None:
        state = self._state
        reservation = state.reservation
        if (
            reservation is None
            or reservation.waiting
            or not reservation.refresh_waiting()
        ):
            return None
        if not state.ledger.teams.account(reservation.team_id).allows_held():
            return None
        if left is not None and len(reservation.assignments) > left:
            return None
        state.drop_reservation()
        reason = 'all members of its gang had room at once'
        if reservation.gang_key is None:
            reason = 'room was reserved for it after a long wait'
        return tuple(
            state.commit(task, worker.worker_id, now_ms, reason)
            for task, worker in reservation.assignments
        )

    def _reserve(self, now_ms: int) -> bool:
        if not self.is_due(now_ms):
            return False
        attempts = [self._reserve_gang, self._reserve_single]
        if self._single_is_next:
            attempts.reverse()
        for attempt in attempts:
            if attempt(now_ms):
                return True
        self._retry_ms = now_ms + RETRY_MS
        self._too_large = {
            key: at_ms
            for key, at_ms in self._too_large.items()
            if now_ms - at_ms < TOO_LARGE_RETRY_MS
        }
        return False

    def _reserve_gang(self, now_ms: int) -> bool:
        state = self._state
        gang = self._next_gang(now_ms)
        while gang is not None:
            reservation = state.reserver.reserve(
                state.ledger, gang.members(), gang.key, now_ms
            )
            if reservation is not None:
                state.reservation = reservation
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
        """Reserve for a single task whose bin had no placement for long."""
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
        """Return the next task of the bin longest without a placement."""
        queues = self._state.queues
        bins = sorted(
            (bin_.placed_ms, bin_.bit, bin_)
            for bin_ in queues.bins.values()
            if bin_.groups and now_ms - bin_.placed_ms >= AGED_MS
        )
        for _, _, bin_ in bins[:BINS_TRIED_COUNT]:
            task = queues.next_task(bin_, now_ms)
            if task is not None and now_ms - task.submitted_ms >= AGED_MS:
                return task
        return None

    def _next_gang(self, now_ms: int) -> _gangs.Gang | None:
        best: _gangs.Gang | None = None
        best_key: tuple[int, float, int, int] | None = None
        for gang in self._state.gangs.first_gangs():
            if gang.key in self._too_large or self._is_past_deadline(
                gang, now_ms
            ):
                continue
            key = self._sort_key(gang, now_ms)
            if key is not None and (best_key is None or key < best_key):
                best, best_key = gang, key
        return best

    def _sort_key(
        self, gang: _gangs.Gang, now_ms: int
    ) -> tuple[int, float, int, int] | None:
        """Return the gang's sort key, None if it may not reserve now."""
        state = self._state
        account = state.ledger.teams.account(gang.key[0])
        totals = state.ledger.fleet.totals
        total = messages.Resources(0, 0, 0)
        for task in gang.pending.values():
            total = total + task.resources
        if self._is_aged(gang, now_ms):
            if not account.may_allow(total, len(gang.pending)):
                return None
            return 0, 0, gang.submitted_ms, gang.number
        if not account.allows(total, len(gang.pending)):
            return None
        # The gang's own share counts, so that it doesn't take its team above
        # the fair share while others wait. But a team whose single tasks
        # keep it at its fair share would then never start a gang. So after
        # SINGLES_FIRST_MS the gang may exceed the share, and the team's
        # single tasks wait instead.
        used = state.ranking.dominant_share(account)
        added = account.dominant_share_of(total, len(gang.pending), totals)
        fair = state.ranking.fair_share(account)
        waited_ms = now_ms - gang.submitted_ms
        counted = used + (added if waited_ms < SINGLES_FIRST_MS else 0)
        if counted > fair and state.is_contended(now_ms):
            return None
        return 1, (used + added) / fair, gang.submitted_ms, gang.number

    def _is_aged(self, gang: _gangs.Gang, now_ms: int) -> bool:
        """Return whether a gang may be reserved for out of turn."""
        return (
            now_ms - gang.submitted_ms >= AGED_MS
            and self._state.queues.aged.may_spend
        )

    def _is_past_deadline(self, gang: _gangs.Gang, now_ms: int) -> bool:
        return any(
            task.deadline_ms is not None and task.deadline_ms <= now_ms
            for task in gang.pending.values()
        )
