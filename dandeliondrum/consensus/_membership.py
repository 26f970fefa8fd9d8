"""The membership as of each entry, and arithmetic on it."""

import collections.abc
import dataclasses

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum import messages


class MembershipHistory:
    """The memberships of a log that may still be cut back.

    A membership is in force from the moment at which it stands in the log,
    committed or not.
    """

    def __init__(self, index: int, membership: _messages.Membership) -> None:
        self._changes = [(index, membership)]

    @property
    def current(self) -> _messages.Membership:
        """The membership in force."""
        return self._changes[-1][1]

    @property
    def index(self) -> int:
        """The entry that brought the membership in force."""
        return self._changes[-1][0]

    def add(self, entries: collections.abc.Iterable[_records.Entry]) -> bool:
        """Take in what new entries change; True when they change it."""
        changed = False
        for entry in entries:
            if entry.kind is _records.EntryKind.MEMBERSHIP:
                self._changes.append((entry.index, parse(entry.payload)))
                changed = True
        return changed

    def truncate_from(self, index: int) -> bool:
        """Forget changes at this index or later; True if there were any."""
        kept = [change for change in self._changes if change[0] < index]
        changed = len(kept) < len(self._changes)
        self._changes = kept
        return changed

    def as_of(self, index: int) -> _messages.Membership:
        """Return what was in force at this entry."""
        past = [change for change in self._changes if change[0] <= index]
        return past[-1][1] if past else _messages.Membership()

    def forget_before(self, index: int) -> None:
        """Drop what is no longer needed once a snapshot has this index."""
        past = [change for change in self._changes if change[0] <= index]
        later = [change for change in self._changes if change[0] > index]
        self._changes = past[-1:] + later


def parse(payload: bytes) -> _messages.Membership:
    """Return the membership that an entry holds.

    Raises StorageError for anything else.
    """
    match messages.decode(payload):
        case result.Success(membership) if isinstance(
            membership, _messages.Membership
        ):
            return membership
    raise _errors.StorageError(
        _errors.StartError('an entry holds no membership')
    )


def quorum_count(membership: _messages.Membership) -> int:
    """Return how many voters make a quorum."""
    return len(membership.voters) // 2 + 1


def voter(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the voter with this id."""
    return _find(membership.voters, controller_id)


def learner(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the learner with this id."""
    return _find(membership.learners, controller_id)


def member(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the voter or learner with this id."""
    return _find(membership.voters + membership.learners, controller_id)


def with_learner(
    membership: _messages.Membership, new: _messages.Member
) -> _messages.Membership:
    """Return the membership with this member as a learner only."""
    rest = without(membership, new.controller_id)
    return dataclasses.replace(rest, learners=(*rest.learners, new))


def with_voter(
    membership: _messages.Membership, new: _messages.Member
) -> _messages.Membership:
    """Return the membership with this member as a voter."""
    rest = without(membership, new.controller_id)
    return dataclasses.replace(rest, voters=(*rest.voters, new))


def without(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Membership:
    """Return the membership without this member."""
    return _messages.Membership(
        tuple(
            one
            for one in membership.voters
            if one.controller_id != controller_id
        ),
        tuple(
            one
            for one in membership.learners
            if one.controller_id != controller_id
        ),
    )


def _find(
    members: tuple[_messages.Member, ...],
    controller_id: messages.ControllerId,
) -> _messages.Member | None:
    for one in members:
        if one.controller_id == controller_id:
            return one
    return None
