"""What the target needs, worked out from measured slopes."""

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

# The letter does not say what an entry VM has.
VM_CORES = 2
VM_MEMORY_GB = 4
# One Python process runs on one core at a time, and some must be left free.
CORE_PORTION = 0.7
HEARTBEAT_MS = 500
RETENTION_S = 600
# Half of the 1.3 s within which urgent work starts.
PAUSE_MAX_MS = 650
CHECKS_PER_S = 4
EDIT_S = 30
VOTERS_COUNT = 3

Figures = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Model:
    """The committed results, and the slopes that follow from them."""

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
        """The state at the target's size, nothing ended."""
        return self.size(WORKERS_COUNT, RUNNING_COUNT)

    @property
    def most_ended(self) -> Figures:
        """The state with the most ended tasks."""
        return max(self.state['sizes'], key=lambda one: one['ended_count'])

    @property
    def ended_at_peak_count(self) -> int:
        """Tasks that ended within the retention, at the peak."""
        return STARTS_PER_S * RETENTION_S

    @property
    def running_bytes(self) -> float:
        """Memory of one running task in a controller's state."""
        return self.full['rss_running_bytes'] / RUNNING_COUNT

    @property
    def ended_bytes(self) -> float:
        """Memory of one ended task that is still on record."""
        most = self.most_ended
        return most['rss_ended_bytes'] / most['ended_count']

    @property
    def worker_bytes(self) -> float:
        """Memory of one worker."""
        return self.full['rss_workers_bytes'] / WORKERS_COUNT

    @property
    def state_bytes(self) -> float:
        """Memory of the state at the target's peak."""
        return (
            RUNNING_COUNT * self.running_bytes
            + self.ended_at_peak_count * self.ended_bytes
            + WORKERS_COUNT * self.worker_bytes
        )

    @property
    def snapshot_us_per_running(self) -> float:
        """Time that a snapshot takes for one running task."""
        return self.full['snapshot_ms'] * 1_000 / RUNNING_COUNT

    @property
    def snapshot_us_per_ended(self) -> float:
        """Time that a snapshot takes for one ended task."""
        most = self.most_ended
        more_ms = most['snapshot_ms'] - self.full['snapshot_ms']
        return more_ms * 1_000 / most['ended_count']

    @property
    def snapshot_pause_ms(self) -> float:
        """How long a snapshot holds the state at the target's peak."""
        ended_us = self.ended_at_peak_count * self.snapshot_us_per_ended
        return self.full['snapshot_ms'] + ended_us / 1_000

    def start_us(self, kind: str, role: str) -> float:
        """Processor time of all processes of a role for one start.

        ``kind`` is ``durable`` or ``waiting``.
        """
        count = {'durable': 'started_count', 'waiting': 'answered_count'}
        return statistics.median(
            one['roles'][role]['cpu_s_of_all'] / one[count[kind]] * 1e6
            for one in self.end_to_end[kind]
        )

    def heartbeat_us(self, role: str) -> float:
        """Processor time of one heartbeat with six attempts."""
        run = self.heartbeats['runs'][-1]
        usage = run['roles'][role]
        return (
            usage['cpu_s_of_all']
            / usage['seconds']
            / run['heartbeats_per_s']
            * 1e6
        )

    def heartbeats_cores(self, role: str, interval_ms: int) -> float:
        """Cores for the heartbeats of all workers."""
        heartbeats_per_s = WORKERS_COUNT * 1_000 / interval_ms
        return heartbeats_per_s * self.heartbeat_us(role) / 1e6

    def starts_cores(self, kind: str, role: str) -> float:
        """Cores for the target's starts."""
        return STARTS_PER_S * self.start_us(kind, role) / 1e6

    @property
    def log_bytes(self) -> float:
        """Bytes in the log of a durable task: taken, assigned, ended."""
        row = self.state['bytes']['64']
        return (
            row['admit_bytes'] + row['assign_durable_bytes'] + row['end_bytes']
        )

    @property
    def log_zlib_bytes(self) -> float:
        """The same, compressed in batches of 64."""
        row = self.state['bytes']['64']
        return (
            row['admit_zlib_bytes']
            + row['assign_durable_zlib_bytes']
            + row['end_zlib_bytes']
        )

    @property
    def node_bytes_per_task(self) -> float:
        """Bytes a second that one more running task costs its worker."""
        idle, busy = self.end_to_end['node']
        more = busy['sent_bytes_per_s'] - idle['sent_bytes_per_s']
        return more / busy['running_count']

    @property
    def node_running_max(self) -> float:
        """Running tasks at which a worker's bytes reach the budget."""
        idle = self.end_to_end['node'][0]
        fixed = idle['sent_bytes_per_s'] + idle['received_bytes_per_s']
        return (NODE_BYTES_PER_S - fixed) / self.node_bytes_per_task

    def shards_count(self, kind: str, interval_ms: int) -> int:
        """Leaders that the target needs if each has its slice."""
        cores = self.starts_cores(kind, 'leader')
        cores += self.heartbeats_cores('leader', interval_ms)
        return math.ceil(cores / CORE_PORTION)

    def gateways_count(self, kind: str, interval_ms: int) -> int:
        """Gateway processes that the target needs."""
        cores = self.starts_cores(kind, 'gateway')
        cores += self.heartbeats_cores('gateway', interval_ms)
        return math.ceil(cores / CORE_PORTION)

    def conflict_portion(self) -> float:
        """Edits of the one rules file that meet another's change."""
        rate = RULES_CHANGES_PER_DAY / DAY_S
        return 1 - math.exp(-rate * EDIT_S)


def load(folder: pathlib.Path) -> Model:
    """Read the results of a folder."""

    def read(name: str) -> Figures:
        return json.loads((folder / f'{name}.json').read_text())

    return Model(
        read('state'),
        read('end_to_end'),
        read('failover'),
        read('heartbeats'),
        read('placement_speed'),
    )
