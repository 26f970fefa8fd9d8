"""Settings of the stand-in worker."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.settings import _common
from dandeliondrum.settings import _parameters


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkerSettings:
    """The fields of a stand-in worker's settings file."""

    worker_id: messages.WorkerId = _parameters.parameter(
        _common.NAME, 'Id of this worker.'
    )
    address: str = _parameters.parameter(
        _common.ADDRESS, 'Listens on this address for calls of gateways.'
    )
    region: messages.Region = _parameters.parameter(
        _common.NAME, 'Region of the VM.'
    )
    failure_domain: messages.FailureDomain = _parameters.parameter(
        _common.NAME, 'Failure domain of the VM.'
    )
    rack: messages.Rack = _parameters.parameter(
        _common.NAME, 'Rack of the VM.'
    )
    cpu_millicores: int = _parameters.parameter(
        _parameters.Integer('millicores', 1, 10_000_000),
        'Processors for tasks; 1000 are one core.',
    )
    memory_mb: int = _parameters.parameter(
        _parameters.Integer('MB', 1, 100_000_000), 'Memory for tasks.'
    )
    advertised_address: str = _parameters.parameter(
        _common.ADDRESS,
        'Where gateways reach this worker, if that differs from address.',
        '',
    )
    accelerators_count: int = _parameters.parameter(
        _parameters.Integer('accelerators', 0, 1_000),
        'Accelerators for tasks.',
        0,
    )
    slots_count: int = _parameters.parameter(
        _parameters.Integer('slots', 1, 10_000),
        'Tasks that may run concurrently.',
        8,
    )
    connections_count: int = _parameters.parameter(
        _parameters.Integer('connections', 1, 100_000),
        'Connections that are served concurrently.',
        64,
    )
    gateways: tuple[str, ...] = _parameters.parameter(
        _parameters.Addresses(), 'workers_address of each gateway.'
    )
    heartbeat_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 50, 60_000), 'Time between heartbeats.', 500
    )
    drain_max_ms: int = _common.DRAIN_MAX
    journal_path: str = _parameters.parameter(
        _parameters.Path(),
        'File that records each start and end of a task, for tests.',
        '',
    )
    fails_everything: bool = _parameters.parameter(
        _parameters.Boolean(),
        'Fails each task that it starts, for tests.',
        False,
    )
    log_level: str = _common.LOG_LEVEL
    traces_per_thousand: int = _common.TRACES

    def conflicts(self) -> _common.Conflicts:
        """Return the fields whose values conflict with each other."""
        if self.connections_count < self.slots_count:
            yield _common.Conflict(
                'connections_count',
                str(self.connections_count),
                f'at least slots_count, which is {self.slots_count}',
            )
