"""Decodes the operator's configuration document into a job policy.

Some of the platform's names are misleading: a route is a queue of jobs; its
``Service`` is a pool of workers; a tenant is a team, with ``Weight`` as its
share and ``Cap`` as its upper limit; ``Public`` queues accept jobs without a
key.
"""

import collections.abc
import json

from returns import result

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _fields


def validate(document: bytes) -> result.Result[jobs.Policy, str]:
    """Return the policy of a valid document, or why it is invalid."""
    try:
        body = _fields.parse_object(document)
        if _fields.without_surrogates(body) != body:
            return result.Failure('the document has unpaired surrogates')
        return result.Success(_decode(body))
    except _fields.FieldError as error:
        return result.Failure(str(error))


def decode(document: bytes) -> jobs.Policy:
    """Return the policy of a document in force; raises FieldError if invalid.

    Earlier versions accepted documents in other encodings than UTF-8, with
    unpaired surrogates, which are replaced here, and with any nesting.
    """
    text = document.decode(json.detect_encoding(document), 'surrogatepass')
    body = _fields.parse_shallow_object(text)
    return _decode(_fields.without_surrogates(body))


def _decode(body: _fields.Body) -> jobs.Policy:
    pools = tuple(
        _fields.text(_fields.as_object(service, 'service'), 'Name')
        for service in _fields.array(body, 'Services')
    )
    queues = tuple(
        _decode_queue(_fields.as_object(route, 'route'), pools)
        for route in _fields.array(body, 'Routes')
    )
    teams = tuple(
        _decode_team(_fields.as_object(tenant, 'tenant'))
        for tenant in _fields.array(body, 'Tenants', [])
    )
    version = _fields.integer(body, 'Version')
    if version < 1:
        raise _fields.FieldError('Version must be at least 1')
    _reject_duplicates('service', pools)
    _reject_duplicates('route', [queue.name for queue in queues])
    _reject_duplicates(
        'host and prefix',
        [(queue.host, queue.path_prefix) for queue in queues],
    )
    _reject_duplicates('tenant', [team.team_id for team in teams])
    _reject_duplicates('key', [key for team in teams for key in team.keys])
    return jobs.Policy(version, queues, teams, pools)


def _decode_queue(
    body: _fields.Body, pools: collections.abc.Collection[str]
) -> jobs.QueuePolicy:
    pool = _fields.text(body, 'Service')
    if pool not in pools:
        raise _fields.FieldError(f'unknown service {pool}')
    if _fields.integer(body, 'TimeoutMs') <= 0:
        raise _fields.FieldError('TimeoutMs must be positive')
    advice = body.get('PlacementAdvisor')
    return jobs.QueuePolicy(
        name=messages.QueueName(_fields.text(body, 'Name')),
        host=_fields.text(body, 'Host'),
        path_prefix=_fields.text(body, 'PathPrefix'),
        pool=pool,
        priority=_fields.integer(body, 'Priority', 0),
        attempts_max=max(1, _fields.integer(body, 'MaxAttempts', 1)),
        latency_target_ms=_fields.integer(body, 'TargetLatencyMs', 0),
        stretch=_fields.number(body, 'Stretch', 1.0),
        advice=_decode_advice_policy(
            _fields.as_object(advice, 'PlacementAdvisor')
        )
        if advice
        else None,
        is_open=_fields.boolean(body, 'Public'),
    )


def _decode_advice_policy(body: _fields.Body) -> jobs.AdvicePolicy:
    return jobs.AdvicePolicy(
        decide_ms=_fields.number(body, 'DecideMs', 0.0),
        # ``PeriodMs`` is the time per worker named in a call.
        per_worker_ms=_fields.number(body, 'PeriodMs', 0.0),
        valid_ms=_fields.integer(body, 'ValidityMs'),
    )


def _decode_team(body: _fields.Body) -> jobs.TeamPolicy:
    keys = _fields.array(body, 'ApiKeys', [])
    if not all(isinstance(key, str) for key in keys):
        raise _fields.FieldError('ApiKeys must be a list of strings')
    cap = body.get('Cap') or {}
    return jobs.TeamPolicy(
        messages.TeamId(_fields.text(body, 'Name')),
        tuple(keys),
        _fields.integer(body, 'Weight', 0),
        decode_resources(_fields.as_object(cap, 'Cap')),
    )


def decode_resources(body: _fields.Body) -> messages.Resources:
    """Return resource amounts; the platform omits those that are 0."""
    return messages.Resources(
        _fields.integer(body, 'Cpu', 0),
        _fields.integer(body, 'MemMb', 0),
        _fields.integer(body, 'Gpu', 0),
    )


def _reject_duplicates(
    kind: str, values: collections.abc.Collection[object]
) -> None:
    if len(set(values)) < len(values):
        raise _fields.FieldError(f'duplicate {kind}')
