"""Review of a valid policy before it is put in force.

What is found here is valid and yet most likely a mistake: entries that no
request or run can ever match, and limits that contradict each other. Whether
a limit is too low for a job, or a pool has no workers, can't be told from a
policy, because jobs and workers are not part of it.
"""

import collections.abc
import dataclasses
import enum

from dandeliondrum.jobs import _policy

_JOB_ID_DIGITS = 16
_HEXADECIMAL = frozenset('0123456789abcdefABCDEF')

_Doubts = collections.abc.Iterator['PolicyDoubt']


class Doubt(enum.Enum):
    """A way in which an entry of a policy is most likely wrong.

    The first word of a name is the kind of the entry.
    """

    QUEUE_HOST_IMPOSSIBLE = enum.auto()
    QUEUE_PREFIX_IMPOSSIBLE = enum.auto()
    QUEUE_TAKES_JOBS_OF_ANOTHER = enum.auto()
    QUEUE_WITHOUT_KEYS = enum.auto()
    QUEUE_TARGET_NEGATIVE = enum.auto()
    QUEUE_STRETCH_WITHOUT_EFFECT = enum.auto()
    QUEUE_STRETCH_TOO_SHORT = enum.auto()
    QUEUE_GRANTS_EXPIRED = enum.auto()
    POOL_UNUSED = enum.auto()
    TEAM_WITHOUT_KEYS = enum.auto()
    TEAM_KEY_EMPTY = enum.auto()
    TEAM_KEY_IMPOSSIBLE = enum.auto()
    TEAM_SHARE_NEGATIVE = enum.auto()
    TEAM_SHARE_WITHOUT_EFFECT = enum.auto()
    TEAM_LIMIT_NEGATIVE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyDoubt:
    """A doubt about the queue, pool or team with the name ``entry``.

    ``other`` names the other entry if the doubt is about two.
    """

    doubt: Doubt
    entry: str
    other: str = ''


def find_policy_doubts(policy: _policy.Policy) -> tuple[PolicyDoubt, ...]:
    """Return the entries of a valid policy that are most likely mistakes.

    Example::

        for found in jobs.find_policy_doubts(policy):
            print(found.doubt.name, found.entry)
    """
    return (
        *_queues_never_matched(policy),
        *_queues_with_ids_of_others(policy),
        *_queues_without_keys(policy),
        *_objectives_that_contradict(policy),
        *_pools_unused(policy),
        *_teams_without_keys(policy),
        *_shares_without_effect(policy),
        *_limits_that_stop_all(policy),
    )


def _queues_never_matched(policy: _policy.Policy) -> _Doubts:
    for queue in policy.queues:
        # Callers' hosts are compared without their port.
        if not queue.host or ':' in queue.host:
            yield PolicyDoubt(Doubt.QUEUE_HOST_IMPOSSIBLE, queue.name)
        prefix = queue.path_prefix
        if not prefix.startswith('/') or '?' in prefix or '#' in prefix:
            yield PolicyDoubt(Doubt.QUEUE_PREFIX_IMPOSSIBLE, queue.name)


def _queues_with_ids_of_others(policy: _policy.Policy) -> _Doubts:
    """Yield queues whose prefix is that of another and the start of an id."""
    queues = {
        (queue.host, queue.path_prefix): queue for queue in policy.queues
    }
    for queue in policy.queues:
        prefix = queue.path_prefix
        for digits in range(1, min(_JOB_ID_DIGITS, len(prefix)) + 1):
            if prefix[-digits] not in _HEXADECIMAL:
                break
            other = queues.get((queue.host, prefix[:-digits]))
            if other is not None:
                yield PolicyDoubt(
                    Doubt.QUEUE_TAKES_JOBS_OF_ANOTHER, queue.name, other.name
                )


def _queues_without_keys(policy: _policy.Policy) -> _Doubts:
    if any(team.keys for team in policy.teams):
        return
    for queue in policy.queues:
        if not queue.is_open:
            yield PolicyDoubt(Doubt.QUEUE_WITHOUT_KEYS, queue.name)


def _objectives_that_contradict(policy: _policy.Policy) -> _Doubts:
    for queue in policy.queues:
        if queue.latency_target_ms < 0:
            yield PolicyDoubt(Doubt.QUEUE_TARGET_NEGATIVE, queue.name)
        if not queue.latency_target_ms and queue.stretch != 1.0:
            yield PolicyDoubt(Doubt.QUEUE_STRETCH_WITHOUT_EFFECT, queue.name)
        if queue.latency_target_ms and queue.stretch < 1.0:
            yield PolicyDoubt(Doubt.QUEUE_STRETCH_TOO_SHORT, queue.name)
        if queue.advice is not None and queue.advice.valid_ms <= 0:
            yield PolicyDoubt(Doubt.QUEUE_GRANTS_EXPIRED, queue.name)


def _pools_unused(policy: _policy.Policy) -> _Doubts:
    used = {queue.pool for queue in policy.queues}
    for pool in policy.pools:
        if pool not in used:
            yield PolicyDoubt(Doubt.POOL_UNUSED, pool)


def _teams_without_keys(policy: _policy.Policy) -> _Doubts:
    for team in policy.teams:
        if not team.keys:
            yield PolicyDoubt(Doubt.TEAM_WITHOUT_KEYS, team.team_id)
        if '' in team.keys:
            yield PolicyDoubt(Doubt.TEAM_KEY_EMPTY, team.team_id)
        # Values of headers are read without the space around them.
        if any(key != key.strip() for key in team.keys):
            yield PolicyDoubt(Doubt.TEAM_KEY_IMPOSSIBLE, team.team_id)


def _shares_without_effect(policy: _policy.Policy) -> _Doubts:
    """Yield negative shares, and a share that is weighed against no other."""
    weighed = [team for team in policy.teams if team.share > 0]
    if len(weighed) == 1:
        (team,) = weighed
        yield PolicyDoubt(Doubt.TEAM_SHARE_WITHOUT_EFFECT, team.team_id)
    for team in policy.teams:
        if team.share < 0:
            yield PolicyDoubt(Doubt.TEAM_SHARE_NEGATIVE, team.team_id)


def _limits_that_stop_all(policy: _policy.Policy) -> _Doubts:
    """Yield teams that may run nothing; a limit of 0 means no limit."""
    for team in policy.teams:
        limit = team.limit
        amounts = (
            limit.cpu_millicores,
            limit.memory_mb,
            limit.accelerators_count,
        )
        if min(amounts) < 0:
            yield PolicyDoubt(Doubt.TEAM_LIMIT_NEGATIVE, team.team_id)
