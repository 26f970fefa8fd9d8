"""What a node remembers of its peers, votes and waiting callers."""

import concurrent.futures
import dataclasses
import typing

from returns import result

from dandeliondrum.consensus import _works
from dandeliondrum import messages

NS_PER_MS = 1_000_000


@dataclasses.dataclass
class Progress:
    """How far a peer's log is, as the leader knows.

    ``answered_ns`` is when the last call was sent that was answered; ``up``
    is whether the last call of all was.
    ``lost_disk_id`` is set when the peer no longer has what it had
    acknowledged, to the id of the disk that it has now; it then counts for
    no quorum.
    """

    disk_id: str
    next_index: int
    match_index: int = 0
    answered_ns: int = 0
    sent_ns: int = 0
    up: bool = False
    storage_full: bool = False
    lost_disk_id: str = ''

    def rewind(self) -> None:
        """Send again what is not known to have arrived."""
        self.next_index = min(self.next_index, self.match_index + 1)


@dataclasses.dataclass
class Ballot:
    """A round of asking for votes."""

    term: int
    pre_vote: bool
    transfer: bool
    asked: set[messages.ControllerId] = dataclasses.field(default_factory=set)
    granted: set[messages.ControllerId] = dataclasses.field(
        default_factory=set
    )
    refused: set[messages.ControllerId] = dataclasses.field(
        default_factory=set
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A proposal that stands in the log and is not yet applied."""

    term: int
    future: _works.ProposeFuture


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Someone waits until a quorum has answered a later call."""

    asked_ns: int
    applied_index: int
    future: concurrent.futures.Future[result.Result[None, typing.Any]]
