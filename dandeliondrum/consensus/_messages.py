"""Messages between the nodes, and the membership as stored in the log.

Votes, entries and snapshots carry the id of the receiver's disk. A node with
another disk refuses them, so that a voter that lost its files neither votes
nor counts towards a quorum under its former identity.
"""

import dataclasses
import enum

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A controller with its ``host:port`` and the id of its disk."""

    controller_id: messages.ControllerId
    address: str
    disk_id: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The voters of a cell, and the learners, which only receive the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class FoundCell:
    """Request of a bootstrapping node for the vote of an empty node."""

    term: int
    founder_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class FoundReply:
    """Reply to FoundCell; only a node without a log may grant its vote.

    ``detail`` is the reason for a refusal that a later term can't change.
    """

    term: int
    granted: bool
    disk_id: str
    detail: str = ''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RequestVote:
    """Request for a vote, or with ``pre_vote`` whether one would be granted.

    ``transfer`` is set when the leader requested this election, so that
    voters need not wait for the election timeout first.
    """

    term: int
    candidate_id: messages.ControllerId
    disk_id: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


class VoteRefusal(enum.Enum):
    """Reason why a vote or pre-vote is not granted.

    ``NO_REPLY`` is recorded by the candidate, the others are sent by voters;
    ``UNKNOWN`` is that of a voter which sends none.
    """

    UNKNOWN = 'unknown'
    NO_REPLY = 'no_reply'
    WRONG_DISK = 'wrong_disk'
    LEADER_KNOWN = 'leader_known'
    LOG_BEHIND = 'log_behind'
    OLD_TERM = 'old_term'
    VOTED = 'voted'
    STORAGE_FAILED = 'storage_failed'


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The voter's current term, and whether the vote is granted.

    ``refusal`` is the reason if it is not.
    """

    term: int
    granted: bool
    refusal: VoteRefusal = VoteRefusal.UNKNOWN


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow ``previous_index``; a heartbeat without entries.

    ``records`` holds the concatenated records of the entries in the format
    of the leader's disk, compressed with zlib when ``compressed`` is set.
    """

    term: int
    leader_id: messages.ControllerId
    disk_id: str
    previous_index: int
    previous_term: int
    commit_index: int
    records: bytes = b''
    compressed: bool = False


class Outcome(enum.Enum):
    """Result of storing entries or a part of a snapshot on a follower."""

    STORED = 'stored'
    MISMATCH = 'mismatch'
    OLD_TERM = 'old_term'
    WRONG_DISK = 'wrong_disk'
    STORAGE_FULL = 'storage_full'
    STORAGE_FAILED = 'storage_failed'


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """Reply to AppendEntries.

    ``match_index`` is the last index up to which the log is synced and known
    to match the leader's; after a mismatch it is the index at which the
    leader should try next. ``last_index`` is the end of the follower's log.
    ``storage_full`` is set when disk space is low, even if the entries could
    still be stored.
    """

    term: int
    outcome: Outcome
    match_index: int
    last_index: int
    disk_id: str
    storage_full: bool = False


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """A part of a snapshot file, whose full size is ``length_bytes``."""

    term: int
    leader_id: messages.ControllerId
    disk_id: str
    index: int
    offset_bytes: int
    length_bytes: int
    data: bytes


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Reply to InstallSnapshot.

    ``received_bytes`` is the size of the part of the file received so far.
    """

    term: int
    outcome: Outcome
    received_bytes: int
    disk_id: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Request of the leader to start an election immediately."""

    term: int
    leader_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyDisk:
    """Request for the disk id of a node that is to be added."""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DiskIdentity:
    """The disk id of a node and the last index of its log."""

    disk_id: str
    last_index: int


Request = (
    FoundCell
    | RequestVote
    | AppendEntries
    | InstallSnapshot
    | TimeoutNow
    | IdentifyDisk
)
REQUESTS = (
    FoundCell,
    RequestVote,
    AppendEntries,
    InstallSnapshot,
    TimeoutNow,
    IdentifyDisk,
)
