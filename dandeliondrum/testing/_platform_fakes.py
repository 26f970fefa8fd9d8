"""Fake workers and a fake adviser of a platform, served over HTTP.

They implement the published protocol of the platform. The behaviour of workers
is that of :class:`FakeWorker`; this module translates it to HTTP.
"""

import contextlib
import json
import typing

from cheroot import wsgi
import werkzeug

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.testing import _fake_job_workers
from dandeliondrum import transport
from dandeliondrum import utils

THREADS_COUNT = 8

_REFUSAL_REASONS = {
    jobs.Refusal.FENCED: 'fence',
    jobs.Refusal.OLD_RUN: 'old',
    jobs.Refusal.LEASE_PASSED: 'late',
}

_Body = dict[str, typing.Any]


class HttpServer:
    """An HTTP server that calls a function with each request and JSON body.

    The function returns the status and the JSON value of the reply.
    """

    def __init__(
        self,
        address: str,
        serve: typing.Callable[[werkzeug.Request, _Body], typing.Any],
    ) -> None:
        self._serve = serve
        self._resources = contextlib.ExitStack()
        self._server = wsgi.Server(
            transport.parse_address(address),
            werkzeug.Request.application(self._respond),
            numthreads=THREADS_COUNT,
            timeout=10,
        )
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f'{host}:{port}'

    def start(self) -> None:
        """Start serving requests in a thread."""
        supervisor = utils.Supervisor('stand-in')
        supervisor.run('serve', lambda _: self._server.serve())
        self._resources.callback(supervisor.close)
        self._resources.callback(self._server.stop)

    def close(self) -> None:
        """Stop serving requests."""
        self._resources.close()

    def _respond(self, request: werkzeug.Request) -> werkzeug.Response:
        body = json.loads(request.get_data() or b'{}')
        status, reply = self._serve(request, body)
        return werkzeug.Response(
            json.dumps(reply), status, content_type='application/json'
        )


class HttpWorker:
    """A fake worker that is served over HTTP."""

    def __init__(
        self, worker: _fake_job_workers.FakeWorker, address: str
    ) -> None:
        self.worker = worker
        self.sequence = 0
        self.server = HttpServer(address, self._serve)
        # The address that the worker reports as its own.
        self.advertised_address = self.server.address

    def report(self, state: str = 'ready') -> bytes:
        """Return the body of the next status report of the worker."""
        self.sequence += 1
        facts = self.worker.facts
        fields = {
            'Service': facts.pool,
            'Address': self.advertised_address,
            'Zone': facts.failure_domain,
            'Version': 'v1',
            'Slots': 8,
            'State': state,
            'ColdRemainingMs': 0,
            'Capacity': _resources_json(facts.capacity),
            'Labels': list(facts.labels),
            'TimeMs': 1,
            'Seq': self.sequence,
            'born': facts.started_ms,
        }
        return json.dumps(fields).encode()

    def _serve(
        self, request: werkzeug.Request, body: _Body
    ) -> tuple[int, _Body]:
        if self.worker.is_down():
            return 500, {}
        expected = request.headers.get('X-Expect-Instance')
        if expected != self.worker.facts.worker_id:
            return 421, {}
        match request.path:
            case '/hold':
                return self._renew(body)
            case '/run-start':
                return _order_reply(self.worker.start(self._start_order(body)))
            case '/run-stop':
                return _order_reply(self.worker.stop(self._stop_order(body)))
        return 404, {}

    def _renew(self, body: _Body) -> tuple[int, _Body]:
        outcome = self.worker.renew(
            jobs.LeaseRequest(
                self.worker.facts,
                body['FencingToken'],
                body['AckedThrough'],
                body.get('DeadlineMs'),
                body.get('WaitMs', 0),
            )
        )
        if not isinstance(outcome, jobs.WorkerListing):
            return _order_reply(outcome)
        running = [
            [str(one.task), one.run, one.checkpoint, one.percent, 0]
            for one in outcome.runs
        ]
        ended = [
            [
                one.sequence,
                str(one.end.task),
                one.end.run,
                one.end.outcome.value,
                one.end.checkpoint,
            ]
            for one in outcome.ends
        ]
        return 200, {
            'TimeMs': outcome.clock_ms,
            'Running': running,
            'Ended': ended,
            'born': outcome.started_ms,
        }

    def _start_order(self, body: _Body) -> jobs.StartOrder:
        return jobs.StartOrder(
            self.worker.facts,
            body['FencingToken'],
            _task_key(body),
            body['Run'],
            body['Spec'],
            body['DeadlineMs'],
            body.get('Checkpoint', ''),
            body.get('Ticket', ''),
        )

    def _stop_order(self, body: _Body) -> jobs.StopOrder:
        return jobs.StopOrder(
            self.worker.facts,
            body['FencingToken'],
            _task_key(body),
            body['Run'],
        )


class HttpAdviser:
    """A fake adviser that is served over HTTP."""

    def __init__(self, address: str) -> None:
        self.adviser = _fake_job_workers.FakeAdviser()
        self.server = HttpServer(address, self._serve)

    def _serve(
        self, request: werkzeug.Request, body: _Body
    ) -> tuple[int, _Body]:
        if request.path != '/advise':
            return 404, {}
        ids = tuple(messages.WorkerId(one) for one in body['Workers'])
        reply = self.adviser.ask(body['Step'], ids)
        granted = [[one.worker_id, one.ticket] for one in reply.grants]
        return 200, {'Granted': granted, 'ValidityMs': reply.valid_ms}


def _order_reply(outcome: object) -> tuple[int, _Body]:
    match outcome:
        case jobs.Accepted(clock_ms):
            return 200, {'TimeMs': clock_ms}
        case jobs.Refused(reason):
            return 409, {'TimeMs': 0, 'Reason': _REFUSAL_REASONS[reason]}
        case jobs.WorkerReplaced():
            return 421, {}
    return 500, {}


def _task_key(body: _Body) -> jobs.TaskKey:
    key = jobs.parse_task_key(body['Task'])
    if key is None:
        raise ValueError(f'not a valid task key: {body["Task"]}')
    return key


def _resources_json(resources: messages.Resources) -> _Body:
    return {
        'Cpu': resources.cpu_millicores,
        'MemMb': resources.memory_mb,
        'Gpu': resources.accelerators_count,
    }
