"""Decodes the JSON bodies that callers and workers send.

Some of the platform's field names are misleading: ``Affinity`` is the rack
that holds the data, and ``AntiAffinity`` is the maximum number of tasks per
worker. ``Labels`` of a worker are its kind and its rack, in this order.
"""

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields

PAYLOAD_BYTES_MAX = 4_000
# Bounds the cost of one job; far above the widest steps in use.
TASKS_MAX = 5_000

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
    payload = _fields.text(fields, 'Spec')
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
        required_label=_fields.text(body, 'Requirements', ''),
        near_rack=_fields.text(body, 'Affinity', ''),
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
    fields = _fields.parse_object(body)
    phase = _PHASES.get(_fields.text(fields, 'State'))
    if phase is None:
        raise _fields.FieldError('State must be ready or draining')
    labels = _fields.array(fields, 'Labels', [])
    if not all(isinstance(label, str) for label in labels):
        raise _fields.FieldError('Labels must be a list of strings')
    facts = jobs.WorkerFacts(
        worker_id,
        _decode_address(fields),
        _fields.text(fields, 'Service'),
        messages.FailureDomain(_fields.text(fields, 'Zone')),
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


def decode_shutdown(body: bytes) -> int:
    """Return the start time of the worker that shuts down, 0 if not given.

    The platform specifies no body; raises FieldError for an invalid one.
    """
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


def _decode_address(fields: _fields.Body) -> str:
    address = _fields.text(fields, 'Address')
    host, separator, port = address.rpartition(':')
    if not host or not separator or not port.isdecimal():
        raise _fields.FieldError('Address must be host:port')
    return address


def decode_worker_lists(
    body: bytes, ended_runs_max: int
) -> jobs.WorkerListing:
    """Decode the lists of a worker's running and ended runs.

    A list of ``ended_runs_max`` ended runs is taken as incomplete. Rows with
    a task or an outcome of unknown form are skipped. Raises FieldError, or
    TypeError, ValueError or OverflowError for a row with a wrong value.
    """
    fields = _fields.parse_object(body)
    runs = tuple(_decode_run(row) for row in _fields.array(fields, 'Running'))
    ended = _fields.array(fields, 'Ended')
    return jobs.WorkerListing(
        _fields.integer(fields, 'TimeMs'),
        _fields.integer(fields, 'born', 0),
        tuple(run for run in runs if run is not None),
        tuple(
            end
            for end in (_decode_run_end(row) for row in ended)
            if end is not None
        ),
        ends_complete=len(ended) < ended_runs_max,
    )


def _decode_run(row: object) -> jobs.RunListing | None:
    """Decode a row of task, run, checkpoint and percent.

    A further column may follow and is ignored.
    """
    if not isinstance(row, list) or len(row) < 4:
        raise _fields.FieldError(
            'a row of Running must have at least 4 columns'
        )
    task = jobs.parse_task_key(str(row[0]))
    if task is None:
        return None
    return jobs.RunListing(task, int(row[1]), str(row[2]), float(row[3]))


def _decode_run_end(row: object) -> jobs.EndListing | None:
    """Decode a row of number, task, run, outcome and checkpoint."""
    if not isinstance(row, list) or len(row) < 5:
        raise _fields.FieldError('a row of Ended must have at least 5 columns')
    task = jobs.parse_task_key(str(row[1]))
    outcome = _OUTCOMES.get(str(row[3]))
    if task is None or outcome is None:
        return None
    end = jobs.RunEnd(task, int(row[2]), outcome, str(row[4] or ''))
    return jobs.EndListing(int(row[0]), end)
