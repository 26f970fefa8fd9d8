"""History of the membership in the log, and operations on memberships."""

import collections.abc
import dataclasses

from returns import result

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _records
from dandeliondrum import messages


class MembershipHistory:
    """Memberships of a log, including entries that may still be truncated.

    A membership takes effect as soon as its entry is in the log, whether it
    is committed or not.
    """

    def __init__(self, index: int, membership: _messages.Membership) -> None:
        self._versions = [(index, membership)]

    @property
    def current(self) -> _messages.Membership:
        """The membership in effect."""
        return self._versions[-1][1]

    @property
    def index(self) -> int:
        """The index of the entry with the membership in effect."""
        return self._versions[-1][0]

    def add(self, entries: collections.abc.Iterable[_records.Entry]) -> bool:
        """Add the memberships of new entries; True when there are any."""
        changed = False
        for entry in entries:
            if entry.kind is _records.EntryKind.MEMBERSHIP:
                self._versions.append(
                    (entry.index, decode_membership(entry.payload))
                )
                changed = True
        return changed

    def truncate_from(self, index: int) -> bool:
        """Remove memberships at ``index`` or later; True if any were."""
        kept = [change for change in self._versions if change[0] < index]
        changed = len(kept) < len(self._versions)
        self._versions = kept
        return changed

    def as_of(self, index: int) -> _messages.Membership:
        """Return the membership that was in effect at this entry."""
        past = [change for change in self._versions if change[0] <= index]
        return past[-1][1] if past else _messages.Membership()

    def forget_before(self, index: int) -> None:
        """Drop memberships that a snapshot at ``index`` makes obsolete."""
        past = [change for change in self._versions if change[0] <= index]
        later = [change for change in self._versions if change[0] > index]
        self._versions = past[-1:] + later


def decode_membership(payload: bytes) -> _messages.Membership:
    """Return the membership in the payload of an entry.

    Raises StorageError when the payload is anything else.
    """
    match messages.decode(payload):
        case result.Success(membership) if isinstance(
            membership, _messages.Membership
        ):
            return membership
    raise _errors.StorageError(
        _errors.StartError('a membership entry can not be decoded')
    )


def quorum_count(membership: _messages.Membership) -> int:
    """Return the number of voters that form a quorum."""
    return len(membership.voters) // 2 + 1


def voter(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the voter with this id, None when there is none."""
    return _find(membership.voters, controller_id)


def learner(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the learner with this id, None when there is none."""
    return _find(membership.learners, controller_id)


def member(
    membership: _messages.Membership, controller_id: messages.ControllerId
) -> _messages.Member | None:
    """Return the voter or learner with this id, None when not a member."""
    return _find(membership.voters + membership.learners, controller_id)


def with_learner(
    membership: _messages.Membership, new: _messages.Member
) -> _messages.Membership:
    """Return the membership with this member added as a learner.

    A voter with the same id is removed.
    """
    rest = without(membership, new.controller_id)
    return dataclasses.replace(rest, learners=(*rest.learners, new))


def with_voter(
    membership: _messages.Membership, new: _messages.Member
) -> _messages.Membership:
    """Return the membership with this member added as a voter.

    A learner with the same id is removed.
    """
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
