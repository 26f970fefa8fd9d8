"""Paths and headers of the HTTP calls to workers."""

import urllib.parse

from dandeliondrum import messages

STATE = 'state'
RUN_MS = 'run-ms'
ANSWER_DIGEST = 'answer-digest'
REFUSED = 'refused'
# Refusal reasons after which the attempt may still have run.
REFUSED_GONE = 'gone'
REFUSED_INCARNATION = 'incarnation'
WAIT_MS = 'Wait-Ms'

Headers = tuple[tuple[str, str], ...]


def start_path(attempt_id: messages.AttemptId) -> str:
    """Return the path of the request that starts an attempt."""
    return f'/v1/attempts/{urllib.parse.quote(attempt_id, safe="")}'


def answer_path(attempt_id: messages.AttemptId) -> str:
    """Return the path of an attempt's answer."""
    return f'{start_path(attempt_id)}/answer'


def start_headers(
    start: messages.StartAttempt, wait_ms: int, trace_parent: str
) -> Headers:
    """Return the headers of the request that starts an attempt."""
    spec = start.spec
    return (
        ('Task-Id', spec.task_id),
        ('Token', str(start.token)),
        ('Incarnation', start.incarnation),
        ('Lease-Ms', str(start.lease_ms)),
        (WAIT_MS, str(wait_ms)),
        ('Durable', 'true' if spec.durable else 'false'),
        ('Team', spec.team_id),
        ('Queue', spec.queue),
        ('Cpu-Millicores', str(spec.resources.cpu_millicores)),
        ('Memory-Mb', str(spec.resources.memory_mb)),
        ('Accelerators', str(spec.resources.accelerators_count)),
        ('traceparent', trace_parent or spec.trace_parent),
    )
