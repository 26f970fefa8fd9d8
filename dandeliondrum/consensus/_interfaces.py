"""Interfaces that a node's owner implements, and the status of a node."""

import dataclasses
import enum
import typing

from dandeliondrum import messages


class StateMachine(typing.Protocol):
    """The replicated state machine; all calls come from one thread.

    ``apply`` must be deterministic: the same sequence of commands gives the
    same results on each node. An exception from it is fatal for the node,
    since the state would otherwise diverge from that of the other nodes.
    """

    def apply(self, index: int, command: bytes) -> typing.Any:
        """Apply one command and return the result for its proposer."""

    def snapshot(self) -> bytes:
        """Return the whole state in serialized form."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state by the data of a snapshot."""


class Listener(typing.Protocol):
    """Callbacks for changes of leadership, in order, from one thread.

    An exception from ``on_leading`` is fatal for the node. After one from
    ``on_following`` the node calls it again, a few times, before it is fatal.
    """

    def on_leading(self, term: messages.Term) -> None:
        """Handle the start of leadership in a term.

        All entries of earlier terms are applied by then.
        """

    def on_following(self) -> None:
        """Handle the end of leadership."""


class Role(enum.Enum):
    """Role of a node in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """A member of the cell and its replication state.

    ``match_index`` is the last index known to be stored on the member, and
    ``silent_ms`` the time since the last call that it answered was sent.
    Both are -1 where this node doesn't know them: only the leader knows
    those of other members.
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
    """Current state of a node, for monitoring.

    ``leading`` is true while a quorum has confirmed the leadership recently;
    ``role`` may stay ``LEADER`` somewhat longer. ``grants_founding`` is that
    of the options, but false after damaged files were moved.
    """

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
    grants_founding: bool = True

    def addresses(self) -> tuple[tuple[messages.ControllerId, str], ...]:
        """Return the members' ids and ``host:port``."""
        return tuple((one.controller_id, one.address) for one in self.members)
