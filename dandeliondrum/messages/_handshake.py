"""The first message on each connection between processes of a cell."""

import dataclasses
import enum

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _ids


class PeerKind(enum.Enum):
    """Role of the process that opened a connection."""

    CONTROLLER = 'controller'
    GATEWAY = 'gateway'


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Identifies the sender and its cell.

    Processes of other cells are rejected.
    """

    cell_id: _ids.CellId
    protocol_version: int
    kind: PeerKind
    peer_id: str
