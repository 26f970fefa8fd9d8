"""The first message on each stream between the system's own processes."""

import dataclasses
import enum

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _ids


class PeerKind(enum.Enum):
    """Which role opened a stream."""

    CONTROLLER = 'controller'
    GATEWAY = 'gateway'


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Names the cell, so that processes of two cells never mix."""

    cell_id: _ids.CellId
    protocol_version: int
    kind: PeerKind
    peer_id: str
