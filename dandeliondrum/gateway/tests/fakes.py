"""Fake leader, worker and caller that communicate over loopback."""

import collections
import contextlib
import dataclasses
import hashlib
import http.client
import json
import socket
import threading
import time
import urllib.parse

from cheroot import wsgi
from returns import result
import werkzeug

from dandeliondrum import gateway
from dandeliondrum import messages
from dandeliondrum import transport

CELL = messages.CellId('cell')
TEAM = 'bureau'
KEY = 'key-1'
WAIT_S = 20


def wait_until(condition, timeout_s=WAIT_S):
    """Wait until a condition is true; fail after ``timeout_s``."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(0.005)
    raise AssertionError('the condition did not become true in time')


def status(task_id, state, **fields):
    return messages.TaskStatus(
        messages.TaskId(task_id), messages.TaskState(state), **fields
    )


class Leader:
    """Fake leader with configurable replies to a gateway.

    ``on_submit(connection, call)`` returns the reply to ``SubmitTasks``;
    ``replies`` maps the class of any other message to its reply or to a
    function that returns the reply.
    """

    def __init__(self, name='c1', term=1):
        self.name = name
        self.connections = []
        self.reset()
        self._term = messages.Term(term)
        self._server = transport.Server(
            transport.ServerOptions('127.0.0.1:0', CELL),
            transport.Callbacks(on_call=self._on_call),
        )
        self._server.start()
        self.address = self._server.address

    def reset(self):
        """Clear the received messages and restore the default replies."""
        self.received = []
        self.silent = False
        self.heartbeat_refusal = None
        self.not_leader = None
        self.members = ()
        self.rules_version = messages.RulesVersion(3)
        self.on_submit = self.queue_all
        self.on_heartbeats = self.renew_all
        self.replies = {
            messages.ReportAttempts: messages.Done(),
            messages.AnnounceWorker: messages.Done(),
            messages.ReleaseAnswers: messages.Done(),
        }

    def close(self):
        self._server.close()

    def received_of(self, kind):
        return [one for one in list(self.received) if isinstance(one, kind)]

    def reports(self):
        return [
            report
            for call in self.received_of(messages.ReportAttempts)
            for report in call.reports
        ]

    def queue_all(self, _connection, call):
        return messages.TaskStatuses(
            tuple(status(spec.task_id, 'queued') for spec in call.tasks)
        )

    def start_on(self, worker, attempt=1):
        """Reply that each task is queued, and push its start at once."""

        def on_submit(connection, call):
            for spec in call.tasks:
                connection.push(start_of(spec, worker, attempt))
            return self.queue_all(connection, call)

        self.on_submit = on_submit

    def push(self, message):
        """Push to the most recently registered gateway still connected."""
        still_open = [
            one for one in self.connections if not one.closed.is_set()
        ]
        still_open[-1].push(message)

    def _on_call(self, connection, message):
        self.received.append(message)
        if self.not_leader is not None:
            return self.not_leader
        match message:
            case messages.RegisterGateway():
                self.connections.append(connection)
                return messages.GatewayRegistered(
                    self._term,
                    messages.ControllerId(self.name),
                    messages.RulesVersion(3),
                    '',
                )
            case messages.GatewayHeartbeat() if self.silent:
                return transport.CallFuture()
            case messages.GatewayHeartbeat() if self.heartbeat_refusal:
                return self.heartbeat_refusal
            case messages.GatewayHeartbeat():
                return messages.GatewayHeartbeatReply(
                    self._term, self.rules_version, self.members
                )
            case messages.SubmitTasks():
                return self.on_submit(connection, message)
            case messages.WorkerHeartbeats():
                return self.on_heartbeats(message)
        reply = self.replies[type(message)]
        return reply(message) if callable(reply) else reply

    def renew_all(self, message):
        if self.silent:
            return transport.CallFuture()
        return messages.WorkerHeartbeatReplies(
            tuple(
                messages.WorkerHeartbeatReply(heartbeat.worker_id)
                for heartbeat in message.heartbeats
            )
        )


def start_of(spec, worker, attempt=1, body=None):
    return messages.StartAttempt(
        messages.AttemptId(f'{spec.task_id}#{attempt}'),
        messages.FencingToken(4096 * attempt),
        spec,
        messages.WorkerId('w1'),
        worker if isinstance(worker, str) else worker.address,
        messages.Incarnation('i1'),
        5_000,
        body,
    )


@dataclasses.dataclass
class ReceivedCall:
    """One call that a worker received."""

    method: str
    attempt_id: str
    headers: dict
    body: bytes


class Worker:
    """Fake worker with the configurable handlers ``on_start``, ``on_fetch``.

    Both take a :class:`ReceivedCall` and return a werkzeug response.
    """

    def __init__(self):
        self.seen = []
        self.on_start = lambda seen: ended(b'echo:' + seen.body)
        self.on_fetch = lambda _seen: werkzeug.Response(status=404)
        self._server = wsgi.Server(
            ('127.0.0.1', 0),
            self._serve,
            numthreads=8,
            request_queue_size=128,
            shutdown_timeout=1,
        )
        self._server.error_log = lambda *_, **__: None
        self._server.expiration_interval = 0.1
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f'{host}:{port}'
        self._thread = threading.Thread(target=self._server.serve)
        self._thread.start()

    def close(self):
        self._server.stop()
        self._thread.join()

    def open_connections(self):
        """Return the number of open keep-alive connections."""
        return self._server._connections._num_connections

    def starts(self):
        return [seen for seen in list(self.seen) if seen.method == 'POST']

    def _serve(self, environ, start_response):
        request = werkzeug.Request(environ)
        path = environ['REQUEST_URI'].split('/')
        seen = ReceivedCall(
            request.method,
            urllib.parse.unquote(path[3]),
            dict(request.headers),
            request.get_data(),
        )
        self.seen.append(seen)
        handler = self.on_start
        if seen.method == 'GET':
            handler = self.on_fetch
        return handler(seen)(environ, start_response)


def ended(body, state='finished', digest=None):
    return werkzeug.Response(
        body,
        headers={
            'State': state,
            'Run-Ms': '7',
            'Answer-Digest': digest or hashlib.sha256(body).hexdigest(),
        },
    )


def running():
    return werkzeug.Response(status=202)


def place(worker, body, attempt_id, **fields):
    return messages.AnswerPlace(
        messages.WorkerId('w1'),
        worker.address,
        messages.AttemptId(attempt_id),
        len(body),
        hashlib.sha256(body).hexdigest(),
        **fields,
    )


class UnresponsivePort:
    """Port that accepts connections and never answers."""

    def __init__(self):
        self.accepted = []
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        for stream in self.accepted:
            stream.close()

    def _accept(self):
        while True:
            try:
                self.accepted.append(self._listener.accept()[0])
            except OSError:
                return


def free_port():
    """Return an address that nothing listens on."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        return f'{host}:{port}'


def options(*controllers, **changes):
    fields = {
        'gateway_id': messages.GatewayId('g1'),
        'cell_id': CELL,
        'region': messages.Region('gulf'),
        'failure_domain': messages.FailureDomain('sattahip'),
        'callers_address': '127.0.0.1:0',
        'workers_address': '127.0.0.1:0',
        'operators_address': '127.0.0.1:0',
        'controllers': tuple(
            (messages.ControllerId(f'c{number}'), address)
            for number, address in enumerate(controllers, 1)
        ),
        'callers_threads_count': 16,
        'workers_threads_count': 8,
        'operators_threads_count': 2,
        'drain_notice_ms': 0,
        'drain_max_ms': 2_000,
    }
    return gateway.Options(**{**fields, **changes})


@contextlib.contextmanager
def serving(*controllers, wait=True, **changes):
    """Run a gateway until the block ends."""
    gw = gateway.Gateway(options(*controllers, **changes))
    assert isinstance(gw.start(), result.Success)
    with contextlib.closing(gw):
        if wait:
            wait_until(gw.ready)
        yield gw


@dataclasses.dataclass
class Reply:
    """Response that a caller received."""

    status: int
    headers: dict
    body: bytes

    @property
    def outcome(self):
        return self.headers.get('Dandeliondrum-Outcome')

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=b'', headers=None):
    """Send one request; a truncated response raises IncompleteRead."""
    connection = http.client.HTTPConnection(address, timeout=30)
    with contextlib.closing(connection):
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Reply(
            response.status, dict(response.getheaders()), response.read()
        )


def headers(**changes):
    """Return request headers; ``Timeout_Ms=5`` sets ``Timeout-Ms``."""
    fields = {
        'Authorization': f'Bearer {KEY}',
        'Dandeliondrum-Team': TEAM,
        'Dandeliondrum-Timeout-Ms': '15000',
    }
    for name, value in changes.items():
        fields[f'Dandeliondrum-{name.replace("_", "-")}'] = str(value)
    return fields


def run(gw, body=b'lens', **changes):
    return call(
        gw.callers_address, 'POST', '/v1/tasks', body, headers(**changes)
    )


class BackgroundCall:
    """Call of a function in a thread of its own."""

    def __init__(self, function, *arguments, **keywords):
        self._outcome = collections.deque()
        self._thread = threading.Thread(
            target=self._run, args=(function, arguments, keywords), daemon=True
        )
        self._thread.start()

    def result(self, timeout_s=WAIT_S):
        self._thread.join(timeout_s)
        assert self._outcome, 'the call did not end in time'
        value = self._outcome[0]
        if isinstance(value, BaseException):
            raise value
        return value

    def _run(self, function, arguments, keywords):
        try:
            self._outcome.append(function(*arguments, **keywords))
        except BaseException as error:
            self._outcome.append(error)
