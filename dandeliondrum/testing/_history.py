"""What happened in a run, as its callers and workers saw it.

All times are readings of the monotonic clock in milliseconds, which the
processes of one machine share. A history holds nothing that the scheduler
says of itself.
"""

import dataclasses
import enum

from dandeliondrum import messages
from dandeliondrum import worker


class SendingKind(enum.Enum):
    """What a caller asked for."""

    WAITING = 'waiting'
    DURABLE = 'durable'
    GANG = 'gang'
    SERVICE = 'service'


class OutcomeKind(enum.Enum):
    """What a caller saw; ``ACCEPTED`` is no end."""

    ANSWERED = 'answered'
    REFUSED_NOT_RUN = 'refused_not_run'
    IN_DOUBT = 'in_doubt'
    ACCEPTED = 'accepted'


class OutageKind(enum.Enum):
    """What a test did to a process."""

    KILLED = 'killed'
    FROZEN = 'frozen'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sending:
    """One sending of a request.

    ``sending_id`` is unique in the history; the same request sent again is
    another sending. ``echo`` is what the answer has to repeat, empty when it
    repeats nothing; ``key_id`` names the key that went with it.
    """

    sending_id: str
    at_ms: float
    team_id: messages.TeamId
    request_id: str
    idempotent: bool
    kind: SendingKind = SendingKind.WAITING
    echo: str = ''
    key_id: str = ''

    @property
    def task_id(self) -> messages.TaskId:
        """The id under which workers know the task."""
        return messages.TaskId(f'{self.team_id}/{self.request_id}')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What the caller of one sending saw.

    A sending may have several: accepted and later answered, or in doubt and
    later resolved. ``echo`` and ``task_id`` come from the answer itself and
    are empty when it has none.
    """

    sending_id: str
    at_ms: float
    kind: OutcomeKind
    status: int = 200
    echo: str = ''
    task_id: messages.TaskId = messages.TaskId('')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Withdrawal:
    """A key was withdrawn, and that was acknowledged at this time."""

    key_id: str
    at_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamLimit:
    """An upper limit of a team, in force from this time on.

    None stands for no limit.
    """

    team_id: messages.TeamId
    at_ms: float = 0.0
    running_max: int | None = None
    resources_max: messages.Resources | None = None


@dataclasses.dataclass(frozen=True)
class Outage:
    """A process that was killed or frozen; a worker's name is its id."""

    name: str
    kind: OutageKind
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """Everything that a check needs to know of a run."""

    sendings: tuple[Sending, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    worker_events: tuple[worker.Event, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()
    limits: tuple[TeamLimit, ...] = ()
    outages: tuple[Outage, ...] = ()
