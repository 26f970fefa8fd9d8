"""Aging of groups without a placement, to prevent starvation."""

import collections
import typing

from dandeliondrum.placement import _tasks

# Fraction of the placed work that goes to aged groups, that is to groups
# without a placement for AGED_MS, whatever their class and their team's
# share. It is a fraction of work and not of placements, since one batch task
# takes the room of many urgent ones.
AGED_WORK_FRACTION = 0.02
AGED_MS = 60_000
# Aged groups are tried again after PLACEMENTS_PER_TRY placements, at most
# GROUPS_TRIED_COUNT of them.
GROUPS_TRIED_COUNT = 4
PLACEMENTS_PER_TRY = 5
# Run time beyond this does not count, and credit beyond WORK_CREDIT_MAX
# (millicores times milliseconds) is not accumulated.
RUN_MS_MAX = 60_000
WORK_CREDIT_MAX = 1_000_000_000

_Group = typing.TypeVar('_Group')


class AgedGroups(typing.Generic[_Group]):
    """Keeps groups in the order of their last placement.

    Aging applies to groups and not to tasks: a team that floods its own
    queue has many old tasks, which must not delay other teams.
    """

    def __init__(self) -> None:
        self._order: collections.OrderedDict[int, tuple[int, _Group]] = (
            collections.OrderedDict()
        )
        self._placements_count = 0
        self._work_credit = 0.0

    def add(self, number: int, group: _Group, since_ms: int) -> None:
        """Add a group with pending tasks."""
        self._order[number] = since_ms, group

    def remove(self, number: int) -> None:
        """Remove a group without pending tasks."""
        self._order.pop(number, None)

    def note_attempt(self, number: int, now_ms: int) -> None:
        """Move a group to the end after a placement or an attempt."""
        entry = self._order.get(number)
        if entry is not None:
            self._order[number] = now_ms, entry[1]
            self._order.move_to_end(number)

    def accrue(self, task: _tasks.PendingTask) -> None:
        """Add the aged groups' fraction of a placed task to their credit."""
        self._placements_count += 1
        credit = self._work_credit + AGED_WORK_FRACTION * _cpu_work(task)
        self._work_credit = min(credit, WORK_CREDIT_MAX)

    def spend(self, task: _tasks.PendingTask) -> None:
        """Charge a task that was placed out of turn to the credit."""
        self._work_credit -= _cpu_work(task)

    @property
    def may_spend(self) -> bool:
        """Whether a task of an aged group may be placed out of turn."""
        return self._work_credit >= 0

    def due(self, now_ms: int) -> list[tuple[int, _Group]]:
        """Return the aged groups to try now, in most calls none.

        The caller calls ``note_attempt`` for each of them, also for those that
        can't be served, so that they don't block the groups behind them.
        """
        if self._placements_count < PLACEMENTS_PER_TRY or not self.may_spend:
            return []
        self._placements_count = 0
        found: list[tuple[int, _Group]] = []
        for number, (since_ms, group) in self._order.items():
            if len(found) >= GROUPS_TRIED_COUNT or now_ms - since_ms < AGED_MS:
                break
            found.append((number, group))
        return found


def _cpu_work(task: _tasks.PendingTask) -> int:
    """Return the work of a task in millicores times milliseconds."""
    run_ms = min(task.expected_run_ms, RUN_MS_MAX)
    return run_ms * max(1, task.resources.cpu_millicores)
