"""The interface to callers: jobs are submitted, asked for, cancelled."""

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
# What a caller waits for when it does not say so.
WAIT_DEFAULT_MS = 3_000
# Left for the way back to the caller.
WAIT_MARGIN_MS = 150
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


class Callers:
    """Serves the calls of callers at a gateway."""

    def __init__(self, job_gateway: jobs.JobGateway) -> None:
        self._gateway = job_gateway

    def routes(self) -> tuple[gateway.Route, ...]:
        """Return what is served; queues are looked up for each call."""
        return tuple(
            gateway.Route(method, pattern, self._serve)
            for method in ('GET', 'POST', 'DELETE')
            for pattern in ('/', '/<path:path>')
        )

    def _serve(self, call: gateway.Call, path: str = '') -> werkzeug.Response:
        policy = self._gateway.wait_for_policy(_wait_ms(call))
        if not policy.version:
            return _problem(503, 'no_policy', 'no policy is known yet', True)
        host = call.header('Host').partition(':')[0]
        queue = policy.queue_at(host, f'/{path}')
        if queue is None:
            return self._refuse_by_policy(
                policy, _problem(404, 'no_queue', 'no queue at this address')
            )
        team = policy.team_for_key(_key(call))
        if team is None and not queue.is_open:
            _logger.info('key refused', queue=queue.name)
            return self._refuse_by_policy(
                policy, _problem(401, 'key', 'the key is not known')
            )
        team_id = team.team_id if team else messages.TeamId('')
        rest = f'/{path}'[len(queue.path_prefix) :]
        method = call.request.method
        if not rest and method == 'GET':
            return self._count(call, queue)
        if not _JOB_ID.fullmatch(rest):
            return _problem(404, 'no_job', 'an id has 16 hexadecimal digits')
        job_id = jobs.JobId(rest)
        match method:
            case 'POST':
                return self._submit(call, queue, team_id, job_id)
            case 'DELETE':
                return self._cancel(call, team_id, job_id)
        return self._state(call, team_id, job_id)

    def _refuse_by_policy(
        self, policy: jobs.Policy, refusal: werkzeug.Response
    ) -> werkzeug.Response:
        """Refuse for good only by a policy that the leader has confirmed.

        One that may have been replaced is no reason to send a caller away
        whose queue or key the newest one has.
        """
        if self._gateway.policy_is_current():
            return refusal
        _logger.warning('policy not confirmed', policy_version=policy.version)
        return _problem(503, 'old_policy', 'the policy is not confirmed', True)

    def _submit(
        self,
        call: gateway.Call,
        queue: jobs.QueuePolicy,
        team_id: messages.TeamId,
        job_id: jobs.JobId,
    ) -> werkzeug.Response:
        body = call.body(BODY_BYTES_MAX)
        if isinstance(body, result.Failure):
            return gateway.problem_response(body.failure())
        try:
            spec = _bodies.job_spec(
                body.unwrap(), job_id, team_id, queue.name, _now_ms()
            )
        except _fields.FieldError as error:
            _logger.info('job not readable', job=job_id, why=str(error))
            return _problem(400, 'bad_request', str(error))
        match self._gateway.submit(spec, _wait_ms(call)):
            case result.Success(phase):
                return _state_response(phase)
            case failed:
                return _unavailable('submit', job_id, failed.failure())

    def _state(
        self,
        call: gateway.Call,
        team_id: messages.TeamId,
        job_id: jobs.JobId,
    ) -> werkzeug.Response:
        match self._gateway.query(job_id, team_id, _wait_ms(call)):
            case result.Success(None):
                _logger.info('job not known', job=job_id)
                return _problem(410, 'no_job', 'the job is not known')
            case result.Success(phase):
                return _state_response(phase)
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
                return _problem(410, 'no_job', 'the job is not known')
            case result.Success(phase):
                return _state_response(phase)
            case failed:
                return _unavailable('cancel', job_id, failed.failure())

    def _count(
        self, call: gateway.Call, queue: jobs.QueuePolicy
    ) -> werkzeug.Response:
        match self._gateway.count_waiting(queue.name, _wait_ms(call)):
            case result.Success(count):
                return gateway.json_response({'Pending': count})
            case failed:
                return _unavailable('count', queue.name, failed.failure())


def _state_response(phase: jobs.JobPhase | None) -> werkzeug.Response:
    if phase is None:
        return _problem(410, 'no_job', 'the job is not known')
    return gateway.json_response({'State': _STATES[phase]})


def _unavailable(
    what: str, request_id: str, error: jobs.Unavailable
) -> werkzeug.Response:
    """Say that nothing was done, or that this is not known."""
    _logger.warning(
        'call failed',
        what=what,
        request_id=request_id,
        why=error.reason,
        not_done=error.not_done,
    )
    if error.not_done or what != 'submit':
        return _problem(503, 'unavailable', error.reason, True)
    return _problem(504, 'in_doubt', 'it may have been accepted; ask again')


def _problem(
    status: int, reason: str, detail: str, retry: bool = False
) -> werkzeug.Response:
    return gateway.problem_response(
        gateway.Problem(status, reason, detail, RETRY_AFTER_MS if retry else 0)
    )


def _key(call: gateway.Call) -> str:
    return call.header('Authorization').removeprefix(AUTHORIZATION_SCHEME)


def _wait_ms(call: gateway.Call) -> int:
    text = call.header(DEADLINE_HEADER)
    declared_ms = int(text) if text.isdecimal() else WAIT_DEFAULT_MS
    return max(1, min(declared_ms, WAIT_DEFAULT_MS) - WAIT_MARGIN_MS)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
