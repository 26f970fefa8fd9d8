"""What a rules file says, as typed values."""

import collections.abc
import dataclasses
import types
import typing

from dandeliondrum import messages

# Stands for "no limit" where a number is needed; sums of a few of them still
# fit in 64 bits.
UNLIMITED = 2**53 - 1

RETRIES_MAX = 3

# A service in a region that is cut off for minutes goes on serving.
LEASE_MS = types.MappingProxyType(
    {
        messages.TaskClass.URGENT: 4_000,
        messages.TaskClass.BATCH: 8_000,
        messages.TaskClass.GANG: 8_000,
        messages.TaskClass.SERVICE: 300_000,
    }
)

Value = typing.TypeVar('Value')


@dataclasses.dataclass(frozen=True, slots=True)
class TeamRule:
    """What a team was granted.

    ``share`` is a weight against the shares of the other teams and counts
    when the fleet is full. ``running_max`` and ``resources_max`` hold for the
    whole fleet at all times; None means no limit, and an amount of
    ``UNLIMITED`` within ``resources_max`` means no limit on that amount.
    """

    team_id: messages.TeamId
    share: int
    running_max: int | None = None
    resources_max: messages.Resources | None = None
    asked_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRule:
    """A key of a team: the salted SHA-256 of its secret, in hexadecimal."""

    key_id: str
    team_id: messages.TeamId
    salt: str
    digest: str
    asked_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRule:
    """A queue that takes work.

    A queue with ``is_open`` takes work without a key. ``team_id`` is the
    team under which an open queue takes work that names no team.
    ``queued_max`` bounds the tasks that wait; None means no bound of its own.
    """

    queue: messages.QueueName
    is_open: bool
    task_class: messages.TaskClass
    queued_max: int | None = None
    policy: str | None = None
    team_id: messages.TeamId | None = None
    asked_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRule:
    """A worker that an operator keeps from getting tasks."""

    worker_id: messages.WorkerId
    state: messages.WorkerState
    asked_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Defaults:
    """Values that hold where no other rule says otherwise."""

    retries_max: int = RETRIES_MAX
    lease_ms: collections.abc.Mapping[messages.TaskClass, int] = (
        dataclasses.field(default_factory=lambda: LEASE_MS)
    )
    asked_by: str = ''


Rule = TeamRule | KeyRule | QueueRule | WorkerRule | Defaults


def _no_rules() -> collections.abc.Mapping[typing.Any, typing.Any]:
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class RuleSet:
    """All rules of one rules file."""

    teams: collections.abc.Mapping[messages.TeamId, TeamRule] = (
        dataclasses.field(default_factory=_no_rules)
    )
    keys: collections.abc.Mapping[str, KeyRule] = dataclasses.field(
        default_factory=_no_rules
    )
    queues: collections.abc.Mapping[messages.QueueName, QueueRule] = (
        dataclasses.field(default_factory=_no_rules)
    )
    workers: collections.abc.Mapping[messages.WorkerId, WorkerRule] = (
        dataclasses.field(default_factory=_no_rules)
    )
    defaults: Defaults = dataclasses.field(default_factory=Defaults)


EMPTY = RuleSet()


@dataclasses.dataclass(frozen=True, slots=True)
class RulesProblem:
    """Why a rules file is refused, with line and column from 1."""

    line: int
    column: int
    detail: str
