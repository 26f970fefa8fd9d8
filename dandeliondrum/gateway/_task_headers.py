"""Reads a task from the headers of its request."""

import dataclasses
import hashlib
import re
import uuid

from returns import result

from dandeliondrum.gateway import _http
from dandeliondrum.gateway import _rules
from dandeliondrum import messages

DEFAULT_TIMEOUT_MS = 60_000
TIMEOUT_MAX_MS = 3_600_000
DEFAULT_EXPECTED_RUN_MS = 1_000
DEFAULT_CPU_MILLICORES = 1_000
DEFAULT_MEMORY_MB = 256
DEFAULT_QUEUE = 'default'
LARGEST_AMOUNT = 1 << 40
PREFIX = 'Dandeliondrum-'

_NAME = re.compile(r'[A-Za-z0-9._:~-]{1,128}')
_TRACE_PARENT = re.compile(r'00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_TRUTH = {'true': True, 'false': False}


@dataclasses.dataclass(frozen=True)
class TaskRequest:
    """A task of a caller that waits.

    ``vouched`` is true for an id that was never sent before.
    """

    spec: messages.TaskSpec
    request_id: str
    key: str
    vouched: bool


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who calls, and for which of their requests."""

    team_id: messages.TeamId
    request_id: str
    key: str
    vouched: bool

    def task_id(self) -> messages.TaskId:
        """Return the id of the task in the whole cell."""
        return messages.TaskId(f'{self.team_id}/{self.request_id}')


class _BadValue(Exception):
    """A header with a value that is not allowed."""


def valid_name(text: str) -> bool:
    """Return whether a text may be an id or a name."""
    return _NAME.fullmatch(text) is not None


def key_of(call: _http.Call) -> str:
    """Return the key that the call shows, or nothing."""
    scheme, _, key = call.header('Authorization').partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def identity(
    call: _http.Call,
    rules: _rules.RulesInForce,
    request_id: str | None = None,
) -> result.Result[Identity, _http.Problem]:
    """Read team, request id and key; an id is made where none is given."""
    try:
        return result.Success(_identity(call, rules, request_id))
    except _BadValue as error:
        return result.Failure(_http.Problem(400, 'bad_request', str(error)))


def parse(
    call: _http.Call, who: Identity, body: bytes
) -> result.Result[TaskRequest, _http.Problem]:
    """Read the task that the headers describe."""
    try:
        spec = _spec(call, who, body)
    except _BadValue as error:
        return result.Failure(_http.Problem(400, 'bad_request', str(error)))
    return result.Success(
        TaskRequest(spec, who.request_id, who.key, who.vouched)
    )


def _identity(
    call: _http.Call, rules: _rules.RulesInForce, request_id: str | None
) -> Identity:
    named = call.header(PREFIX + 'Team')
    queue = messages.QueueName(_name(call, 'Queue', DEFAULT_QUEUE))
    team = rules.team_for(messages.TeamId(named), queue)
    if not valid_name(team):
        raise _BadValue(f'{PREFIX}Team: {team!r:.40} is no name')
    vouched = _flag(call, 'First-Sending', False)
    if request_id is None:
        request_id = call.header(PREFIX + 'Request-Id')
        if not request_id:
            request_id, vouched = uuid.uuid4().hex, True
    if not valid_name(request_id):
        raise _BadValue(f'{PREFIX}Request-Id: {request_id!r:.40} is no id')
    return Identity(team, request_id, key_of(call), vouched)


def _spec(call: _http.Call, who: Identity, body: bytes) -> messages.TaskSpec:
    resources = messages.Resources(
        _number(call, 'Cpu-Millicores', DEFAULT_CPU_MILLICORES, 1),
        _number(call, 'Memory-Mb', DEFAULT_MEMORY_MB, 1),
        _number(call, 'Accelerators', 0, 0),
    )
    region = call.header(PREFIX + 'Region')
    return messages.TaskSpec(
        task_id=who.task_id(),
        team_id=who.team_id,
        queue=messages.QueueName(_name(call, 'Queue', DEFAULT_QUEUE)),
        task_class=_task_class(call),
        resources=resources,
        idempotent=_flag(call, 'Idempotent', False),
        timeout_ms=_number(
            call, 'Timeout-Ms', DEFAULT_TIMEOUT_MS, 1, TIMEOUT_MAX_MS
        ),
        expected_run_ms=_number(
            call, 'Expected-Run-Ms', DEFAULT_EXPECTED_RUN_MS, 0
        ),
        body_digest=hashlib.sha256(body).hexdigest(),
        region=messages.Region(region) if region else None,
        trace_parent=trace_parent_of(call),
    )


def trace_parent_of(call: _http.Call) -> str:
    """Return the caller's trace context; one that is malformed is dropped."""
    text = call.header('traceparent')
    return text if _TRACE_PARENT.fullmatch(text) else ''


def _task_class(call: _http.Call) -> messages.TaskClass:
    text = call.header(PREFIX + 'Class', 'batch')
    for task_class in (messages.TaskClass.URGENT, messages.TaskClass.BATCH):
        if text == task_class.value:
            return task_class
    raise _BadValue(f'{PREFIX}Class: {text!r:.40} is neither urgent nor batch')


def _name(call: _http.Call, name: str, default: str) -> str:
    text = call.header(PREFIX + name, default)
    if not valid_name(text):
        raise _BadValue(f'{PREFIX}{name}: {text!r:.40} is no name')
    return text


def _flag(call: _http.Call, name: str, default: bool) -> bool:
    text = call.header(PREFIX + name)
    if not text:
        return default
    if text not in _TRUTH:
        raise _BadValue(f'{PREFIX}{name}: {text!r:.40} is not true or false')
    return _TRUTH[text]


def _number(
    call: _http.Call,
    name: str,
    default: int,
    least: int,
    largest: int = LARGEST_AMOUNT,
) -> int:
    text = call.header(PREFIX + name)
    if not text:
        return default
    if not (text.isascii() and text.isdigit() and len(text) <= 15):
        raise _BadValue(f'{PREFIX}{name}: {text!r:.40} is no whole number')
    number = int(text)
    if not least <= number <= largest:
        raise _BadValue(
            f'{PREFIX}{name}: {number} is not from {least} to {largest}'
        )
    return number


def is_vouched(call: _http.Call) -> bool:
    """Return whether the call's id, valid or not, was never sent before."""
    if not call.header(PREFIX + 'Request-Id'):
        return True
    return says_first_sending(call)


def says_first_sending(call: _http.Call) -> bool:
    """Return whether the caller vouches that it never sent this before."""
    return call.header(PREFIX + 'First-Sending') == 'true'
