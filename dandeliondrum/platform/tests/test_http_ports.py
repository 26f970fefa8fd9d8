"""Calls to workers whose replies are not what a worker should send."""

import contextlib
import http.server
import json
import threading

import pytest
import structlog

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _http_ports

LISTS = {'TimeMs': 5, 'born': 1, 'Running': [], 'Ended': []}
RUN = ['0a.0.0.0', 1, '', 10]
END = [1, '0a.0.0.0', 1, 'done', '']


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def do_POST(self):
        self.rfile.read(int(self.headers['Content-Length']))
        self.send_response(200)
        self.send_header('Content-Length', str(len(self.server.reply)))
        self.end_headers()
        self.wfile.write(self.server.reply)

    def log_message(self, *_arguments):
        pass


@pytest.fixture
def server():
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
    thread = threading.Thread(target=server.serve_forever)
    with contextlib.ExitStack() as stack:
        stack.callback(thread.join)
        stack.callback(server.shutdown)
        stack.enter_context(server)
        thread.start()
        yield server


@pytest.fixture
def port():
    with contextlib.closing(_http_ports.HttpWorkerPort()) as port:
        yield port


def _worker(server):
    return jobs.WorkerFacts(
        messages.WorkerId('i-1'),
        f'127.0.0.1:{server.server_address[1]}',
        'pool',
        messages.FailureDomain('d'),
        messages.Rack('r'),
        (),
        messages.Resources(1_000, 10),
        1,
    )


@pytest.mark.parametrize(
    'fields',
    [
        {'Running': 7},
        {'Ended': None},
        {'TimeMs': 10**400},
        {'TimeMs': None},
        {'born': 'yesterday'},
    ],
)
def test_lists_that_are_no_lists_count_as_no_answer(server, port, fields):
    server.reply = json.dumps({**LISTS, **fields}).encode()
    request = jobs.LeaseRequest(_worker(server), 1, 0, None, 0)
    outcome = port.renew(request)
    assert isinstance(outcome, jobs.Unanswered)
    assert outcome.sent
    assert 'invalid lists' in outcome.detail


@pytest.mark.parametrize(
    'fields',
    [
        {'Running': [[*RUN[:1], float('inf'), *RUN[2:]], RUN]},
        {'Running': [RUN[:2], RUN]},
        {'Running': [RUN], 'Ended': [END, [float('inf'), *END[1:]]]},
        {'Running': [RUN], 'Ended': [[*END[:2], float('nan'), *END[3:]], END]},
    ],
)
def test_an_invalid_row_of_the_lists_is_left_out(server, port, fields):
    """Regression test: the whole lists counted as no answer."""
    server.reply = json.dumps({**LISTS, 'Ended': [END], **fields}).encode()
    request = jobs.LeaseRequest(_worker(server), 1, 0, None, 0)
    with structlog.testing.capture_logs() as logs:
        outcomes = [port.renew(request) for _ in range(3)]
    for outcome in outcomes:
        assert isinstance(outcome, jobs.WorkerListing)
        assert [str(run.task) for run in outcome.runs] == [RUN[0]]
        assert [end.sequence for end in outcome.ends] == [END[0]]
    assert [line['event'] for line in logs] == ['rows of a worker skipped']


@pytest.mark.parametrize('reply', [b'', b'\xff', b'[]', b'{"TimeMs":1e400}'])
def test_a_start_with_an_unreadable_reply_may_have_run(server, port, reply):
    server.reply = reply
    task = jobs.parse_task_key('0a.0.0.0')
    order = jobs.StartOrder(_worker(server), 1, task, 1, '', 9, '', '')
    outcome = port.start(order)
    assert isinstance(outcome, jobs.Unanswered)
    assert outcome.sent
