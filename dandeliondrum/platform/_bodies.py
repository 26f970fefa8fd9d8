"""Decodes what callers and workers send.

Some names mislead. ``Affinity`` names the rack of the data and
``AntiAffinity`` is a number of tasks for each worker. A worker's labels are
its kind and its rack, in this order.
"""

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields

PAYLOAD_BYTES_MAX = 4_000
# More than the widest steps seen by far; bounds what one job may cost.
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


def job_spec(
    body: bytes,
    job_id: jobs.JobId,
    team_id: messages.TeamId,
    queue: messages.QueueName,
    now_ms: int,
) -> jobs.JobSpec:
    """Return the job that a caller submits; raises FieldError."""
    fields = _fields.parse_object(body)
    payload = _fields.text(fields, 'Spec')
    if len(payload.encode()) > PAYLOAD_BYTES_MAX:
        raise _fields.FieldError('Spec is too long')
    if fields.get('RepeatCount') or fields.get('StartAtMs'):
        raise _fields.FieldError('repeats are not supported')
    steps = tuple(
        _step(_fields.as_object(one, 'step'))
        for one in _fields.array(fields, 'Steps')
    )
    if sum(step.tasks_count for step in steps) > TASKS_MAX:
        raise _fields.FieldError('too many tasks')
    spec = jobs.JobSpec(job_id, team_id, queue, payload, steps, now_ms)
    problem = jobs.problem(spec)
    if problem:
        raise _fields.FieldError(problem)
    return spec


def _step(body: _fields.Body) -> jobs.StepSpec:
    after = _fields.array(body, 'After', [])
    if not all(type(one) is int for one in after):
        raise _fields.FieldError('After must be numbers')
    return jobs.StepSpec(
        tasks_count=_fields.integer(body, 'Count'),
        resources=_documents.resources(body),
        expected_run_ms=_fields.integer(body, 'EstimateMs', 0),
        after=tuple(after),
        gang=_fields.flag(body, 'Gang'),
        same_rack=_fields.flag(body, 'SameRack'),
        required_label=_fields.text(body, 'Requirements', ''),
        near_rack=_fields.text(body, 'Affinity', ''),
        per_worker_max=_fields.integer(body, 'AntiAffinity', 0),
        checkpointing=_fields.flag(body, 'Checkpointing'),
        speculative=_fields.flag(body, 'Speculative'),
        endless=_fields.flag(body, 'LongRunning'),
        fills=_fields.flag(body, 'Fills'),
    )


def worker_report(
    body: bytes, worker_id: messages.WorkerId
) -> jobs.WorkerReport:
    """Return what a worker reports; raises FieldError."""
    fields = _fields.parse_object(body)
    phase = _PHASES.get(_fields.text(fields, 'State'))
    if phase is None:
        raise _fields.FieldError('State is not known')
    labels = _fields.array(fields, 'Labels', [])
    if not all(isinstance(label, str) for label in labels):
        raise _fields.FieldError('Labels must be strings')
    facts = jobs.WorkerFacts(
        worker_id,
        _address(fields),
        _fields.text(fields, 'Service'),
        messages.FailureDomain(_fields.text(fields, 'Zone')),
        messages.Rack(labels[-1] if labels else ''),
        tuple(labels),
        _documents.resources(_fields.child(fields, 'Capacity')),
        # Milliseconds since 1970 at which this life of the worker began.
        _fields.integer(fields, 'born', 0),
        phase,
    )
    leaves_in_ms = None
    if 'RemainingMs' in fields:
        leaves_in_ms = _fields.integer(fields, 'RemainingMs')
    return jobs.WorkerReport(
        facts, _fields.integer(fields, 'Seq'), leaves_in_ms
    )


def _address(fields: _fields.Body) -> str:
    address = _fields.text(fields, 'Address')
    host, separator, port = address.rpartition(':')
    if not host or not separator or not port.isdecimal():
        raise _fields.FieldError('Address must be host:port')
    return address


def lists(body: bytes, ends_max: int) -> jobs.Lists:
    """Return what a worker runs and what has ended; raises FieldError."""
    fields = _fields.parse_object(body)
    runs = tuple(_run(row) for row in _fields.array(fields, 'Running'))
    ended = _fields.array(fields, 'Ended')
    return jobs.Lists(
        _fields.integer(fields, 'TimeMs'),
        _fields.integer(fields, 'born', 0),
        tuple(run for run in runs if run is not None),
        tuple(end for end in (_end(row) for row in ended) if end is not None),
        ends_complete=len(ended) < ends_max,
    )


def _run(row: object) -> jobs.RunListing | None:
    """Decode a row of task, run, checkpoint, percent and a figure."""
    if not isinstance(row, list) or len(row) < 4:
        raise _fields.FieldError('a row of Running is too short')
    task = jobs.parse_task_key(str(row[0]))
    if task is None:
        return None
    return jobs.RunListing(task, int(row[1]), str(row[2]), float(row[3]))


def _end(row: object) -> jobs.EndListing | None:
    """Decode a row of number, task, run, kind of end and checkpoint."""
    if not isinstance(row, list) or len(row) < 5:
        raise _fields.FieldError('a row of Ended is too short')
    task = jobs.parse_task_key(str(row[1]))
    outcome = _OUTCOMES.get(str(row[3]))
    if task is None or outcome is None:
        return None
    end = jobs.RunEnd(task, int(row[2]), outcome, str(row[4] or ''))
    return jobs.EndListing(int(row[0]), end)
