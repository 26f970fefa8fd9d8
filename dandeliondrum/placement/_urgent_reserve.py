"""Capacity that is kept free of batch tasks for urgent tasks."""

import math

from dandeliondrum import messages
from dandeliondrum.placement import _fleet_index
from dandeliondrum.placement import _ledger
from dandeliondrum.placement import _tasks

# Fraction of the fleet that is reserved, as long as an urgent task was
# submitted within the last URGENT_RECENCY_MS.
RESERVED_FRACTION = 0.02
URGENT_RECENCY_MS = 600_000
# Standard deviations of the number of running urgent tasks that are reserved
# on top.
STD_DEVIATIONS = 1.0


class UrgentReserve:
    """Decides when the free capacity is reserved for urgent tasks."""

    def __init__(
        self, ledger: _ledger.Ledger, index: _fleet_index.FleetIndex
    ) -> None:
        self._ledger = ledger
        self._index = index
        self._running_count = 0
        self._last_ms: int | None = None

    def note_added(self, task: _tasks.PendingTask) -> None:
        """Record the submission of a task."""
        if task.task_class is messages.TaskClass.URGENT:
            self._last_ms = max(task.submitted_ms, self._last_ms or 0)

    def count(self, task: _tasks.PendingTask, sign: int) -> None:
        """Count a task that started (1) or ended (-1)."""
        if task.task_class is messages.TaskClass.URGENT:
            self._running_count += sign

    def is_reached(self, now_ms: int) -> bool:
        """Return whether batch tasks must not use what is still free."""
        if self._last_ms is None or now_ms - self._last_ms > URGENT_RECENCY_MS:
            return False
        totals = self._ledger.fleet.totals
        slots_count = totals.slots_count or 1
        # The standard deviation of the number of running urgent tasks is
        # about the square root of that number.
        std_deviation = math.sqrt(self._running_count) / slots_count
        fraction = RESERVED_FRACTION + STD_DEVIATIONS * std_deviation
        index = self._index
        return (
            index.free_slots_count <= fraction * slots_count
            or index.free_cpu_millicores <= fraction * totals.cpu_millicores
            or index.free_memory_mb <= fraction * totals.memory_mb
        )
