"""Interfaces to workers and to the adviser, with their requests and replies.

Adapters implement :class:`WorkerPort` and :class:`AdviserPort` for the
protocol of the workers and of the adviser.
"""

import dataclasses
import enum
import typing

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _specs
from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class RunListing:
    """A run on a worker; ``percent`` is its progress from 0 to 100."""

    task: _specs.TaskKey
    run: int
    checkpoint: str
    percent: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndListing:
    """The end of a run that a worker reports until it is acknowledged."""

    sequence: int
    end: _commands.RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request to renew the lease of all runs on a worker and read its lists.

    ``lease_until_ms`` is a time on the worker's clock, or None to read the
    lists without a renewal. The worker replies after ``wait_ms`` or when the
    next run ends.
    """

    worker: _commands.WorkerFacts
    token: int
    acknowledged_number: int
    lease_until_ms: int | None
    wait_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run on a worker."""

    worker: _commands.WorkerFacts
    token: int
    task: _specs.TaskKey
    run: int
    payload: str
    lease_until_ms: int
    checkpoint: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or to prevent it from ever starting."""

    worker: _commands.WorkerFacts
    token: int
    task: _specs.TaskKey
    run: int


class Refusal(enum.Enum):
    """Reason why a worker refused a request."""

    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    LEASE_PASSED = 'lease_passed'
    NO_ROOM = 'no_room'
    NO_TICKET = 'no_ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerListing:
    """The current runs of a worker and the ends not acknowledged yet.

    ``ends_complete`` is false if not all ends fit into the reply.
    """

    clock_ms: int
    started_ms: int
    runs: tuple[RunListing, ...]
    ends: tuple[EndListing, ...]
    ends_complete: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out, now or before."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not carried out."""

    reason: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReplaced:
    """Another incarnation answers at the address; this one has ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No usable reply; if ``sent`` is false nothing reached the worker."""

    sent: bool
    detail: str


OrderOutcome = Accepted | Refused | WorkerReplaced | Unanswered
ListingOutcome = WorkerListing | Refused | WorkerReplaced | Unanswered


class WorkerPort(typing.Protocol):
    """Calls to workers; implementations are thread-safe."""

    def renew(self, request: LeaseRequest) -> ListingOutcome:
        """Renew a lease and read the lists."""

    def start(self, order: StartOrder) -> OrderOutcome:
        """Start a run."""

    def stop(self, order: StopOrder) -> OrderOutcome:
        """Stop a run."""

    def close(self) -> None:
        """Close all connections."""


class AdviserPort(typing.Protocol):
    """Calls to the adviser, one at a time from each process."""

    def ask(
        self, step: str, worker_ids: tuple[messages.WorkerId, ...]
    ) -> _calls.AdviceReply:
        """Ask which of the workers may run the step."""
