"""Options of a controller."""

import collections.abc
import dataclasses
import pathlib

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a controller; the names of fields end in their units.

    ``controllers`` maps the id of each controller to the address at which
    this one reaches it. ``lease_margin_ms`` allows for the difference in
    clock rate between machines over one lease. The time for which a worker
    accepts starts, counted from when it sent its last answered heartbeat, is
    added to it; see docs/DESIGN.md. ``started_ns`` has the meaning that it
    has in :class:`dandeliondrum.consensus.Options`.
    """

    controller_id: messages.ControllerId
    cell_id: messages.CellId
    region: messages.Region
    failure_domain: messages.FailureDomain
    listen_address: str
    data_folder: pathlib.Path
    controllers: collections.abc.Mapping[messages.ControllerId, str]
    metrics_address: str = ''
    heartbeat_ms: int = 100
    election_min_ms: int = 600
    election_max_ms: int = 1_200
    started_ns: int | None = None
    snapshot_every_entries: int = 20_000
    lease_margin_ms: int = 1_000
    worker_silence_ms: int = 2_500
    answer_retention_ms: int = 600_000
