"""HTTP API of a controller for workers and operators."""

import threading
import typing

from returns import result
import structlog
import werkzeug

from dandeliondrum import gateway
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _bodies
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields

REPORT_BYTES_MAX = 4 * 1024 * 1024
DOCUMENT_BYTES_MAX = 16 * 1024 * 1024
# Below 1 s, after which workers and operators try another controller.
REPORT_TIMEOUT_MS = 900
DOCUMENT_TIMEOUT_MS = 2_500
RETRY_AFTER_MS = 500
THREADS_COUNT = 16
# Reports that may wait for the leader at the same time; the other threads are
# left for operators and for reports that are answered without the leader.
WAITING_REPORTS_MAX = 12
# How many of them are kept for reports with news and for workers that leave.
WAITING_NEWS_MIN = 4

_logger = structlog.get_logger()


class ControlApi:
    """Serves the requests of workers and operators."""

    def __init__(self, controller: jobs.JobController) -> None:
        self._controller = controller
        self._slots = threading.BoundedSemaphore(
            WAITING_REPORTS_MAX - WAITING_NEWS_MIN
        )
        self._news_slots = threading.BoundedSemaphore(WAITING_NEWS_MIN)

    def routes(self) -> tuple[gateway.Route, ...]:
        """Return the routes of the API."""
        return (
            gateway.Route('PUT', '/instances/<worker_id>', self._report),
            gateway.Route('DELETE', '/instances/<worker_id>', self._leave),
            gateway.Route('PUT', '/config', self._put_document),
            gateway.Route('GET', '/config', self._get_document),
        )

    def _report(self, call: gateway.Call, worker_id: str) -> werkzeug.Response:
        body = call.parsable_body(REPORT_BYTES_MAX)
        if isinstance(body, result.Failure):
            return gateway.problem_response(body.failure())
        try:
            report = _bodies.decode_worker_report(
                body.unwrap(), messages.WorkerId(worker_id)
            )
        except _fields.FieldError as error:
            _logger.warning(
                'invalid worker report', worker=worker_id, why=str(error)
            )
            return problem(400, str(error))
        if self._controller.acknowledge_report(report) is not None:
            return gateway.json_response({})
        return self._wait_for_leader(
            lambda: self._controller.report_worker(report, REPORT_TIMEOUT_MS),
            self._controller.has_news(report),
        )

    def _leave(self, call: gateway.Call, worker_id: str) -> werkzeug.Response:
        body = call.parsable_body(REPORT_BYTES_MAX)
        if isinstance(body, result.Failure):
            return gateway.problem_response(body.failure())
        try:
            started_ms = _bodies.decode_shutdown(
                body.unwrap(), messages.WorkerId(worker_id)
            )
        except _fields.FieldError as error:
            _logger.warning(
                'invalid worker shutdown', worker=worker_id, why=str(error)
            )
            return problem(400, str(error))
        return self._wait_for_leader(
            lambda: self._controller.report_worker_shutdown(
                messages.WorkerId(worker_id), REPORT_TIMEOUT_MS, started_ms
            ),
            True,
        )

    def _wait_for_leader(
        self,
        report: typing.Callable[[], result.Result[object, jobs.Unavailable]],
        has_news: bool,
    ) -> werkzeug.Response:
        """Report to the leader, or refuse at once if too many calls wait."""
        slots = self._take_slot(has_news)
        if slots is None:
            _logger.info('too many reports wait for the leader')
            return problem(503, 'too many reports wait for the leader')
        try:
            outcome = report()
        finally:
            slots.release()
        return reply(outcome, lambda _result: gateway.json_response({}))

    def _take_slot(self, has_news: bool) -> threading.Semaphore | None:
        """Return the slots of which one was taken, None if all are in use."""
        usable = [self._news_slots] if has_news else []
        for slots in (*usable, self._slots):
            if slots.acquire(blocking=False):
                return slots
        return None

    def _put_document(self, call: gateway.Call) -> werkzeug.Response:
        body = call.parsable_body(DOCUMENT_BYTES_MAX)
        if isinstance(body, result.Failure):
            return gateway.problem_response(body.failure())
        document = body.unwrap()
        match _documents.validate(document):
            case result.Success(policy):
                outcome = self._controller.change_document(
                    policy.version, document, DOCUMENT_TIMEOUT_MS
                )
                return reply(
                    outcome,
                    lambda current: gateway.json_response(
                        {'Version': current.version}
                    ),
                )
            case failed:
                error = failed.failure()
                _logger.warning('invalid policy', why=error)
                return problem(400, error)

    def _get_document(self, call: gateway.Call) -> werkzeug.Response:
        outcome = self._controller.read_document(REPORT_TIMEOUT_MS)
        return reply(outcome, _document_response)


def _document_response(current: typing.Any) -> werkzeug.Response:
    if not current.version:
        return problem(503, 'no policy has been set yet')
    return werkzeug.Response(
        current.document, 200, content_type='application/json'
    )


def reply(
    outcome: result.Result[typing.Any, jobs.Unavailable],
    respond: typing.Callable[[typing.Any], werkzeug.Response],
) -> werkzeug.Response:
    """Return the response to a call to the leader."""
    match outcome:
        case result.Success(value):
            return respond(value)
        case failed:
            error = failed.failure()
            _logger.info('leader unavailable', why=error.reason)
            return problem(503, error.reason)


def problem(status: int, detail: str) -> werkzeug.Response:
    """Return a refusal; the caller may try again if it is above 499."""
    reason = 'bad_request' if status < 500 else 'unavailable'
    retry_ms = RETRY_AFTER_MS if status >= 500 else 0
    return gateway.problem_response(
        gateway.Problem(status, reason, detail, retry_ms)
    )
