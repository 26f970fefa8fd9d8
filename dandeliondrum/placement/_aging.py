"""Who has waited longest without a placement, so that none starves."""

import collections
import typing

# One placement in so many goes to the group that has had none for longest,
# whatever its class and its team's share, if that is long enough.
PLACEMENTS_PER_AGED = 20
AGED_MS = 60_000
TRIED_COUNT = 4

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

    def count_placement(self) -> None:
        """Count a placement that was made in the usual order."""
        self._placements_count += 1

    def due(self, now_ms: int) -> list[tuple[int, _Group]]:
        """Return groups to be tried now, mostly none; they had their turn.

        Those that can't be served go to the end all the same, so that they
        don't keep others from their turn.
        """
        if self._placements_count < PLACEMENTS_PER_AGED:
            return []
        self._placements_count = 0
        found: list[tuple[int, _Group]] = []
        for number, (since_ms, group) in self._order.items():
            if len(found) >= TRIED_COUNT or now_ms - since_ms < AGED_MS:
                break
            found.append((number, group))
        return found
