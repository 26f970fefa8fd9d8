"""Finds in valid configuration documents what is most likely a mistake.

What the product doubts in the policy is told in the platform's words. The
rest concerns fields that only the document has.
"""

import collections.abc
import re

from dandeliondrum import jobs
from dandeliondrum import json_text
from dandeliondrum.platform import _caller_api
from dandeliondrum.platform import _fields
from dandeliondrum.platform import _servers

# The path of a field and what is to be said about it.
Remark = tuple[str, str]
_Remarks = collections.abc.Iterator[Remark]

_INDEX = re.compile(r'\[\d+\]')

_LISTS = {'QUEUE': 'Routes', 'POOL': 'Services', 'TEAM': 'Tenants'}
# The field that a doubt is about, and what it means on the platform.
_DOUBTS: collections.abc.Mapping[jobs.Doubt, tuple[str, str]] = {
    jobs.Doubt.QUEUE_HOST_IMPOSSIBLE: (
        'Host',
        'no request matches: hosts are compared without a port',
    ),
    jobs.Doubt.QUEUE_PREFIX_IMPOSSIBLE: (
        'PathPrefix',
        'no request matches: paths begin with "/", without "?" and "#"',
    ),
    jobs.Doubt.QUEUE_TAKES_JOBS_OF_ANOTHER: (
        'PathPrefix',
        'the route also matches submissions to route "{other}" whose ids '
        'begin like the end of this prefix',
    ),
    jobs.Doubt.QUEUE_WITHOUT_KEYS: (
        'Public',
        'nobody may use the route: it needs a key, and no tenant has one',
    ),
    jobs.Doubt.QUEUE_TARGET_NEGATIVE: (
        'TargetLatencyMs',
        'a negative target is always missed',
    ),
    jobs.Doubt.QUEUE_STRETCH_WITHOUT_EFFECT: (
        'Stretch',
        'has no effect without TargetLatencyMs',
    ),
    jobs.Doubt.QUEUE_STRETCH_TOO_SHORT: (
        'Stretch',
        'below 1, submissions should end before their own work does',
    ),
    jobs.Doubt.QUEUE_GRANTS_EXPIRED: (
        'PlacementAdvisor.ValidityMs',
        'nothing can start: tickets are never valid',
    ),
    jobs.Doubt.POOL_UNUSED: ('Name', 'no route uses the service'),
    jobs.Doubt.TEAM_WITHOUT_KEYS: (
        'ApiKeys',
        'the tenant has no key, so nobody can act for it',
    ),
    jobs.Doubt.TEAM_KEY_EMPTY: (
        'ApiKeys',
        'with an empty key, all callers without a key act for the tenant',
    ),
    jobs.Doubt.TEAM_KEY_IMPOSSIBLE: (
        'ApiKeys',
        'no request matches a key that begins or ends with a space',
    ),
    jobs.Doubt.TEAM_SHARE_NEGATIVE: (
        'Weight',
        'a negative weight counts as 0',
    ),
    jobs.Doubt.TEAM_SHARE_WITHOUT_EFFECT: (
        'Weight',
        'has no effect: no other tenant has a weight',
    ),
    jobs.Doubt.TEAM_LIMIT_NEGATIVE: (
        'Cap',
        'nothing of the tenant can run with an amount below 0; 0 is no limit',
    ),
}

# What this version accepts, whatever the document says.
_LIMITS = {
    'MaxHeaderBytes': _servers.HEADER_BYTES_MAX,
    'MaxBodyBytes': _caller_api.BODY_BYTES_MAX,
    'HeaderTimeoutMs': _servers.REQUEST_READ_TIMEOUT_MS,
    'IdleTimeoutMs': _servers.IDLE_TIMEOUT_MS,
}

_KNOWN_FIELDS: dict[str, tuple[str, ...]] = {
    '': ('Version', 'Routes', 'Services', 'Limits', 'Tenants'),
    'Routes': (
        'Name',
        'Host',
        'PathPrefix',
        'Type',
        'TimeoutMs',
        'TargetLatencyMs',
        'Priority',
        'Service',
        'MaxAttempts',
        'Stretch',
        'PlacementAdvisor',
        'Public',
    ),
    'Routes.PlacementAdvisor': ('DecideMs', 'PeriodMs', 'ValidityMs'),
    'Services': (
        'Name',
        'HealthPath',
        'MaxConns',
        'Protocol',
        'Tls',
        'EnforcesCapacity',
        'Standby',
    ),
    'Limits': tuple(_LIMITS),
    'Tenants': ('Name', 'ApiKeys', 'Priority', 'Weight', 'Cap'),
    'Tenants.Cap': ('Cpu', 'MemMb', 'Gpu'),
}


def find_warnings(
    policy: jobs.Policy, body: _fields.Body, text: str
) -> list[Remark]:
    """Return warnings about a valid document.

    ``policy`` and ``body`` are what was read from ``text``.
    """
    standby = {
        service['Name']
        for service in body['Services']
        if service.get('Standby') is True
    }
    remarks = (
        *_odd_names(text),
        *_doubts(policy, standby),
        *_routes_to_standby(body, standby),
        *_contradictions(body),
        *_limits_without_effect(body),
    )
    return list(dict.fromkeys(remarks))


def _doubts(
    policy: jobs.Policy, standby: collections.abc.Container[str]
) -> _Remarks:
    names: dict[str, collections.abc.Iterable[str]] = {
        'Routes': (queue.name for queue in policy.queues),
        'Services': policy.pools,
        'Tenants': (team.team_id for team in policy.teams),
    }
    indices = {
        list_name: {name: index for index, name in enumerate(entries)}
        for list_name, entries in names.items()
    }
    for found in jobs.find_policy_doubts(policy):
        if found.doubt is jobs.Doubt.POOL_UNUSED and found.entry in standby:
            continue
        list_name = _LISTS[found.doubt.name.partition('_')[0]]
        index = indices[list_name][found.entry]
        field, detail = _DOUBTS[found.doubt]
        yield f'{list_name}[{index}].{field}', detail.format(other=found.other)


def _routes_to_standby(
    body: _fields.Body, standby: collections.abc.Container[str]
) -> _Remarks:
    for index, route in enumerate(body['Routes']):
        if route['Service'] in standby:
            yield (
                f'Routes[{index}].Service',
                'nothing runs until machines are moved to the service, '
                'which is a standby',
            )


def _contradictions(body: _fields.Body) -> _Remarks:
    for index, route in enumerate(body['Routes']):
        target_ms = _fields.integer(route, 'TargetLatencyMs', 0)
        timeout_ms = _fields.integer(route, 'TimeoutMs')
        if target_ms > timeout_ms:
            yield (
                f'Routes[{index}].TargetLatencyMs',
                f'is above TimeoutMs, which is {timeout_ms}',
            )
        if _fields.integer(route, 'MaxAttempts', 1) < 1:
            yield f'Routes[{index}].MaxAttempts', 'counts as 1'


def _limits_without_effect(body: _fields.Body) -> _Remarks:
    limits = body.get('Limits')
    if not isinstance(limits, dict):
        return
    for name, accepted in _LIMITS.items():
        limit = limits.get(name)
        if isinstance(limit, int) and limit > accepted:
            yield f'Limits.{name}', f'no more than {accepted} is accepted'


def _odd_names(text: str) -> _Remarks:
    names = json_text.find_names(text)
    for name in json_text.duplicate_names(names):
        yield name.path, 'is given twice; only the last one counts'
    for name in names:
        parent, _, leaf = _INDEX.sub('', name.path).rpartition('.')
        known = _KNOWN_FIELDS.get(parent, ())
        nearest = json_text.find_nearest_name(leaf, known)
        if leaf not in known and nearest:
            yield name.path, f'has no effect; did you mean "{nearest}"?'
