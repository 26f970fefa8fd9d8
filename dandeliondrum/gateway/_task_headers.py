"""Parsing of tasks from HTTP request headers."""

import dataclasses
import hashlib
import re
import uuid

from returns import result

from dandeliondrum.gateway import _active_rules
from dandeliondrum.gateway import _http
from dandeliondrum import messages

DEFAULT_TIMEOUT_MS = 60_000
TIMEOUT_MAX_MS = 3_600_000
DEFAULT_EXPECTED_RUN_MS = 1_000
DEFAULT_CPU_MILLICORES = 1_000
DEFAULT_MEMORY_MB = 256
DEFAULT_QUEUE = 'default'
AMOUNT_MAX = 1 << 40
HEADER_PREFIX = 'Dandeliondrum-'

_NAME = re.compile(r'[A-Za-z0-9._:~-]{1,128}')
_TRACE_PARENT = re.compile(r'00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_BOOLEANS = {'true': True, 'false': False}


@dataclasses.dataclass(frozen=True)
class TaskRequest:
    """Task that a caller submits and waits for.

    ``first_sending`` is true if the gateway generated the request id or the
    caller declares that it never sent this id before.
    """

    spec: messages.TaskSpec
    request_id: str
    key: str
    first_sending: bool


@dataclasses.dataclass(frozen=True)
class Identity:
    """Team, request id and API key of a call."""

    team_id: messages.TeamId
    request_id: str
    key: str
    first_sending: bool

    def task_id(self) -> messages.TaskId:
        """Return the task id, which is unique within the cell."""
        return messages.TaskId(f'{self.team_id}/{self.request_id}')


class _InvalidHeaderError(Exception):
    """A header has an invalid value."""


def is_valid_name(text: str) -> bool:
    """Return whether a text is valid as an id or a name."""
    return _NAME.fullmatch(text) is not None


def bearer_key(call: _http.Call) -> str:
    """Return the bearer token of the call, or an empty string."""
    scheme, _, key = call.header('Authorization').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def parse_identity(
    call: _http.Call,
    rules: _active_rules.ActiveRules,
    request_id: str | None = None,
) -> result.Result[Identity, _http.Problem]:
    """Parse team, request id and key; generate a missing request id."""
    try:
        return result.Success(_parse_identity(call, rules, request_id))
    except _InvalidHeaderError as error:
        return result.Failure(_http.Problem(400, 'bad_request', str(error)))


def parse_task(
    call: _http.Call, identity: Identity, body: bytes
) -> result.Result[TaskRequest, _http.Problem]:
    """Parse the task that the headers describe."""
    try:
        spec = _parse_spec(call, identity, body)
    except _InvalidHeaderError as error:
        return result.Failure(_http.Problem(400, 'bad_request', str(error)))
    return result.Success(
        TaskRequest(
            spec, identity.request_id, identity.key, identity.first_sending
        )
    )


def _parse_identity(
    call: _http.Call, rules: _active_rules.ActiveRules, request_id: str | None
) -> Identity:
    named = call.header(HEADER_PREFIX + 'Team')
    queue = messages.QueueName(_name_header(call, 'Queue', DEFAULT_QUEUE))
    team = rules.team_for(messages.TeamId(named), queue)
    if not is_valid_name(team):
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}Team: {team!r:.40} is not a valid name'
        )
    first_sending = _bool_header(call, 'First-Sending', False)
    if request_id is None:
        request_id = call.header(HEADER_PREFIX + 'Request-Id')
        if not request_id:
            request_id, first_sending = uuid.uuid4().hex, True
    if not is_valid_name(request_id):
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}Request-Id: {request_id!r:.40} is not a valid id'
        )
    return Identity(team, request_id, bearer_key(call), first_sending)


def _parse_spec(
    call: _http.Call, identity: Identity, body: bytes
) -> messages.TaskSpec:
    resources = messages.Resources(
        _int_header(call, 'Cpu-Millicores', DEFAULT_CPU_MILLICORES, 1),
        _int_header(call, 'Memory-Mb', DEFAULT_MEMORY_MB, 1),
        _int_header(call, 'Accelerators', 0, 0),
    )
    region = call.header(HEADER_PREFIX + 'Region')
    return messages.TaskSpec(
        task_id=identity.task_id(),
        team_id=identity.team_id,
        queue=messages.QueueName(_name_header(call, 'Queue', DEFAULT_QUEUE)),
        task_class=_parse_task_class(call),
        resources=resources,
        idempotent=_bool_header(call, 'Idempotent', False),
        timeout_ms=_int_header(
            call, 'Timeout-Ms', DEFAULT_TIMEOUT_MS, 1, TIMEOUT_MAX_MS
        ),
        expected_run_ms=_int_header(
            call, 'Expected-Run-Ms', DEFAULT_EXPECTED_RUN_MS, 0
        ),
        body_digest=hashlib.sha256(body).hexdigest(),
        region=messages.Region(region) if region else None,
        trace_parent=trace_parent_of(call),
    )


def trace_parent_of(call: _http.Call) -> str:
    """Return the trace context of the caller; ignore a malformed one."""
    text = call.header('traceparent')
    return text if _TRACE_PARENT.fullmatch(text) else ''


def _parse_task_class(call: _http.Call) -> messages.TaskClass:
    text = call.header(HEADER_PREFIX + 'Class', 'batch')
    for task_class in (messages.TaskClass.URGENT, messages.TaskClass.BATCH):
        if text == task_class.value:
            return task_class
    raise _InvalidHeaderError(
        f'{HEADER_PREFIX}Class: {text!r:.40} is neither urgent nor batch'
    )


def _name_header(call: _http.Call, name: str, default: str) -> str:
    text = call.header(HEADER_PREFIX + name, default)
    if not is_valid_name(text):
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}{name}: {text!r:.40} is not a valid name'
        )
    return text


def _bool_header(call: _http.Call, name: str, default: bool) -> bool:
    text = call.header(HEADER_PREFIX + name)
    if not text:
        return default
    if text not in _BOOLEANS:
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}{name}: {text!r:.40} is not true or false'
        )
    return _BOOLEANS[text]


def _int_header(
    call: _http.Call,
    name: str,
    default: int,
    minimum: int,
    maximum: int = AMOUNT_MAX,
) -> int:
    text = call.header(HEADER_PREFIX + name)
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}{name}: {text!r:.40} is not a whole number'
        )
    number = int(text)
    if not minimum <= number <= maximum:
        raise _InvalidHeaderError(
            f'{HEADER_PREFIX}{name}: '
            f'{number} is not from {minimum} to {maximum}'
        )
    return number


def is_first_sending(call: _http.Call) -> bool:
    """Return whether the request id counts as never sent before.

    It does if the gateway generates it, since the call has none, or if the
    caller declares so; an id in the call may be invalid.
    """
    if not call.header(HEADER_PREFIX + 'Request-Id'):
        return True
    return declares_first_sending(call)


def declares_first_sending(call: _http.Call) -> bool:
    """Return whether the caller declares that it never sent this before."""
    return call.header(HEADER_PREFIX + 'First-Sending') == 'true'
