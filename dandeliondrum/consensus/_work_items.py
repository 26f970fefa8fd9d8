"""Work items for the writer thread, and events for other threads."""

import concurrent.futures
import contextlib
import dataclasses
import typing

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum import messages

ProposeResult = result.Result[typing.Any, _errors.ProposeError]
ProposeFuture = concurrent.futures.Future[ProposeResult]
ChangeResult = result.Result[None, _errors.ChangeError]
ChangeFuture = concurrent.futures.Future[ChangeResult]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Proposal:
    """Append an entry as leader; the future receives the result."""

    kind: _records.EntryKind
    payload: bytes
    future: ProposeFuture


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PeerRequest:
    """Handle a request of another node and resolve its reply."""

    message: _messages.Request
    reply: concurrent.futures.Future[typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class StartElection:
    """Enter the term after ``term`` as a candidate.

    The future receives the new term, or None when the node is no longer in
    ``term``, has heard the leader again or can't store the new term. In a
    ``transfer`` the leader is heard and expects the election.
    """

    term: int
    transfer: bool
    entered_term: concurrent.futures.Future[int | None]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class BootstrapCell:
    """Write the first entry of a new cell and become its leader."""

    term: int
    membership: _messages.Membership
    future: ChangeFuture


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveTerm:
    """Enter a later term, seen on another node, as a follower."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Compact:
    """Drop log segments up to ``index``, which a snapshot covers."""

    index: int


WorkItem = (
    Proposal
    | PeerRequest
    | StartElection
    | BootstrapCell
    | ObserveTerm
    | Compact
)


@dataclasses.dataclass(frozen=True, slots=True)
class StartedLeading:
    """Notify the listener that the node has become leader."""

    term: messages.Term


@dataclasses.dataclass(frozen=True, slots=True)
class StoppedLeading:
    """Notify the listener that the node is no longer leader."""


RoleEvent = StartedLeading | StoppedLeading


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Resolution:
    """A future and the value to resolve it with."""

    future: concurrent.futures.Future[typing.Any]
    value: typing.Any


def resolve_future(
    future: concurrent.futures.Future[typing.Any], value: typing.Any
) -> None:
    """Resolve a future unless it is already resolved or cancelled."""
    with contextlib.suppress(concurrent.futures.InvalidStateError):
        future.set_result(value)
