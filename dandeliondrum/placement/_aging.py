"""Who has waited longest without a placement, so that none starves."""

import collections
import typing

from dandeliondrum.placement import _tasks

# Part of the work that goes to groups without a placement for so long,
# whatever their class and their team's share. It is reckoned by work and not
# by placements, since one batch task takes the room of many urgent ones.
AGED_PORTION = 0.02
AGED_MS = 60_000
TRIED_COUNT = 4
PLACEMENTS_PER_TRY = 5
# A task counts for no longer than this, and no more than this is saved up.
RUN_MS_MAX = 60_000
SAVED_WORK_MAX = 1_000_000_000

_Group = typing.TypeVar('_Group')


class AgedGroups(typing.Generic[_Group]):
    """Keeps groups in the order of their last placement.

    By group and not by task, since a team that floods its queue has many
    old tasks through no fault of the others.
    """

    def __init__(self) -> None:
        self._order: collections.OrderedDict[int, tuple[int, _Group]] = (
            collections.OrderedDict()
        )
        self._placements_count = 0
        self._saved_work = 0.0

    def add(self, number: int, group: _Group, since_ms: int) -> None:
        """Take a group that waits from now on."""
        self._order[number] = since_ms, group

    def remove(self, number: int) -> None:
        """Forget a group in which nothing waits."""
        self._order.pop(number, None)

    def note_turn(self, number: int, now_ms: int) -> None:
        """Put a group to the end: it had a placement or its turn."""
        entry = self._order.get(number)
        if entry is not None:
            self._order[number] = now_ms, entry[1]
            self._order.move_to_end(number)

    def earn(self, task: _tasks.PendingTask) -> None:
        """Count a placement; a part of its work is owed to aged groups."""
        self._placements_count += 1
        saved = self._saved_work + AGED_PORTION * _work(task)
        self._saved_work = min(saved, SAVED_WORK_MAX)

    def spend(self, task: _tasks.PendingTask) -> None:
        """Count a placement that an aged group had out of its turn."""
        self._saved_work -= _work(task)

    @property
    def may_spend(self) -> bool:
        """Return whether an aged group may have a placement out of turn."""
        return self._saved_work >= 0

    def due(self, now_ms: int) -> list[tuple[int, _Group]]:
        """Return groups to be tried now, mostly none; they had their turn.

        Those that can't be served go to the end all the same, so that they
        don't keep others from their turn.
        """
        if self._placements_count < PLACEMENTS_PER_TRY or not self.may_spend:
            return []
        self._placements_count = 0
        found: list[tuple[int, _Group]] = []
        for number, (since_ms, group) in self._order.items():
            if len(found) >= TRIED_COUNT or now_ms - since_ms < AGED_MS:
                break
            found.append((number, group))
        return found


def _work(task: _tasks.PendingTask) -> int:
    """Return millicores times milliseconds."""
    run_ms = min(task.expected_run_ms, RUN_MS_MAX)
    return run_ms * max(1, task.resources.cpu_millicores)
