"""The settings of each role."""

import collections.abc
import dataclasses
import ipaddress

from dandeliondrum import messages
from dandeliondrum.settings import _declare
from dandeliondrum import transport

LOG_LEVELS = ('debug', 'info', 'warning', 'error', 'critical')
DAY_MS = 86_400_000
HEARTBEATS_PER_ELECTION = 3

_NAME = _declare.Name()
_ADDRESS = _declare.Address()
_LOG_LEVEL = _declare.parameter(
    _declare.Choice(LOG_LEVELS), 'Least level of log lines.', 'info'
)
_TRACES = _declare.parameter(
    _declare.Whole('traces', 0, 1_000),
    'Of a thousand traces that begin here, how many are written to the log.',
    10,
)
_DRAIN_MAX = _declare.parameter(
    _declare.Whole('ms', 0, 3_600_000),
    'How long a planned stop waits for what is under way.',
    30_000,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Clash:
    """Fields that are each allowed but do not go together."""

    field: str
    found: str
    allowed: str


Clashes = collections.abc.Iterator[Clash]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerAddress:
    """A controller and where the others reach it."""

    controller_id: messages.ControllerId = _declare.parameter(
        _NAME, 'Id of a controller.'
    )
    address: str = _declare.parameter(
        _ADDRESS, 'Where other controllers and gateways reach it.'
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerSettings:
    """Settings of a controller."""

    controller_id: messages.ControllerId = _declare.parameter(
        _NAME, 'Id of this controller; never given to another disk.'
    )
    cell_id: messages.CellId = _declare.parameter(
        _NAME, 'The cell; processes of two cells refuse each other.'
    )
    region: messages.Region = _declare.parameter(
        _NAME, 'Region in which the VM stands.'
    )
    failure_domain: messages.FailureDomain = _declare.parameter(
        _NAME, 'Failure domain in which the VM stands.'
    )
    listen_address: str = _declare.parameter(
        _ADDRESS, 'Listens here for controllers and gateways.'
    )
    metrics_address: str = _declare.parameter(
        _ADDRESS, 'Serves /metrics, /healthz and /readyz here.'
    )
    data_folder: str = _declare.parameter(
        _declare.Path(), 'Folder on the disk for log and snapshots.'
    )
    controllers: tuple[ControllerAddress, ...] = _declare.parameter(
        _declare.Records(ControllerAddress),
        'Where this controller reaches the others, itself included.',
    )
    heartbeat_ms: int = _declare.parameter(
        _declare.Whole('ms', 10, 10_000),
        'Time between heartbeats of the leader.',
        100,
    )
    election_min_ms: int = _declare.parameter(
        _declare.Whole('ms', 50, 60_000),
        'Shortest silence of the leader after which an election starts.',
        600,
    )
    election_max_ms: int = _declare.parameter(
        _declare.Whole('ms', 100, 120_000),
        'Longest silence of the leader after which an election starts.',
        1_200,
    )
    snapshot_every_entries: int = _declare.parameter(
        _declare.Whole('entries', 100, 10_000_000),
        'Log entries after which a snapshot is taken.',
        20_000,
    )
    answer_retention_ms: int = _declare.parameter(
        _declare.Whole('ms', 1_000, 30 * DAY_MS),
        'How long an ended task can be asked for.',
        600_000,
    )
    log_level: str = _LOG_LEVEL
    traces_per_thousand: int = _TRACES

    def clashes(self) -> Clashes:
        """Return fields that do not go together."""
        least_ms = HEARTBEATS_PER_ELECTION * self.heartbeat_ms
        if self.election_min_ms < least_ms:
            yield Clash(
                'election_min_ms',
                str(self.election_min_ms),
                f'at least {HEARTBEATS_PER_ELECTION} times heartbeat_ms, '
                f'which is {least_ms}',
            )
        if self.election_max_ms <= self.election_min_ms:
            yield Clash(
                'election_max_ms',
                str(self.election_max_ms),
                f'more than election_min_ms, which is {self.election_min_ms}',
            )
        known = [item.controller_id for item in self.controllers]
        if self.controller_id not in known:
            yield Clash(
                'controllers',
                ', '.join(known),
                f'a list that has {self.controller_id}, this controller',
            )
        yield from _distinct(self, 'listen_address', 'metrics_address')


@dataclasses.dataclass(frozen=True, kw_only=True)
class GatewaySettings:
    """Settings of a gateway."""

    gateway_id: messages.GatewayId = _declare.parameter(
        _NAME, 'Id of this gateway.'
    )
    cell_id: messages.CellId = _declare.parameter(
        _NAME, 'The cell; processes of two cells refuse each other.'
    )
    region: messages.Region = _declare.parameter(
        _NAME, 'Region in which the VM stands.'
    )
    failure_domain: messages.FailureDomain = _declare.parameter(
        _NAME, 'Failure domain in which the VM stands.'
    )
    callers_address: str = _declare.parameter(
        _ADDRESS, 'Serves callers here, behind the balancer.'
    )
    workers_address: str = _declare.parameter(_ADDRESS, 'Serves workers here.')
    operators_address: str = _declare.parameter(
        _ADDRESS, 'Serves operators and /metrics here.'
    )
    controllers: tuple[ControllerAddress, ...] = _declare.parameter(
        _declare.Records(ControllerAddress),
        'Where this gateway reaches the controllers.',
    )
    callers_threads_count: int = _declare.parameter(
        _declare.Whole('threads', 1, 2_000),
        'Calls of callers that are served at once.',
        96,
    )
    workers_threads_count: int = _declare.parameter(
        _declare.Whole('threads', 1, 500),
        'Calls of workers that are served at once.',
        32,
    )
    gateways_max: int = _declare.parameter(
        _declare.Whole('gateways', 1, 1_000),
        'Most gateways of the cell; each keeps to its part of the '
        'connections that a worker takes.',
        8,
    )
    body_max_bytes: int = _declare.parameter(
        _declare.Whole('bytes', 1_024, 1 << 30),
        'Longest body of a request.',
        64 * 1024 * 1024,
    )
    arrival_ms: int = _declare.parameter(
        _declare.Whole('ms', 100, 600_000),
        'Time within which a whole request has to arrive.',
        10_000,
    )
    drain_notice_ms: int = _declare.parameter(
        _declare.Whole('ms', 0, 600_000),
        'How long a planned stop tells the balancer that it is not ready '
        'before it closes its ports.',
        1_000,
    )
    drain_max_ms: int = _DRAIN_MAX
    operator_key_digest: str = _declare.parameter(
        _declare.Digest(),
        'SHA-256 of the key that operators show; needed unless '
        'operators_address is a loopback address.',
        '',
    )
    log_level: str = _LOG_LEVEL
    traces_per_thousand: int = _TRACES

    def clashes(self) -> Clashes:
        """Return fields that do not go together."""
        yield from _distinct(
            self, 'callers_address', 'workers_address', 'operators_address'
        )
        host, _ = transport.parse_address(self.operators_address)
        is_loopback = ipaddress.ip_address(host).is_loopback
        if not self.operator_key_digest and not is_loopback:
            yield Clash(
                'operator_key_digest',
                'none',
                'a digest, as operators_address is no loopback address',
            )


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerSettings:
    """Settings of the stand-in worker."""

    worker_id: messages.WorkerId = _declare.parameter(
        _NAME, 'Id of this worker.'
    )
    address: str = _declare.parameter(
        _ADDRESS, 'Listens here for calls of gateways.'
    )
    region: messages.Region = _declare.parameter(
        _NAME, 'Region in which the VM stands.'
    )
    failure_domain: messages.FailureDomain = _declare.parameter(
        _NAME, 'Failure domain in which the VM stands.'
    )
    rack: messages.Rack = _declare.parameter(
        _NAME, 'Rack in which the VM stands.'
    )
    cpu_millicores: int = _declare.parameter(
        _declare.Whole('millicores', 1, 10_000_000),
        'Processors for tasks; 1000 are one core.',
    )
    memory_mb: int = _declare.parameter(
        _declare.Whole('MB', 1, 100_000_000), 'Memory for tasks.'
    )
    advertised_address: str = _declare.parameter(
        _ADDRESS,
        'Where gateways reach this worker, when that is not its address.',
        '',
    )
    accelerators_count: int = _declare.parameter(
        _declare.Whole('accelerators', 0, 1_000),
        'Accelerators for tasks.',
        0,
    )
    slots_count: int = _declare.parameter(
        _declare.Whole('slots', 1, 10_000), 'Tasks that run at once.', 8
    )
    connections_count: int = _declare.parameter(
        _declare.Whole('connections', 1, 100_000),
        'Connections that are served at once.',
        64,
    )
    gateways: tuple[str, ...] = _declare.parameter(
        _declare.Addresses(), 'workers_address of each gateway.'
    )
    heartbeat_ms: int = _declare.parameter(
        _declare.Whole('ms', 50, 60_000), 'Time between heartbeats.', 500
    )
    drain_max_ms: int = _DRAIN_MAX
    journal_path: str = _declare.parameter(
        _declare.Path(),
        'File to which each start and end is written, for tests.',
        '',
    )
    fails_everything: bool = _declare.parameter(
        _declare.Flag(), 'Fails each task that it starts, for tests.', False
    )
    log_level: str = _LOG_LEVEL
    traces_per_thousand: int = _TRACES

    def clashes(self) -> Clashes:
        """Return fields that do not go together."""
        if self.connections_count < self.slots_count:
            yield Clash(
                'connections_count',
                str(self.connections_count),
                f'at least slots_count, which is {self.slots_count}',
            )


Settings = ControllerSettings | GatewaySettings | WorkerSettings

# The field that tells which role a file is for.
ROLE_FIELDS: collections.abc.Mapping[str, type[Settings]] = {
    'gateway_id': GatewaySettings,
    'worker_id': WorkerSettings,
    'controller_id': ControllerSettings,
}


def _distinct(settings: Settings, *names: str) -> Clashes:
    """Find addresses that stand twice; port 0 takes any free port."""
    seen: dict[str, str] = {}
    for name in names:
        address = getattr(settings, name)
        if address in seen and not address.endswith(':0'):
            yield Clash(
                name, address, f'another address than {seen[address]} has'
            )
        seen.setdefault(address, name)
