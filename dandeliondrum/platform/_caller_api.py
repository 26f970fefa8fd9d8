"""HTTP API for callers: submits, queries and cancels jobs."""

import re
import time

from returns import result
import structlog
import werkzeug

from dandeliondrum import gateway
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _bodies
from dandeliondrum.platform import _fields

BODY_BYTES_MAX = 262_144
# Maximum of DEADLINE_HEADER, and its default.
WAIT_MAX_MS = 3_000
# Subtracted from the caller's deadline, for the transfer of the reply.
REPLY_MARGIN_MS = 150
RETRY_AFTER_MS = 1_000
AUTHORIZATION_SCHEME = 'Token '
DEADLINE_HEADER = 'X-Deadline-Ms'

_JOB_ID = re.compile('[0-9a-fA-F]{16}')
_STATES = {
    jobs.JobPhase.QUEUED: 'queued',
    jobs.JobPhase.RUNNING: 'running',
    jobs.JobPhase.DONE: 'completed',
    jobs.JobPhase.FAILED: 'failed',
    jobs.JobPhase.CANCELLED: 'cancelled',
}

_logger = structlog.get_logger()


class CallerApi:
    """Serves the requests of callers at a gateway."""

    def __init__(self, job_gateway: jobs.JobGateway) -> None:
        self._gateway = job_gateway

    def routes(self) -> tuple[gateway.Route, ...]:
        """Return catch-all routes; the queue is looked up per request."""
        return tuple(
            gateway.Route(method, pattern, self._serve)
            for method in ('GET', 'POST', 'DELETE')
            for pattern in ('/', '/<path:path>')
        )

    def _serve(self, call: gateway.Call, path: str = '') -> werkzeug.Response:
        policy = self._gateway.wait_for_policy(_wait_ms(call))
        if not policy.version:
            return _problem(
                503, 'no_policy', 'no policy has been received yet', True
            )
        host = call.header('Host').partition(':')[0]
        queue = policy.queue_at(host, f'/{path}')
        if queue is None:
            return self._refuse_by_policy(
                policy,
                _problem(404, 'no_queue', 'no queue for this host and path'),
            )
        team = policy.team_for_key(_api_key(call))
        if team is None and not queue.is_open:
            _logger.info('unknown api key', queue=queue.name)
            return self._refuse_by_policy(
                policy, _problem(401, 'key', 'unknown API key')
            )
        team_id = team.team_id if team else messages.TeamId('')
        rest = f'/{path}'[len(queue.path_prefix) :]
        method = call.request.method
        if not rest and method == 'GET':
            return self._count_waiting(call, queue)
        if not _JOB_ID.fullmatch(rest):
            return _problem(
                404, 'no_job', 'a job id must be 16 hexadecimal digits'
            )
        job_id = jobs.JobId(rest)
        match method:
            case 'POST':
                return self._submit(call, queue, team_id, job_id)
            case 'DELETE':
                return self._cancel(call, team_id, job_id)
        return self._query(call, team_id, job_id)

    def _refuse_by_policy(
        self, policy: jobs.Policy, refusal: werkzeug.Response
    ) -> werkzeug.Response:
        """Return the refusal if the leader has confirmed the policy.

        Otherwise return a retryable error: the policy may be outdated, and
        the newest one may have the caller's queue or key.
        """
        if self._gateway.policy_is_current():
            return refusal
        _logger.warning('policy not confirmed', policy_version=policy.version)
        return _problem(503, 'old_policy', 'the policy may be outdated', True)

    def _submit(
        self,
        call: gateway.Call,
        queue: jobs.QueuePolicy,
        team_id: messages.TeamId,
        job_id: jobs.JobId,
    ) -> werkzeug.Response:
        body = call.parsable_body(BODY_BYTES_MAX)
        if isinstance(body, result.Failure):
            return gateway.problem_response(body.failure())
        try:
            spec = _bodies.decode_job_spec(
                body.unwrap(), job_id, team_id, queue.name, _now_ms()
            )
        except _fields.FieldError as error:
            _logger.info('invalid job body', job=job_id, why=str(error))
            return _problem(400, 'bad_request', str(error))
        match self._gateway.submit(spec, _wait_ms(call)):
            case result.Success(phase):
                return _state_response(phase)
            case failed:
                return _unavailable('submit', job_id, failed.failure())

    def _query(
        self,
        call: gateway.Call,
        team_id: messages.TeamId,
        job_id: jobs.JobId,
    ) -> werkzeug.Response:
        match self._gateway.query_status(job_id, team_id, _wait_ms(call)):
            case result.Success(status):
                if status.phase is None:
                    _logger.info('unknown job', job=job_id)
                return _state_response(status.phase, status.detail)
            case failed:
                return _unavailable('query', job_id, failed.failure())

    def _cancel(
        self,
        call: gateway.Call,
        team_id: messages.TeamId,
        job_id: jobs.JobId,
    ) -> werkzeug.Response:
        match self._gateway.cancel(job_id, team_id, _wait_ms(call)):
            case result.Success(None):
                return _problem(410, 'no_job', 'unknown job')
            case result.Success(phase):
                return _state_response(phase)
            case failed:
                return _unavailable('cancel', job_id, failed.failure())

    def _count_waiting(
        self, call: gateway.Call, queue: jobs.QueuePolicy
    ) -> werkzeug.Response:
        match self._gateway.count_waiting(queue.name, _wait_ms(call)):
            case result.Success(count):
                return gateway.json_response({'Pending': count})
            case failed:
                return _unavailable('count', queue.name, failed.failure())


def _state_response(
    phase: jobs.JobPhase | None, detail: str = ''
) -> werkzeug.Response:
    if phase is None:
        return _problem(410, 'no_job', 'unknown job')
    fields = {'State': _STATES[phase]}
    if detail:
        fields['Detail'] = detail
    return gateway.json_response(fields)


def _unavailable(
    operation: str, request_id: str, error: jobs.Unavailable
) -> werkzeug.Response:
    """Return an error for a call without a definite reply of the leader.

    503 for a query or cancellation, or for a submission that certainly had
    no effect; 504 for a submission that may have been accepted.
    """
    _logger.warning(
        'call failed',
        what=operation,
        request_id=request_id,
        why=error.reason,
        not_done=error.not_done,
    )
    if error.not_done or operation != 'submit':
        return gateway.problem_response(
            gateway.Problem(
                503,
                'unavailable',
                error.reason,
                error.retry_after_ms or RETRY_AFTER_MS,
            )
        )
    return _problem(
        504, 'in_doubt', 'the job may have been accepted; query its state'
    )


def _problem(
    status: int, reason: str, detail: str, retry: bool = False
) -> werkzeug.Response:
    return gateway.problem_response(
        gateway.Problem(status, reason, detail, RETRY_AFTER_MS if retry else 0)
    )


def _api_key(call: gateway.Call) -> str:
    return call.header('Authorization').removeprefix(AUTHORIZATION_SCHEME)


def _wait_ms(call: gateway.Call) -> int:
    text = call.header(DEADLINE_HEADER)
    is_valid = text.isascii() and text.isdigit() and len(text) <= 15
    declared_ms = int(text) if is_valid else WAIT_MAX_MS
    return max(1, min(declared_ms, WAIT_MAX_MS) - REPLY_MARGIN_MS)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
