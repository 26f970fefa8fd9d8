"""Declares the kinds of rules, their fields and their constructors."""

import collections.abc
import dataclasses
import types
import typing

from dandeliondrum import messages
from dandeliondrum.rules import _checks
from dandeliondrum.rules import _model

SHARE_MAX = 1_000_000
COUNT_MAX = 1_000_000_000
RETRIES_MAX_LIMIT = 100
LEASE_MIN_MS = 1_000
LEASE_MAX_MS = 3_600_000
SALT_DIGITS_MIN = 16
SALT_DIGITS_MAX = 128
DIGEST_DIGITS = 64

RuleFields = collections.abc.Mapping[str, typing.Any]
_CLASSES = tuple(kind.value for kind in messages.TaskClass)
_check_lease = _checks.integer(LEASE_MIN_MS, LEASE_MAX_MS, 'ms')


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of rule; ``build`` is called with valid fields only."""

    fields: tuple[_checks.Field, ...]
    build: collections.abc.Callable[[RuleFields, str], _model.Rule]


def _optional_count(name: str, unit: str) -> _checks.Field:
    return _checks.Field(
        name, _checks.integer(0, COUNT_MAX, unit), required=False
    )


def _build_team(fields: RuleFields, asked_by: str) -> _model.TeamRule:
    limit = fields.get('upper_limit', {})
    return _model.TeamRule(
        team_id=messages.TeamId(fields['team']),
        share=fields['share'],
        running_max=limit.get('running'),
        resources_max=_resources_max(limit),
        asked_by=asked_by,
    )


def _resources_max(limit: RuleFields) -> messages.Resources | None:
    if not limit.keys() & {'cpu_millicores', 'memory_mb', 'accelerators'}:
        return None
    return messages.Resources(
        cpu_millicores=limit.get('cpu_millicores', _model.UNLIMITED),
        memory_mb=limit.get('memory_mb', _model.UNLIMITED),
        accelerators_count=limit.get('accelerators', _model.UNLIMITED),
    )


def _build_key(fields: RuleFields, asked_by: str) -> _model.KeyRule:
    return _model.KeyRule(
        key_id=fields['key_id'],
        team_id=messages.TeamId(fields['team']),
        salt=fields['salt'],
        digest=fields['digest'],
        asked_by=asked_by,
    )


def _build_queue(fields: RuleFields, asked_by: str) -> _model.QueueRule:
    return _model.QueueRule(
        queue=messages.QueueName(fields['queue']),
        is_open=fields['open'],
        task_class=messages.TaskClass(fields['class']),
        queued_max=fields.get('queued_max'),
        policy=fields.get('policy'),
        team_id=fields.get('team'),
        asked_by=asked_by,
    )


def _build_worker(fields: RuleFields, asked_by: str) -> _model.WorkerRule:
    return _model.WorkerRule(
        worker_id=messages.WorkerId(fields['worker']),
        state=messages.WorkerState(fields['state']),
        asked_by=asked_by,
    )


def _build_defaults(fields: RuleFields, asked_by: str) -> _model.Defaults:
    leases = dict(_model.DEFAULT_LEASE_MS)
    for class_name, lease_ms in fields.get('lease_ms', {}).items():
        leases[messages.TaskClass(class_name)] = lease_ms
    return _model.Defaults(
        retries_max=fields.get('retries_max', _model.DEFAULT_RETRIES_MAX),
        lease_ms=types.MappingProxyType(leases),
        asked_by=asked_by,
    )


KINDS: collections.abc.Mapping[str, Kind] = {
    'team': Kind(
        (
            _checks.Field('team', _checks.name),
            _checks.Field('share', _checks.integer(1, SHARE_MAX)),
            _checks.Field(
                'upper_limit',
                _checks.nonempty_object,
                required=False,
                members=(
                    _optional_count('running', 'tasks'),
                    _optional_count('cpu_millicores', 'millicores'),
                    _optional_count('memory_mb', 'MB'),
                    _optional_count('accelerators', 'accelerators'),
                ),
            ),
        ),
        _build_team,
    ),
    'key': Kind(
        (
            _checks.Field('team', _checks.name),
            _checks.Field('key_id', _checks.hexadecimal(8, 64)),
            _checks.Field(
                'salt',
                _checks.hexadecimal(SALT_DIGITS_MIN, SALT_DIGITS_MAX),
            ),
            _checks.Field(
                'digest', _checks.hexadecimal(DIGEST_DIGITS, DIGEST_DIGITS)
            ),
        ),
        _build_key,
    ),
    'queue': Kind(
        (
            _checks.Field('queue', _checks.name),
            _checks.Field('open', _checks.boolean),
            _checks.Field('class', _checks.one_of(*_CLASSES)),
            _checks.Field(
                'queued_max',
                _checks.integer(1, COUNT_MAX, 'tasks'),
                required=False,
            ),
            _checks.Field('policy', _checks.name, required=False),
            _checks.Field('team', _checks.name, required=False),
        ),
        _build_queue,
    ),
    'worker': Kind(
        (
            _checks.Field('worker', _checks.name),
            _checks.Field(
                'state',
                _checks.one_of(messages.WorkerState.QUARANTINED.value),
            ),
        ),
        _build_worker,
    ),
    'defaults': Kind(
        (
            _checks.Field(
                'retries_max',
                _checks.integer(0, RETRIES_MAX_LIMIT, 'retries'),
                required=False,
            ),
            _checks.Field(
                'lease_ms',
                _checks.nonempty_object,
                required=False,
                members=tuple(
                    _checks.Field(name, _check_lease, required=False)
                    for name in _CLASSES
                ),
            ),
        ),
        _build_defaults,
    ),
}
