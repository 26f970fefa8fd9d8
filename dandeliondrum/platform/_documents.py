"""Decodes the operator's configuration document into a job policy.

Some of the platform's names are misleading: a route is a queue of jobs; its
``Service`` is a pool of workers; a tenant is a team, with ``Weight`` as its
share and ``Cap`` as its upper limit; ``Public`` queues accept jobs without a
key.
"""

import collections.abc
import contextlib
import json
import typing

from returns import result

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _fields

_ENTRY_KINDS = {'Services': 'service', 'Routes': 'route', 'Tenants': 'tenant'}

_Entry = typing.TypeVar('_Entry')


def validate(document: bytes) -> result.Result[jobs.Policy, str]:
    """Return the policy of a valid document, or why it is invalid."""
    return read(document).alt(lambda errors: str(errors[0]))


def read(
    document: bytes,
) -> result.Result[jobs.Policy, tuple[_fields.FieldError, ...]]:
    """Return the policy of a valid document, or all errors found in it."""
    try:
        body = _fields.parse_object(document)
    except _fields.FieldError as error:
        return result.Failure((error,))
    if _fields.without_surrogates(body) != body:
        return result.Failure(
            (_fields.FieldError('the document has unpaired surrogates'),)
        )
    return _Reader(body).read()


def decode(document: bytes) -> jobs.Policy:
    """Return the policy of a document in force; raises FieldError if invalid.

    Earlier versions accepted documents in other encodings than UTF-8, with
    unpaired surrogates, which are replaced here, and with any nesting.
    """
    outcome = _Reader(parse(document)).read()
    if isinstance(outcome, result.Failure):
        raise outcome.failure()[0]
    return outcome.unwrap()


def parse(document: bytes) -> _fields.Body:
    """Return the object of a document in force; raises FieldError."""
    try:
        text = document.decode(json.detect_encoding(document), 'surrogatepass')
    except UnicodeDecodeError as error:
        raise _fields.FieldError(f'unknown encoding: {error}') from error
    return _fields.without_surrogates(_fields.parse_shallow_object(text))


class _Reader:
    """Reads a document and collects its errors."""

    def __init__(self, body: _fields.Body) -> None:
        self._body = body
        self._errors: list[_fields.FieldError] = []

    def read(
        self,
    ) -> result.Result[jobs.Policy, tuple[_fields.FieldError, ...]]:
        pools = self._entries('Services', _decode_pool)
        # Unless all pools are known, any queue might name one of the others.
        known_pools = None if self._errors else set(pools.values())
        queues = self._entries(
            'Routes', lambda route: _decode_queue(route, known_pools)
        )
        teams = self._entries('Tenants', _decode_team, [])
        with self._collected():
            version = _fields.integer(self._body, 'Version')
            if version < 1:
                raise _fields.FieldError(
                    'Version must be at least 1', 'Version'
                )
        self._find_duplicates(pools, queues, teams)
        if self._errors:
            return result.Failure(tuple(self._errors))
        return result.Success(
            jobs.Policy(
                version,
                tuple(queues.values()),
                tuple(teams.values()),
                tuple(pools.values()),
            )
        )

    @contextlib.contextmanager
    def _collected(self) -> collections.abc.Iterator[None]:
        try:
            yield
        except _fields.FieldError as error:
            self._errors.append(error)

    def _entries(
        self,
        name: str,
        decode_entry: collections.abc.Callable[[_fields.Body], _Entry],
        default: list[typing.Any] | None = None,
    ) -> dict[str, _Entry]:
        """Return the valid entries of a list by their paths."""
        entries = {}
        values: list[typing.Any] = []
        with self._collected():
            values = _fields.array(self._body, name, default)
        for index, value in enumerate(values):
            path = f'{name}[{index}]'
            with self._collected(), _fields.within(path):
                entries[path] = decode_entry(
                    _fields.as_object(value, _ENTRY_KINDS[name])
                )
        return entries

    def _find_duplicates(
        self,
        pools: collections.abc.Mapping[str, str],
        queues: collections.abc.Mapping[str, jobs.QueuePolicy],
        teams: collections.abc.Mapping[str, jobs.TeamPolicy],
    ) -> None:
        self._reject_duplicates(
            'service', ((f'{path}.Name', name) for path, name in pools.items())
        )
        self._reject_duplicates(
            'route',
            ((f'{path}.Name', queue.name) for path, queue in queues.items()),
        )
        self._reject_duplicates(
            'host and prefix',
            (
                (f'{path}.PathPrefix', (queue.host, queue.path_prefix))
                for path, queue in queues.items()
            ),
        )
        self._reject_duplicates(
            'tenant',
            ((f'{path}.Name', team.team_id) for path, team in teams.items()),
        )
        self._reject_duplicates(
            'key',
            (
                (f'{path}.ApiKeys[{index}]', key)
                for path, team in teams.items()
                for index, key in enumerate(team.keys)
            ),
        )

    def _reject_duplicates(
        self,
        kind: str,
        values: collections.abc.Iterable[tuple[str, object]],
    ) -> None:
        first_paths: dict[object, str] = {}
        for path, value in values:
            first = first_paths.setdefault(value, path)
            if first is not path:
                self._errors.append(
                    _fields.FieldError(
                        f'duplicate {kind}; the first is {first}', path
                    )
                )


def _decode_pool(body: _fields.Body) -> str:
    return _fields.text(body, 'Name')


def _decode_queue(
    body: _fields.Body, pools: collections.abc.Collection[str] | None
) -> jobs.QueuePolicy:
    pool = _fields.text(body, 'Service')
    if pools is not None and pool not in pools:
        raise _fields.FieldError(f'unknown service {pool}', 'Service')
    if _fields.integer(body, 'TimeoutMs') <= 0:
        raise _fields.FieldError('TimeoutMs must be positive', 'TimeoutMs')
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
        advice=_decode_advice_policy(advice) if advice else None,
        is_open=_fields.boolean(body, 'Public'),
    )


def _decode_advice_policy(value: object) -> jobs.AdvicePolicy:
    with _fields.within('PlacementAdvisor'):
        body = _fields.as_object(value, 'PlacementAdvisor')
        return jobs.AdvicePolicy(
            decide_ms=_fields.number(body, 'DecideMs', 0.0),
            # ``PeriodMs`` is the time per worker named in a call.
            per_worker_ms=_fields.number(body, 'PeriodMs', 0.0),
            valid_ms=_fields.integer(body, 'ValidityMs'),
        )


def _decode_team(body: _fields.Body) -> jobs.TeamPolicy:
    keys = _fields.array(body, 'ApiKeys', [])
    if not all(isinstance(key, str) for key in keys):
        raise _fields.FieldError(
            'ApiKeys must be a list of strings', 'ApiKeys'
        )
    name = _fields.text(body, 'Name')
    weight = _fields.integer(body, 'Weight', 0)
    with _fields.within('Cap'):
        cap = _fields.as_object(body.get('Cap') or {}, 'Cap')
        limit = decode_resources(cap)
    return jobs.TeamPolicy(messages.TeamId(name), tuple(keys), weight, limit)


def decode_resources(body: _fields.Body) -> messages.Resources:
    """Return resource amounts; the platform omits those that are 0."""
    return messages.Resources(
        _fields.integer(body, 'Cpu', 0),
        _fields.integer(body, 'MemMb', 0),
        _fields.integer(body, 'Gpu', 0),
    )
