"""Messages between the nodes, and the membership as the log holds it.

Every request names the disk that it is meant for. A node whose disk is
another one refuses, so that a voter that lost its files neither votes nor
counts for a quorum under its former identity.
"""

import dataclasses
import enum

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A controller, where it listens, and which disk it has."""

    controller_id: messages.ControllerId
    address: str
    disk_id: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Who votes, and who only receives the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class FoundCell:
    """Ask an empty node for its vote for the founder of a cell."""

    term: int
    founder_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class FoundReply:
    """Whether the vote is given; only a node without a log gives one."""

    term: int
    granted: bool
    disk_id: str
    detail: str = ''


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class RequestVote:
    """Ask for a vote, or (``pre_vote``) whether one would be given.

    ``transfer`` says that the leader itself asked for this election, so
    that voters need not wait until they miss it.
    """

    term: int
    candidate_id: messages.ControllerId
    disk_id: str
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """The voter's own term, and whether it votes for the candidate."""

    term: int
    granted: bool


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AppendEntries:
    """Entries that follow ``previous_index``; without any, a heartbeat.

    ``records`` holds the records of the entries one after the other, as
    they stand on the leader's disk, deflated when ``compressed`` is set.
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
    """What a follower did with entries or a part of a snapshot."""

    STORED = 'stored'
    MISMATCH = 'mismatch'
    OLD_TERM = 'old_term'
    WRONG_DISK = 'wrong_disk'
    STORAGE_FULL = 'storage_full'
    STORAGE_FAILED = 'storage_failed'


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class AppendReply:
    """What was done with the entries.

    ``match_index`` is how far the log is synced and known to match; after
    a mismatch it is where the leader should try next. ``last_index`` is the
    end of the follower's log. ``storage_full`` is set when there is little
    room, also where the entries could still be stored.
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
    """A part of the file of a snapshot, which ends at ``length_bytes``."""

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
    """How much of the snapshot has arrived, which is where to go on."""

    term: int
    outcome: Outcome
    received_bytes: int
    disk_id: str


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """The leader asks the receiver to stand for election at once."""

    term: int
    leader_id: messages.ControllerId


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class IdentifyDisk:
    """Ask a node which disk it has, before it is taken in."""


@messages.message
@dataclasses.dataclass(frozen=True, slots=True)
class DiskIdentity:
    """Which disk a node has, and the end of its log."""

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
