"""HTTP clients for workers and for the placement adviser."""

import json

import structlog

from dandeliondrum import gateway
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _bodies
from dandeliondrum.platform import _fields
from dandeliondrum import utils

# One connection for lease renewals and three for orders.
CONNECTIONS_PER_WORKER = 4
# Far above the 40 ms that a call takes between regions; a worker that needs
# longer has a problem.
ORDER_TIMEOUT_MS = 500
LISTS_TIMEOUT_MARGIN_MS = 400
# Live workers are called each second or more often. A connection that only
# bursts of orders need is opened again within one round trip.
UNUSED_CONNECTION_MS = 30_000
CLOSE_UNUSED_EVERY_MS = 5_000
# Two calls of the slowest queue, 1.1 s each: one may be queued before it.
ADVICE_TIMEOUT_MS = 2_500
# Most ended runs in one reply, as specified by the platform.
ENDED_RUNS_MAX = 500
# Interval between log lines about invalid rows of a worker, which it repeats.
LOG_INTERVAL_MS = 10_000

_REFUSALS = {
    'fence': jobs.Refusal.FENCED,
    'old': jobs.Refusal.OLD_RUN,
    'late': jobs.Refusal.LEASE_PASSED,
    'room': jobs.Refusal.NO_ROOM,
    'ticket': jobs.Refusal.NO_TICKET,
}
_JSON = ('Content-Type', 'application/json')
# Making an encoder takes longer than encoding an order.
_encode = json.JSONEncoder(separators=(',', ':')).encode

_logger = structlog.get_logger()

_CallFailure = jobs.Unanswered | jobs.WorkerReplaced | jobs.Refused


class HttpWorkerPort:
    """Calls workers over HTTP; implements :class:`jobs.WorkerPort`."""

    def __init__(self) -> None:
        self._client = gateway.WorkerClient(CONNECTIONS_PER_WORKER)
        # When invalid rows of a worker were last logged.
        self._logged_ms: dict[messages.WorkerId, int] = {}

    def renew(self, request: jobs.LeaseRequest) -> jobs.ListingOutcome:
        """Renew a worker's lease and return its lists of runs."""
        body: dict[str, object] = {
            'FencingToken': request.token,
            'AckedThrough': request.acknowledged_number,
            'WaitMs': request.wait_ms,
        }
        if request.lease_until_ms is not None:
            body['DeadlineMs'] = request.lease_until_ms
        reply = self._post(
            request.worker,
            '/hold',
            body,
            request.wait_ms + LISTS_TIMEOUT_MARGIN_MS,
        )
        if not isinstance(reply, bytes):
            return reply
        problems: list[str] = []
        try:
            return _bodies.decode_worker_lists(
                reply, ENDED_RUNS_MAX, problems.append
            )
        except _fields.FieldError as error:
            return jobs.Unanswered(True, f'invalid lists: {error}')
        finally:
            if problems:
                self._log_invalid_rows(request.worker.worker_id, problems)

    def _log_invalid_rows(
        self, worker_id: messages.WorkerId, problems: list[str]
    ) -> None:
        """Log that rows were skipped, now and then for each worker."""
        now_ms = utils.monotonic_ms()
        logged_ms = self._logged_ms.get(worker_id)
        if logged_ms is not None and now_ms - logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms[worker_id] = now_ms
        _logger.warning(
            'rows of a worker skipped',
            worker=worker_id,
            rows_count=len(problems),
            why=problems[0],
        )

    def start(self, order: jobs.StartOrder) -> jobs.OrderOutcome:
        """Start a run on a worker."""
        body: dict[str, object] = {
            'Task': str(order.task),
            'Run': order.run,
            'Spec': order.payload,
            'DeadlineMs': order.lease_until_ms,
            'FencingToken': order.token,
        }
        if order.checkpoint:
            body['Checkpoint'] = order.checkpoint
        if order.ticket:
            body['Ticket'] = order.ticket
        return self._send_order(order.worker, '/run-start', body)

    def stop(self, order: jobs.StopOrder) -> jobs.OrderOutcome:
        """Stop a run on a worker."""
        body = {
            'Task': str(order.task),
            'Run': order.run,
            'FencingToken': order.token,
        }
        return self._send_order(order.worker, '/run-stop', body)

    def close_unused(self) -> None:
        """Close the connections of workers that have gone, among others.

        To be called every CLOSE_UNUSED_EVERY_MS.
        """
        self._client.close_unused(UNUSED_CONNECTION_MS)

    def close(self) -> None:
        """Close all idle connections."""
        self._client.close()

    def _send_order(
        self, worker: jobs.WorkerFacts, path: str, body: dict[str, object]
    ) -> jobs.OrderOutcome:
        reply = self._post(worker, path, body, ORDER_TIMEOUT_MS)
        if not isinstance(reply, bytes):
            return reply
        try:
            clock_ms = _fields.integer(_fields.parse_object(reply), 'TimeMs')
        except _fields.FieldError as error:
            return jobs.Unanswered(True, f'invalid reply: {error}')
        return jobs.Accepted(clock_ms)

    def _post(
        self,
        worker: jobs.WorkerFacts,
        path: str,
        body: dict[str, object],
        timeout_ms: int,
    ) -> bytes | _CallFailure:
        outcome = self._client.call(
            gateway.WorkerRequest(
                'POST',
                worker.address,
                path,
                timeout_ms,
                (_JSON, ('X-Expect-Instance', worker.worker_id)),
                _encode(body).encode(),
                timeout_ms=timeout_ms,
                reads_headers=False,
            )
        )
        match outcome:
            case gateway.NotSent(reason):
                return jobs.Unanswered(False, reason)
            case gateway.NoReply(reason):
                return jobs.Unanswered(True, reason)
            case gateway.WorkerReply(complete=False):
                return jobs.Unanswered(True, 'truncated reply')
            case gateway.WorkerReply(head, reply):
                if head.status == 200:
                    return reply
                return _decode_error_reply(worker, path, head.status, reply)


def _decode_error_reply(
    worker: jobs.WorkerFacts, path: str, status: int, reply: bytes
) -> _CallFailure:
    match status:
        case 421:
            return jobs.WorkerReplaced()
        case 409:
            try:
                reason = _fields.text(_fields.parse_object(reply), 'Reason')
            except _fields.FieldError as error:
                return jobs.Unanswered(
                    True, f'refusal without a reason: {error}'
                )
            if reason in _REFUSALS:
                return jobs.Refused(_REFUSALS[reason])
            return jobs.Unanswered(
                True, f'refusal with unknown reason {reason}'
            )
        case 429 | 503:
            return jobs.Refused(jobs.Refusal.UNHEALTHY)
        case 400:
            _logger.error(
                'worker rejected a call as invalid',
                worker=worker.worker_id,
                path=path,
                answer=reply[:200],
            )
            return jobs.Refused(jobs.Refusal.INVALID)
    return jobs.Unanswered(True, f'status {status}')


class HttpAdviserPort:
    """Calls the adviser over HTTP; implements :class:`jobs.AdviserPort`."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = gateway.WorkerClient(1)

    def ask(
        self, step: str, worker_ids: tuple[messages.WorkerId, ...]
    ) -> jobs.AdviceReply:
        """Ask the adviser which of the workers may run the step."""
        body = {'Step': step, 'Workers': worker_ids}
        outcome = self._client.call(
            gateway.WorkerRequest(
                'POST',
                self._address,
                '/advise',
                ADVICE_TIMEOUT_MS,
                (_JSON,),
                _encode(body).encode(),
                timeout_ms=ADVICE_TIMEOUT_MS,
                reads_headers=False,
            )
        )
        match outcome:
            case gateway.WorkerReply(head, reply, complete=True):
                if head.status == 200:
                    return _decode_advice(reply)
                return _advice_failure(f'status {head.status}')
            case gateway.WorkerReply():
                return _advice_failure('truncated reply')
        return _advice_failure(outcome.reason)


def _decode_advice(reply: bytes) -> jobs.AdviceReply:
    """Decode grants, each a row of a worker id and its ticket."""
    try:
        fields = _fields.parse_shallow_object(reply)
        rows = _fields.array(fields, 'Granted')
        valid_ms = _fields.integer(fields, 'ValidityMs')
    except _fields.FieldError as error:
        return _advice_failure(f'invalid reply: {error}')
    grants = tuple(
        jobs.Grant(messages.WorkerId(row[0]), row[1])
        for row in rows
        if _is_grant(row)
    )
    if len(grants) < len(rows):
        _logger.warning(
            'invalid grants skipped', rows_count=len(rows) - len(grants)
        )
    return jobs.AdviceReply(grants, valid_ms)


def _is_grant(row: object) -> bool:
    return (
        isinstance(row, list)
        and len(row) >= 2
        and all(
            isinstance(text, str) and _fields.is_storable(text)
            for text in row[:2]
        )
    )


def _advice_failure(problem: str) -> jobs.AdviceReply:
    return jobs.AdviceReply((), 0, problem)
