"""Decodes the JSON bodies that callers and workers send.

Some of the platform's field names are misleading: ``Affinity`` is the rack
that holds the data, and ``AntiAffinity`` is the maximum number of tasks per
worker. ``Labels`` of a worker are its kind and its rack, in this order.
"""

import collections.abc
import re
import typing

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields
from dandeliondrum import transport

PAYLOAD_BYTES_MAX = 4_000
# Bounds the cost of one job; far above the widest steps in use.
TASKS_MAX = 5_000
WORKER_ID_CHARS_MAX = 128
CHECKPOINT_CHARS_MAX = 65_536

_WORKER_ID = re.compile(f'[!-~]{{1,{WORKER_ID_CHARS_MAX}}}')
# A name, an IPv4 address, or an IPv6 address in brackets.
_HOST = re.compile(r'[A-Za-z0-9][A-Za-z0-9.-]{0,252}|\[[0-9A-Fa-f:.]{2,45}\]')
_PORT = re.compile('[1-9][0-9]{0,4}')
_Row = typing.TypeVar('_Row')

_OUTCOMES = {
    'done': jobs.RunOutcome.DONE,
    'failed': jobs.RunOutcome.FAILED,
    'stopped': jobs.RunOutcome.STOPPED,
    'lapsed': jobs.RunOutcome.LAPSED,
    'broken': jobs.RunOutcome.BROKEN,
    'alone': jobs.RunOutcome.ALONE,
}
_PHASES = {
    'ready': jobs.WorkerPhase.READY,
    'draining': jobs.WorkerPhase.DRAINING,
}


def decode_job_spec(
    body: bytes,
    job_id: jobs.JobId,
    team_id: messages.TeamId,
    queue: messages.QueueName,
    now_ms: int,
) -> jobs.JobSpec:
    """Decode the job that a caller submits.

    Raises FieldError if a field is missing or invalid, if the payload or the
    number of tasks is too large, or if the job asks for repeats or a start
    time, which are not supported.
    """
    fields = _fields.parse_object(body)
    payload = _fields.storable_text(fields, 'Spec')
    if len(payload.encode()) > PAYLOAD_BYTES_MAX:
        raise _fields.FieldError(
            f'Spec must be at most {PAYLOAD_BYTES_MAX} bytes'
        )
    if fields.get('RepeatCount') or fields.get('StartAtMs'):
        raise _fields.FieldError('RepeatCount and StartAtMs are not supported')
    steps = tuple(
        _decode_step(_fields.as_object(step, 'step'))
        for step in _fields.array(fields, 'Steps')
    )
    if sum(step.tasks_count for step in steps) > TASKS_MAX:
        raise _fields.FieldError(f'a job must have at most {TASKS_MAX} tasks')
    spec = jobs.JobSpec(job_id, team_id, queue, payload, steps, now_ms)
    problem = jobs.find_job_problem(spec)
    if problem:
        raise _fields.FieldError(problem)
    return spec


def _decode_step(body: _fields.Body) -> jobs.StepSpec:
    after = _fields.array(body, 'After', [])
    if not all(type(position) is int for position in after):
        raise _fields.FieldError('After must be a list of step numbers')
    return jobs.StepSpec(
        tasks_count=_fields.integer(body, 'Count'),
        resources=_documents.decode_resources(body),
        expected_run_ms=_fields.integer(body, 'EstimateMs', 0),
        after=tuple(after),
        gang=_fields.boolean(body, 'Gang'),
        same_rack=_fields.boolean(body, 'SameRack'),
        required_label=_fields.storable_text(body, 'Requirements', ''),
        near_rack=_fields.storable_text(body, 'Affinity', ''),
        per_worker_max=_fields.integer(body, 'AntiAffinity', 0),
        checkpointing=_fields.boolean(body, 'Checkpointing'),
        speculative=_fields.boolean(body, 'Speculative'),
        endless=_fields.boolean(body, 'LongRunning'),
        uses_idle_cpu=_fields.boolean(body, 'Fills'),
    )


def decode_worker_report(
    body: bytes, worker_id: messages.WorkerId
) -> jobs.WorkerReport:
    """Decode the state that a worker reports; raises FieldError."""
    _check_worker_id(worker_id)
    fields = _fields.parse_object(body)
    phase = _PHASES.get(_fields.text(fields, 'State'))
    if phase is None:
        raise _fields.FieldError('State must be ready or draining')
    labels = _fields.array(fields, 'Labels', [])
    if not all(
        isinstance(label, str) and _fields.is_storable(label)
        for label in labels
    ):
        raise _fields.FieldError('Labels must be a list of strings')
    facts = jobs.WorkerFacts(
        worker_id,
        _decode_address(fields),
        _fields.storable_text(fields, 'Service'),
        messages.FailureDomain(_fields.storable_text(fields, 'Zone')),
        messages.Rack(labels[-1] if labels else ''),
        tuple(labels),
        _decode_capacity(fields),
        # Start time of this worker process, in ms since the Unix epoch.
        _fields.integer(fields, 'born', 0),
        phase,
    )
    leaves_in_ms = None
    if 'RemainingMs' in fields:
        leaves_in_ms = _fields.integer(fields, 'RemainingMs')
    return jobs.WorkerReport(
        facts, _fields.integer(fields, 'Seq'), leaves_in_ms
    )


def decode_shutdown(body: bytes, worker_id: messages.WorkerId) -> int:
    """Return the start time of the worker that shuts down, 0 if not given.

    The platform specifies no body; raises FieldError for an invalid one, or
    for an invalid id.
    """
    _check_worker_id(worker_id)
    if not body:
        return 0
    return _fields.integer(_fields.parse_object(body), 'born', 0)


def _decode_capacity(fields: _fields.Body) -> messages.Resources:
    capacity = _documents.decode_resources(
        _fields.object_field(fields, 'Capacity')
    )
    if not messages.Resources(0, 0).fits_in(capacity):
        raise _fields.FieldError('Capacity must not be negative')
    return capacity


def _check_worker_id(worker_id: messages.WorkerId) -> None:
    """Raise FieldError for an id that can't be sent back in a header."""
    if not _WORKER_ID.fullmatch(worker_id):
        raise _fields.FieldError(
            f'the id must be 1 to {WORKER_ID_CHARS_MAX} printable ASCII '
            f'characters without spaces'
        )


def _decode_address(fields: _fields.Body) -> str:
    address = _fields.text(fields, 'Address')
    host, _, port = address.rpartition(':')
    if not _HOST.fullmatch(host):
        raise _fields.FieldError(f'Address {address!r:.80} is not host:port')
    if not _PORT.fullmatch(port) or int(port) > transport.PORT_MAX:
        raise _fields.FieldError(f'Address {address!r:.80} has no valid port')
    return address


def decode_worker_lists(
    body: bytes,
    ended_runs_max: int,
    on_invalid: collections.abc.Callable[[str], object] = lambda _why: None,
) -> jobs.WorkerListing:
    """Decode the lists of a worker's running and ended runs.

    A list of ``ended_runs_max`` ended runs is taken as incomplete. A row that
    is invalid, or names no task of this product, is skipped and reported to
    ``on_invalid``; the other rows hold. Raises FieldError.
    """
    fields = _fields.parse_shallow_object(body)
    ended = _fields.array(fields, 'Ended')
    return jobs.WorkerListing(
        _fields.integer(fields, 'TimeMs'),
        _fields.integer(fields, 'born', 0),
        _decode_rows(
            _fields.array(fields, 'Running'), _decode_run, on_invalid
        ),
        _decode_rows(ended, _decode_run_end, on_invalid),
        ends_complete=len(ended) < ended_runs_max,
    )


def _decode_rows(
    rows: list[typing.Any],
    decode: collections.abc.Callable[[typing.Any], _Row],
    on_invalid: collections.abc.Callable[[str], object],
) -> tuple[_Row, ...]:
    decoded = []
    for row in rows:
        try:
            decoded.append(decode(row))
        except _fields.FieldError as error:
            on_invalid(str(error))
    return tuple(decoded)


def _decode_run(row: typing.Any) -> jobs.RunListing:
    """Decode a row of task, run, checkpoint and percent.

    A further column may follow and is ignored. An invalid checkpoint or
    percent is replaced by none: the run counts in any case, since it must not
    be started elsewhere.
    """
    task, run, checkpoint, percent = _columns(row, 4)[:4]
    if not _is_text(checkpoint):
        checkpoint = ''
    if type(percent) not in (int, float) or not 0 <= percent <= 100:
        percent = 0
    return jobs.RunListing(
        _decode_task(task), _decode_number(run), checkpoint, float(percent)
    )


def _decode_run_end(row: typing.Any) -> jobs.EndListing:
    """Decode a row of number, task, run, outcome and checkpoint.

    An invalid checkpoint is replaced by none.
    """
    number, task, run, outcome, checkpoint = _columns(row, 5)[:5]
    known = _OUTCOMES.get(outcome) if isinstance(outcome, str) else None
    if known is None:
        raise _fields.FieldError(f'unknown outcome {outcome!r:.40}')
    if not _is_text(checkpoint):
        checkpoint = ''
    end = jobs.RunEnd(
        _decode_task(task), _decode_number(run), known, checkpoint
    )
    return jobs.EndListing(_decode_number(number), end)


def _columns(row: typing.Any, least_count: int) -> list[typing.Any]:
    if not isinstance(row, list) or len(row) < least_count:
        raise _fields.FieldError(
            f'a row must have at least {least_count} columns'
        )
    return row


def _decode_task(value: typing.Any) -> jobs.TaskKey:
    task = jobs.parse_task_key(value) if isinstance(value, str) else None
    if task is None:
        raise _fields.FieldError(f'{value!r:.40} is no task')
    return task


def _decode_number(value: typing.Any) -> int:
    if type(value) is not int or not 0 < value <= _fields.INTEGER_MAX:
        raise _fields.FieldError(f'{value!r:.40} is no number of a run or end')
    return value


def _is_text(value: typing.Any) -> bool:
    return (
        isinstance(value, str)
        and len(value) <= CHECKPOINT_CHARS_MAX
        and _fields.is_storable(value)
    )
