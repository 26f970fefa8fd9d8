"""What a node needs from its owner, and what it reports about itself."""

import dataclasses
import enum
import typing

from dandeliondrum import messages


class StateMachine(typing.Protocol):
    """The replicated state; all methods are called from one thread.

    ``apply`` must give the same result on each node for the same sequence
    of commands. An exception from it ends the process, since the nodes would
    no longer agree.
    """

    def apply(self, index: int, command: bytes) -> typing.Any:
        """Carry out one command and return what its proposer gets."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""


class Listener(typing.Protocol):
    """Is notified of the node's role, in order, in a thread of its own."""

    def on_leading(self, term: messages.Term) -> None:
        """The node leads, and all that was agreed before is applied."""

    def on_following(self) -> None:
        """The node leads no more."""


class Role(enum.Enum):
    """What a node does in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member, with what the leader knows of it.

    ``match_index`` and ``silent_ms`` are -1 where this node doesn't know.
    """

    controller_id: messages.ControllerId
    address: str
    disk_id: str
    voter: bool
    match_index: int
    silent_ms: int
    storage_full: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStatus:
    """A reading of the node's state."""

    controller_id: messages.ControllerId
    role: Role
    term: messages.Term
    leader_id: messages.ControllerId | None
    leading: bool
    last_index: messages.LogIndex
    commit_index: messages.LogIndex
    applied_index: messages.LogIndex
    snapshot_index: messages.LogIndex
    disk_id: str
    members: tuple[MemberStatus, ...]

    def addresses(self) -> tuple[tuple[messages.ControllerId, str], ...]:
        """Return the members' ids and ``host:port``."""
        return tuple((one.controller_id, one.address) for one in self.members)
