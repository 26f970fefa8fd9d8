"""The settings of a controller."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.settings import _common
from dandeliondrum.settings import _declare

HEARTBEATS_PER_ELECTION = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerSettings:
    """Settings of a controller."""

    controller_id: messages.ControllerId = _declare.parameter(
        _common.NAME, 'Id of this controller; never given to another disk.'
    )
    cell_id: messages.CellId = _declare.parameter(
        _common.NAME, 'The cell; processes of two cells refuse each other.'
    )
    region: messages.Region = _declare.parameter(
        _common.NAME, 'Region in which the VM stands.'
    )
    failure_domain: messages.FailureDomain = _declare.parameter(
        _common.NAME, 'Failure domain in which the VM stands.'
    )
    listen_address: str = _declare.parameter(
        _common.ADDRESS, 'Listens here for controllers and gateways.'
    )
    metrics_address: str = _declare.parameter(
        _common.ADDRESS, 'Serves /metrics, /healthz and /readyz here.'
    )
    data_folder: str = _declare.parameter(
        _declare.Path(), 'Folder on the disk for log and snapshots.'
    )
    controllers: tuple[_common.ControllerAddress, ...] = _declare.parameter(
        _declare.Records(_common.ControllerAddress),
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
        _declare.Whole('ms', 1_000, 30 * _common.DAY_MS),
        'How long an ended task can be asked for.',
        600_000,
    )
    log_level: str = _common.LOG_LEVEL
    traces_per_thousand: int = _common.TRACES

    def clashes(self) -> _common.Clashes:
        """Return fields that do not go together."""
        least_ms = HEARTBEATS_PER_ELECTION * self.heartbeat_ms
        if self.election_min_ms < least_ms:
            yield _common.Clash(
                'election_min_ms',
                str(self.election_min_ms),
                f'at least {HEARTBEATS_PER_ELECTION} times heartbeat_ms, '
                f'which is {least_ms}',
            )
        if self.election_max_ms <= self.election_min_ms:
            yield _common.Clash(
                'election_max_ms',
                str(self.election_max_ms),
                f'more than election_min_ms, which is {self.election_min_ms}',
            )
        known = [item.controller_id for item in self.controllers]
        if self.controller_id not in known:
            yield _common.Clash(
                'controllers',
                ', '.join(known),
                f'a list that has {self.controller_id}, this controller',
            )
        yield from _common.distinct(self, 'listen_address', 'metrics_address')
