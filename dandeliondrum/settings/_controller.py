"""Settings of a controller."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.settings import _common
from dandeliondrum.settings import _parameters

HEARTBEATS_PER_ELECTION_MIN = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerSettings:
    """The fields of a controller's settings file."""

    controller_id: messages.ControllerId = _parameters.parameter(
        _common.NAME, 'Id of this controller. Never reuse it for another disk.'
    )
    cell_id: messages.CellId = _parameters.parameter(
        _common.NAME,
        'The cell of this process; processes of other cells are rejected.',
    )
    region: messages.Region = _parameters.parameter(
        _common.NAME, 'Region of the VM.'
    )
    failure_domain: messages.FailureDomain = _parameters.parameter(
        _common.NAME, 'Failure domain of the VM.'
    )
    listen_address: str = _parameters.parameter(
        _common.ADDRESS,
        'Listens on this address for controllers and gateways.',
    )
    metrics_address: str = _parameters.parameter(
        _common.ADDRESS,
        'Serves /metrics, /healthz and /readyz on this address.',
    )
    data_folder: str = _parameters.parameter(
        _parameters.Path(),
        'Folder for the log and the snapshots, on a persistent disk.',
    )
    controllers: tuple[_common.ControllerAddress, ...] = _parameters.parameter(
        _parameters.Objects(_common.ControllerAddress),
        'Where the controllers are reached: id and address of each one, '
        'including this one.',
    )
    heartbeat_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 10, 10_000),
        'Time between heartbeats of the leader.',
        100,
    )
    election_min_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 50, 60_000),
        'Shortest time without contact to a leader after which this '
        'controller starts an election.',
        600,
    )
    election_max_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 100, 120_000),
        'Longest such time; the actual one is random between the two.',
        1_200,
    )
    snapshot_every_entries: int = _parameters.parameter(
        _parameters.Integer('entries', 100, 10_000_000),
        'Log entries between two snapshots.',
        20_000,
    )
    answer_retention_ms: int = _parameters.parameter(
        _parameters.Integer('ms', 1_000, 30 * _common.DAY_MS),
        'How long the state and the answer of an ended task can be queried.',
        600_000,
    )
    log_level: str = _common.LOG_LEVEL
    traces_per_thousand: int = _common.TRACES

    def conflicts(self) -> _common.Conflicts:
        """Return the fields whose values conflict with each other."""
        election_min_allowed_ms = (
            HEARTBEATS_PER_ELECTION_MIN * self.heartbeat_ms
        )
        if self.election_min_ms < election_min_allowed_ms:
            yield _common.Conflict(
                'election_min_ms',
                str(self.election_min_ms),
                f'at least {HEARTBEATS_PER_ELECTION_MIN} times heartbeat_ms, '
                f'which is {election_min_allowed_ms}',
            )
        if self.election_max_ms <= self.election_min_ms:
            yield _common.Conflict(
                'election_max_ms',
                str(self.election_max_ms),
                f'more than election_min_ms, which is {self.election_min_ms}',
            )
        known = [item.controller_id for item in self.controllers]
        if self.controller_id not in known:
            yield _common.Conflict(
                'controllers',
                ', '.join(known),
                f'a list that includes {self.controller_id}, this controller',
            )
        yield from _common.find_duplicate_addresses(
            self, 'listen_address', 'metrics_address'
        )
