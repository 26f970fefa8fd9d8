"""State of a node's peers, ballots and pending calls."""

import concurrent.futures
import dataclasses
import typing

from returns import result

from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages

NS_PER_MS = 1_000_000


@dataclasses.dataclass
class Progress:
    """Replication progress of a peer, as known to the leader.

    ``sent_ns`` is the monotonic time of the last request, ``answered_ns``
    that of sending the last request that was answered. ``is_reachable`` is
    whether the most recent request was answered.
    ``readmission_disk_id`` is set once the peer is known to have lost entries
    that it had acknowledged, to the id of its current disk. It then doesn't
    count towards a quorum.
    """

    disk_id: str
    next_index: int
    match_index: int = 0
    answered_ns: int = 0
    sent_ns: int = 0
    is_reachable: bool = False
    storage_full: bool = False
    readmission_disk_id: str = ''

    def record_answer(self, sent_ns: int) -> None:
        """Record the answer to a request; answers may be out of order."""
        self.answered_ns = max(self.answered_ns, sent_ns)

    def rewind(self) -> None:
        """Resend from the first entry that is not known to be stored."""
        self.next_index = min(self.next_index, self.match_index + 1)


@dataclasses.dataclass
class Ballot:
    """A round of vote requests, with the members' answers so far.

    ``failures`` tells why a call got no answer.
    """

    term: int
    pre_vote: bool
    transfer: bool
    asked: set[messages.ControllerId] = dataclasses.field(default_factory=set)
    granted: set[messages.ControllerId] = dataclasses.field(
        default_factory=set
    )
    refused: dict[messages.ControllerId, _messages.VoteRefusal] = (
        dataclasses.field(default_factory=dict)
    )
    failures: dict[messages.ControllerId, str] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class PendingProposal:
    """A proposal that is in the log and not yet applied.

    ``term`` is the term of its entry. An entry of another term at the same
    index means that the proposal was overwritten.
    """

    term: int
    future: _work_items.ProposeFuture


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """A pending request of ``Node.confirm_leadership``.

    It succeeds once a quorum has answered requests sent after
    ``requested_ns``, and the entry at ``applied_index`` is applied.
    """

    requested_ns: int
    applied_index: int
    future: concurrent.futures.Future[result.Result[None, typing.Any]]
