"""What the other threads ask of the writer thread."""

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
    """Append an entry while leading; the future gets what came of it."""

    kind: _records.EntryKind
    payload: bytes
    future: ProposeFuture


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Incoming:
    """Answer a request of another node."""

    message: _messages.Request
    reply: concurrent.futures.Future[typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Stand:
    """Enter the next term as a candidate; the future gets that term.

    It gets None when the node is no longer in ``term`` or can't write.
    """

    term: int
    entered: concurrent.futures.Future[int | None]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Found:
    """Write the first entry of a new cell and lead it in this term."""

    term: int
    membership: _messages.Membership
    future: ChangeFuture


@dataclasses.dataclass(frozen=True, slots=True)
class ObserveTerm:
    """Follow, since another node is in a later term."""

    term: int


@dataclasses.dataclass(frozen=True, slots=True)
class Compact:
    """Drop entries that a snapshot covers."""

    index: int


Work = Proposal | Incoming | Stand | Found | ObserveTerm | Compact


@dataclasses.dataclass(frozen=True, slots=True)
class Leading:
    """The listener is to be notified that the node leads."""

    term: messages.Term


@dataclasses.dataclass(frozen=True, slots=True)
class Following:
    """The listener is to be notified that the node leads no more."""


Event = Leading | Following


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Outcome:
    """A future and what it is to be resolved with."""

    future: concurrent.futures.Future[typing.Any]
    value: typing.Any


def settle(
    future: concurrent.futures.Future[typing.Any], value: typing.Any
) -> None:
    """Resolve a future, unless its owner gave it up or it has a result."""
    with contextlib.suppress(concurrent.futures.InvalidStateError):
        future.set_result(value)
