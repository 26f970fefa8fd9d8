"""Request bodies that submit durable tasks, and their validation."""

import dataclasses
import hashlib

from returns import result

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _json_codec
from dandeliondrum.gateway import _task_headers
from dandeliondrum import messages

DAY_MS = 24 * 3_600_000
DEFAULT_TIMEOUT_MS = DAY_MS
# A service runs until it is cancelled.
SERVICE_TIMEOUT_MS = 3_650 * DAY_MS
TASKS_MAX = 10_000
REPLICAS_MAX = 1_000
# Limits for one durable body and for all bodies of a gang in the log.
BODY_MAX_BYTES = 1024 * 1024
GANG_MAX_BYTES = 4 * 1024 * 1024

DURABLE_CLASSES = (messages.TaskClass.URGENT, messages.TaskClass.BATCH)


@dataclasses.dataclass(frozen=True)
class JobTask:
    """One task of a job.

    ``body_base64`` holds the decoded body, which is sent to the worker.
    """

    request_id: str
    body_base64: bytes = b''
    task_class: messages.TaskClass = dataclasses.field(
        default=messages.TaskClass.BATCH,
        metadata={_json_codec.JSON_NAME: 'class'},
    )
    idempotent: bool = False
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    expected_run_ms: int = _task_headers.DEFAULT_EXPECTED_RUN_MS
    cpu_millicores: int = _task_headers.DEFAULT_CPU_MILLICORES
    memory_mb: int = _task_headers.DEFAULT_MEMORY_MB
    accelerators: int = 0
    region: str | None = None


@dataclasses.dataclass(frozen=True)
class JobRequest:
    """The body of ``POST /v1/jobs``.

    The tasks of a gang run all at the same time or not at all. ``gang_id``
    defaults to the request id of the first task.
    """

    team: str
    tasks: tuple[JobTask, ...]
    queue: str = _task_headers.DEFAULT_QUEUE
    gang: bool = False
    gang_id: str = ''


@dataclasses.dataclass(frozen=True)
class ServiceRequest:
    """The body of ``POST /v1/services``.

    Replica ``n``, counted from 0, is the task ``request_id.n``.
    """

    team: str
    request_id: str
    replicas: int
    queue: str = _task_headers.DEFAULT_QUEUE
    body_base64: bytes = b''
    cpu_millicores: int = _task_headers.DEFAULT_CPU_MILLICORES
    memory_mb: int = _task_headers.DEFAULT_MEMORY_MB
    accelerators: int = 0
    region: str | None = None


@dataclasses.dataclass(frozen=True)
class Submission:
    """Durable tasks of one team, ready to be submitted.

    With ``all_or_none`` they are sent to the leader in a single call.
    """

    team_id: messages.TeamId
    specs: tuple[messages.TaskSpec, ...]
    bodies: tuple[bytes, ...]
    all_or_none: bool


def submission_from_job(
    job: JobRequest, trace_parent: str
) -> result.Result[Submission, _http.Problem]:
    """Validate a job and convert it to a submission."""
    problem = _check_job(job)
    if problem:
        return result.Failure(_http.Problem(400, 'bad_request', problem))
    gang_id = job.gang_id or job.tasks[0].request_id
    specs = tuple(
        _task_spec(
            job.team,
            job.queue,
            task,
            trace_parent,
            gang_id if job.gang else '',
            len(job.tasks) if job.gang else 1,
        )
        for task in job.tasks
    )
    bodies = tuple(task.body_base64 for task in job.tasks)
    return result.Success(
        Submission(messages.TeamId(job.team), specs, bodies, job.gang)
    )


def submission_from_service(
    service: ServiceRequest, trace_parent: str
) -> result.Result[Submission, _http.Problem]:
    """Validate a service and convert its replicas to durable tasks."""
    if not 1 <= service.replicas <= REPLICAS_MAX:
        problem = f'replicas: must be from 1 to {REPLICAS_MAX}'
        return result.Failure(_http.Problem(400, 'bad_request', problem))
    tasks = tuple(
        JobTask(
            request_id=f'{service.request_id}.{number}',
            body_base64=service.body_base64,
            task_class=messages.TaskClass.SERVICE,
            idempotent=True,
            timeout_ms=SERVICE_TIMEOUT_MS,
            cpu_millicores=service.cpu_millicores,
            memory_mb=service.memory_mb,
            accelerators=service.accelerators,
            region=service.region,
        )
        for number in range(service.replicas)
    )
    problem = _check_names(service.team, service.queue)
    problem = problem or _check_tasks(tasks, SERVICE_TIMEOUT_MS)
    if problem:
        return result.Failure(_http.Problem(400, 'bad_request', problem))
    specs = tuple(
        _task_spec(service.team, service.queue, task, trace_parent, '', 1)
        for task in tasks
    )
    bodies = tuple(task.body_base64 for task in tasks)
    return result.Success(
        Submission(messages.TeamId(service.team), specs, bodies, False)
    )


def _task_spec(
    team: str,
    queue: str,
    task: JobTask,
    trace_parent: str,
    gang_id: str,
    gang_size: int,
) -> messages.TaskSpec:
    task_class = messages.TaskClass.GANG if gang_id else task.task_class
    return messages.TaskSpec(
        task_id=messages.TaskId(f'{team}/{task.request_id}'),
        team_id=messages.TeamId(team),
        queue=messages.QueueName(queue),
        task_class=task_class,
        resources=messages.Resources(
            task.cpu_millicores, task.memory_mb, task.accelerators
        ),
        idempotent=task.idempotent,
        timeout_ms=task.timeout_ms,
        expected_run_ms=task.expected_run_ms,
        body_digest=hashlib.sha256(task.body_base64).hexdigest(),
        durable=True,
        region=messages.Region(task.region) if task.region else None,
        gang_id=messages.GangId(f'{team}/{gang_id}') if gang_id else None,
        gang_size=gang_size,
        trace_parent=trace_parent,
    )


def _check_job(job: JobRequest) -> str:
    """Return what is wrong with a job, or an empty string."""
    if not 1 <= len(job.tasks) <= TASKS_MAX:
        return f'tasks: count must be from 1 to {TASKS_MAX}'
    ids = {task.request_id for task in job.tasks}
    if len(ids) != len(job.tasks):
        return 'tasks: a request_id occurs twice'
    total_bytes = sum(len(task.body_base64) for task in job.tasks)
    if job.gang and total_bytes > GANG_MAX_BYTES:
        return f'tasks: the bodies of a gang exceed {GANG_MAX_BYTES} bytes'
    if job.gang_id and not job.gang:
        return 'gang_id: allowed only for a gang'
    if job.gang_id and not _task_headers.is_valid_name(job.gang_id):
        return 'gang_id: not a valid name'
    for task in job.tasks:
        if task.task_class not in DURABLE_CLASSES:
            return 'class: must be urgent or batch'
    problem = _check_names(job.team, job.queue)
    return problem or _check_tasks(job.tasks, DAY_MS * 365)


def _check_names(team: str, queue: str) -> str:
    for field, name in (('team', team), ('queue', queue)):
        if not _task_headers.is_valid_name(name):
            return f'{field}: {name!r:.40} is not a valid name'
    return ''


def _check_tasks(tasks: tuple[JobTask, ...], timeout_max_ms: int) -> str:
    for task in tasks:
        problem = _check_task(task, timeout_max_ms)
        if problem:
            return f'{task.request_id!r:.40}: {problem}'
    return ''


def _check_task(task: JobTask, timeout_max_ms: int) -> str:
    if not _task_headers.is_valid_name(task.request_id):
        return 'request_id: not a valid id'
    if len(task.body_base64) > BODY_MAX_BYTES:
        return f'body_base64: more than {BODY_MAX_BYTES} bytes'
    if not 1 <= task.timeout_ms <= timeout_max_ms:
        return f'timeout_ms: must be from 1 to {timeout_max_ms}'
    maximum = _task_headers.AMOUNT_MAX
    for name, amount, minimum in (
        ('cpu_millicores', task.cpu_millicores, 1),
        ('memory_mb', task.memory_mb, 1),
        ('accelerators', task.accelerators, 0),
        ('expected_run_ms', task.expected_run_ms, 0),
    ):
        if not minimum <= amount <= maximum:
            return f'{name}: must be from {minimum} to {maximum}'
    return ''
