"""The history of a test run, as its callers and workers recorded it.

All times are readings of the monotonic clock in milliseconds, which the
processes of one machine share. A history contains no information reported by
the scheduler itself, so that checks stay independent of it.
"""

import dataclasses
import enum

from dandeliondrum import messages
from dandeliondrum import worker


class SendingKind(enum.Enum):
    """The kind of a request."""

    WAITING = 'waiting'
    DURABLE = 'durable'
    GANG = 'gang'
    SERVICE = 'service'


class OutcomeKind(enum.Enum):
    """The kind of an outcome; ``ACCEPTED`` is not a final one."""

    ANSWERED = 'answered'
    REFUSED_NOT_RUN = 'refused_not_run'
    IN_DOUBT = 'in_doubt'
    ACCEPTED = 'accepted'


class OutageKind(enum.Enum):
    """How a test interrupted a process."""

    KILLED = 'killed'
    FROZEN = 'frozen'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sending:
    """One transmission of a request.

    ``sending_id`` is unique in the history; resending a request creates
    another sending. ``echo`` is the value that the answer has to repeat, or
    empty; ``key_id`` is the id of the API key that was used.
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
        """The id of the task in the journals of the workers."""
        return messages.TaskId(f'{self.team_id}/{self.request_id}')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """An outcome that the caller of a sending observed.

    A sending may have several: accepted and later answered, or in doubt and
    later resolved. ``echo`` and ``task_id`` are taken from the answer and
    empty when it has none.
    """

    sending_id: str
    at_ms: float
    kind: OutcomeKind
    status: int = 200
    echo: str = ''
    task_id: messages.TaskId = messages.TaskId('')


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyWithdrawal:
    """The withdrawal of an API key, acknowledged at ``at_ms``."""

    key_id: str
    at_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamLimit:
    """An upper limit of a team, in force from ``at_ms`` on.

    None means unlimited.
    """

    team_id: messages.TeamId
    at_ms: float = 0.0
    running_max: int | None = None
    resources_max: messages.Resources | None = None


@dataclasses.dataclass(frozen=True)
class Outage:
    """A kill of a process, or a period in which it was frozen.

    ``name`` is the name of the process; for a worker it is the worker id.
    ``from_ms`` is read before a freeze and ``until_ms`` after its end, so the
    process may have run at both ends of the period.
    """

    name: str
    kind: OutageKind
    from_ms: float
    until_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class History:
    """The input of the checker: all events of one run."""

    sendings: tuple[Sending, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    worker_events: tuple[worker.Event, ...] = ()
    withdrawals: tuple[KeyWithdrawal, ...] = ()
    limits: tuple[TeamLimit, ...] = ()
    outages: tuple[Outage, ...] = ()
