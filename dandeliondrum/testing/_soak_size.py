"""The size of a soak, and whether a machine bears it."""

import dataclasses

import psutil

PROCESSES_MAX = 299
MEMORY_MAX_MB = 16_000
# Of a controller or gateway, with room for what a run adds to it.
PROCESS_MEMORY_MB = 200
# Of the soak itself: its own, and for the threads that serve one worker or
# one gateway's link.
BASE_MEMORY_MB = 300
MEMORY_PER_WORKER_MB = 5


@dataclasses.dataclass(frozen=True)
class SoakSize:
    """Numbers of processes, of workers, of callers and of faults at once.

    Workers and callers are threads of the soak. The links to so many workers
    and gateways can be faulty. ``overload_callers_count`` callers together
    exceed the capacity of the cell.
    """

    controllers_count: int = 3
    gateways_count: int = 2
    workers_count: int = 4
    links_count: int = 4
    callers_count: int = 2
    overload_callers_count: int = 100
    faults_at_once: int = 3

    @property
    def processes_count(self) -> int:
        """Number of processes, with the soak itself."""
        return self.controllers_count + self.gateways_count + 1

    @property
    def memory_mb(self) -> int:
        """The most memory that the soak is expected to use."""
        processes = self.controllers_count + self.gateways_count
        return (
            BASE_MEMORY_MB
            + processes * PROCESS_MEMORY_MB
            + self.workers_count * MEMORY_PER_WORKER_MB
        )


SIZES = {
    'small': SoakSize(),
    # Its gateways forward more calls at once than slowed controllers bear.
    'medium': SoakSize(
        gateways_count=6,
        workers_count=8,
        callers_count=3,
        overload_callers_count=240,
    ),
    'large': SoakSize(
        controllers_count=5,
        gateways_count=40,
        workers_count=100,
        links_count=8,
        callers_count=16,
        overload_callers_count=400,
        faults_at_once=8,
    ),
}


def check_machine(
    size: SoakSize, total_mb: int, available_mb: int
) -> str | None:
    """Return why a machine with this memory does not bear a soak, or None."""
    if size.controllers_count < 3 or size.controllers_count % 2 == 0:
        return 'a cell needs an odd number of controllers, 3 at least'
    if min(size.gateways_count, size.workers_count) < 1:
        return 'a soak needs at least one gateway and one worker'
    if size.processes_count > PROCESSES_MAX:
        return (
            f'{size.processes_count} processes are more than {PROCESSES_MAX}'
        )
    limit_mb = min(MEMORY_MAX_MB, total_mb // 2, available_mb)
    if size.memory_mb > limit_mb:
        return (
            f'the soak needs {size.memory_mb} MB of memory; at most {limit_mb}'
            f' MB may be used (half of {total_mb} MB, {available_mb} MB are'
            ' available)'
        )
    return None


def check_this_machine(size: SoakSize) -> str | None:
    """Return why this machine does not bear a soak, or None."""
    memory = psutil.virtual_memory()
    return check_machine(
        size, memory.total // 1_000_000, memory.available // 1_000_000
    )
