"""The room that batch tasks leave free for urgent ones."""

import math

from dandeliondrum import messages
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks

# Part of the fleet that is kept, as long as an urgent task came within the
# last minutes.
PORTION = 0.02
MEMORY_MS = 600_000
# How much the reserve grows with the variation of urgent work.
SPREADS = 1.0


class UrgentReserve:
    """Decides when batch tasks have to leave the rest to urgent ones."""

    def __init__(
        self, ledger: _ledger.Ledger, index: _fleet_index.FleetIndex
    ) -> None:
        self._ledger = ledger
        self._index = index
        self._running_count = 0
        self._last_ms: int | None = None

    def note_added(self, task: _tasks.PendingTask) -> None:
        """Note a task that was submitted."""
        if task.task_class is messages.TaskClass.URGENT:
            self._last_ms = max(task.submitted_ms, self._last_ms or 0)

    def count(self, task: _tasks.PendingTask, sign: int) -> None:
        """Note a task that runs (1) or has ended (-1)."""
        if task.task_class is messages.TaskClass.URGENT:
            self._running_count += sign

    def is_reached(self, now_ms: int) -> bool:
        """Return whether what is left is kept for urgent tasks."""
        if self._last_ms is None or now_ms - self._last_ms > MEMORY_MS:
            return False
        totals = self._ledger.fleet.totals
        slots_count = totals.slots_count or 1
        # The number of running urgent tasks varies by about its root.
        spread = math.sqrt(self._running_count) / slots_count
        portion = PORTION + SPREADS * spread
        index = self._index
        return (
            index.free_slots_count <= portion * slots_count
            or index.free_cpu_millicores <= portion * totals.cpu_millicores
            or index.free_memory_mb <= portion * totals.memory_mb
        )
