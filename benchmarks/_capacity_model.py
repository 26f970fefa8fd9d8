"""Estimates the needs of the target size from measured unit costs."""

import dataclasses
import json
import math
import pathlib
import statistics
import typing

WORKERS_COUNT = 9_500
STARTS_PER_S = 1_900
RUNNING_COUNT = 54_000
TEAMS_COUNT = 370
RULES_CHANGES_PER_DAY = 6_700
DAY_S = 86_400
VMS_COUNT = 22
NODE_CPU_PORTION = 0.044
NODE_MEMORY_MB = 256
NODE_BYTES_PER_S = 3_000

# Assumed, as the requirements do not state the size of an entry-level VM.
VM_CORES = 2
VM_MEMORY_GB = 4
# One Python process runs on one core at a time, and needs some headroom.
CORE_PORTION = 0.7
HEARTBEAT_MS = 500
RETENTION_S = 600
# Half of the 1.3 s within which urgent tasks have to start.
PAUSE_MAX_MS = 650
CHECKS_PER_S = 4
EDIT_S = 30
VOTERS_COUNT = 3

Figures = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Model:
    """The committed results and the unit costs derived from them."""

    state: Figures
    end_to_end: Figures
    failover: Figures
    heartbeats: Figures
    placement: Figures

    def size(self, workers: int, running: int, ended: int = 0) -> Figures:
        """Return the figures of one size of the state."""
        for one in self.state['sizes']:
            found = one['workers_count'], one['running_count']
            if (*found, one['ended_count']) == (workers, running, ended):
                return one
        raise KeyError(f'no run with {workers}, {running}, {ended}')

    @property
    def full(self) -> Figures:
        """The figures of the state at the target size, without ended tasks."""
        return self.size(WORKERS_COUNT, RUNNING_COUNT)

    @property
    def most_ended(self) -> Figures:
        """The figures of the state with the most ended tasks."""
        return max(self.state['sizes'], key=lambda one: one['ended_count'])

    @property
    def ended_at_peak_count(self) -> int:
        """Number of ended tasks on record at the peak start rate."""
        return STARTS_PER_S * RETENTION_S

    @property
    def running_bytes(self) -> float:
        """Bytes of memory per running task in a controller's state."""
        return self.full['rss_running_bytes'] / RUNNING_COUNT

    @property
    def ended_bytes(self) -> float:
        """Bytes of memory per ended task that is still on record."""
        most = self.most_ended
        return most['rss_ended_bytes'] / most['ended_count']

    @property
    def worker_bytes(self) -> float:
        """Bytes of memory per worker in a controller's state."""
        return self.full['rss_workers_bytes'] / WORKERS_COUNT

    @property
    def state_bytes(self) -> float:
        """Bytes of memory of the state at the target's peak."""
        return (
            RUNNING_COUNT * self.running_bytes
            + self.ended_at_peak_count * self.ended_bytes
            + WORKERS_COUNT * self.worker_bytes
        )

    @property
    def snapshot_us_per_running(self) -> float:
        """Snapshot time per running task in microseconds."""
        return self.full['snapshot_ms'] * 1_000 / RUNNING_COUNT

    @property
    def snapshot_us_per_ended(self) -> float:
        """Snapshot time per ended task in microseconds."""
        most = self.most_ended
        more_ms = most['snapshot_ms'] - self.full['snapshot_ms']
        return more_ms * 1_000 / most['ended_count']

    @property
    def snapshot_pause_ms(self) -> float:
        """How long a snapshot locks the state at the target's peak."""
        ended_us = self.ended_at_peak_count * self.snapshot_us_per_ended
        return self.full['snapshot_ms'] + ended_us / 1_000

    def start_us(self, kind: str, role: str) -> float:
        """Return the processor time of a role for one start.

        It is the median of the runs, in microseconds, and covers all
        processes of the role. ``kind`` is ``durable`` or ``waiting``.
        """
        count = {'durable': 'started_count', 'waiting': 'answered_count'}
        return statistics.median(
            one['roles'][role]['cpu_s_of_all'] / one[count[kind]] * 1e6
            for one in self.end_to_end[kind]
        )

    def heartbeat_us(self, role: str) -> float:
        """Return the time of a heartbeat with six attempts in microseconds."""
        run = self.heartbeats['runs'][-1]
        usage = run['roles'][role]
        return (
            usage['cpu_s_of_all']
            / usage['seconds']
            / run['heartbeats_per_s']
            * 1e6
        )

    def heartbeats_cores(self, role: str, interval_ms: int) -> float:
        """Return the cores that the heartbeats of all workers need."""
        heartbeats_per_s = WORKERS_COUNT * 1_000 / interval_ms
        return heartbeats_per_s * self.heartbeat_us(role) / 1e6

    def starts_cores(self, kind: str, role: str) -> float:
        """Return the cores that the starts of the target size need."""
        return STARTS_PER_S * self.start_us(kind, role) / 1e6

    @property
    def log_bytes(self) -> float:
        """Bytes in the log per durable task: admitted, assigned and ended."""
        row = self.state['bytes']['64']
        return (
            row['admit_bytes'] + row['assign_durable_bytes'] + row['end_bytes']
        )

    @property
    def log_zlib_bytes(self) -> float:
        """Bytes in the log per durable task, compressed in batches of 64."""
        row = self.state['bytes']['64']
        return (
            row['admit_zlib_bytes']
            + row['assign_durable_zlib_bytes']
            + row['end_zlib_bytes']
        )

    @property
    def node_bytes_per_task(self) -> float:
        """Bytes per second that a worker sends for each running task."""
        idle, busy = self.end_to_end['node']
        more = busy['sent_bytes_per_s'] - idle['sent_bytes_per_s']
        return more / busy['running_count']

    @property
    def node_running_max(self) -> float:
        """Running tasks at which a worker's traffic reaches the budget."""
        idle = self.end_to_end['node'][0]
        fixed = idle['sent_bytes_per_s'] + idle['received_bytes_per_s']
        return (NODE_BYTES_PER_S - fixed) / self.node_bytes_per_task

    def shards_count(self, kind: str, interval_ms: int) -> int:
        """Return the number of leaders needed if the cell is sharded."""
        cores = self.starts_cores(kind, 'leader')
        cores += self.heartbeats_cores('leader', interval_ms)
        return math.ceil(cores / CORE_PORTION)

    def gateways_count(self, kind: str, interval_ms: int) -> int:
        """Return the number of gateway processes that are needed."""
        cores = self.starts_cores(kind, 'gateway')
        cores += self.heartbeats_cores('gateway', interval_ms)
        return math.ceil(cores / CORE_PORTION)

    def conflict_portion(self) -> float:
        """Return the portion of edits of the rules file that conflict."""
        rate = RULES_CHANGES_PER_DAY / DAY_S
        return 1 - math.exp(-rate * EDIT_S)


def load(folder: pathlib.Path) -> Model:
    """Read the result files of a folder."""

    def read(name: str) -> Figures:
        return json.loads((folder / f'{name}.json').read_text())

    return Model(
        read('state'),
        read('end_to_end'),
        read('failover'),
        read('heartbeats'),
        read('placement_speed'),
    )
