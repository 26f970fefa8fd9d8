"""Typed rules, as read from a rules file."""

import collections.abc
import dataclasses
import types
import typing

from dandeliondrum import messages

# Means no limit where a number is required. Sums of several such values still
# fit in 64 bits.
UNLIMITED = 2**53 - 1

DEFAULT_RETRIES_MAX = 3

# The long lease of services keeps them serving while their region is cut off
# for minutes.
DEFAULT_LEASE_MS = types.MappingProxyType(
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
    """The share and the limits of a team.

    ``share`` is the weight of the team relative to other teams when the fleet
    is full. ``running_max`` and ``resources_max`` always apply, across the
    whole fleet; None means no limit, and an amount of ``UNLIMITED`` within
    ``resources_max`` means no limit on that resource.
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
    """A queue that accepts work.

    If ``is_open``, work is accepted without a key, and work that names no
    team is charged to ``team_id``. ``queued_max`` limits the number of
    waiting tasks; None means no limit specific to this queue.
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
    """A worker that an operator excludes from new tasks."""

    worker_id: messages.WorkerId
    state: messages.WorkerState
    asked_by: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Defaults:
    """Values that apply where no other rule sets them."""

    retries_max: int = DEFAULT_RETRIES_MAX
    lease_ms: collections.abc.Mapping[messages.TaskClass, int] = (
        dataclasses.field(default_factory=lambda: DEFAULT_LEASE_MS)
    )
    asked_by: str = ''


Rule = TeamRule | KeyRule | QueueRule | WorkerRule | Defaults


def _empty_mapping() -> collections.abc.Mapping[typing.Any, typing.Any]:
    return types.MappingProxyType({})


@dataclasses.dataclass(frozen=True, slots=True)
class RuleSet:
    """All rules of one rules file."""

    teams: collections.abc.Mapping[messages.TeamId, TeamRule] = (
        dataclasses.field(default_factory=_empty_mapping)
    )
    keys: collections.abc.Mapping[str, KeyRule] = dataclasses.field(
        default_factory=_empty_mapping
    )
    queues: collections.abc.Mapping[messages.QueueName, QueueRule] = (
        dataclasses.field(default_factory=_empty_mapping)
    )
    workers: collections.abc.Mapping[messages.WorkerId, WorkerRule] = (
        dataclasses.field(default_factory=_empty_mapping)
    )
    defaults: Defaults = dataclasses.field(default_factory=Defaults)


EMPTY = RuleSet()


@dataclasses.dataclass(frozen=True, slots=True)
class RulesProblem:
    """A problem for which a rules file is rejected.

    ``line`` and ``column`` count from 1.
    """

    line: int
    column: int
    detail: str
