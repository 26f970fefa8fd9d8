"""Tests of the client with a real gateway and with scripted ones."""

import contextlib
import hashlib
import json
import random
import socket
import threading

from cheroot import wsgi
import pytest
from returns import result
import werkzeug

from dandeliondrum import client
from dandeliondrum.client import _retries
from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages

FAST = client.RetryPolicy(first_pause_ms=1, longest_pause_ms=20, silence_s=1)


class Gateway:
    """Returns its scripted responses in turn and repeats the last one."""

    def __init__(self, *responses):
        self.seen = []
        self._responses = list(responses)
        self._server = wsgi.Server(
            ('127.0.0.1', 0), self._serve, numthreads=4, shutdown_timeout=1
        )
        self._server.expiration_interval = 0.1
        self._server.error_log = lambda *_, **__: None
        self._server.prepare()
        host, port = self._server.bind_addr[:2]
        self.address = f'{host}:{port}'
        self._thread = threading.Thread(target=self._server.serve)
        self._thread.start()

    def close(self):
        self._server.stop()
        self._thread.join()

    def sent_headers(self, name):
        return [seen.get(f'Dandeliondrum-{name}') for seen in self.seen]

    def _serve(self, environ, start_response):
        request = werkzeug.Request(environ)
        request.get_data()
        self.seen.append(request.headers)
        response = self._responses[0]
        if len(self._responses) > 1:
            del self._responses[0]
        return response(environ, start_response)


@contextlib.contextmanager
def scripted(*responses):
    with contextlib.closing(Gateway(*responses)) as gateway:
        yield gateway


def reply(outcome, status, body=b'', **headers):
    names = {name.replace('_', '-'): text for name, text in headers.items()}
    return werkzeug.Response(
        body if isinstance(body, bytes) else json.dumps(body).encode(),
        status,
        {'Dandeliondrum-Outcome': outcome, **names},
    )


def answered(body=b'ring', digest=None):
    return reply(
        'answered',
        200,
        body,
        Dandeliondrum_Attempt='a#1',
        Dandeliondrum_Answer_Digest=(
            digest or hashlib.sha256(body).hexdigest()
        ),
    )


def truncated():
    """Return an answer shorter than its declared length."""
    response = reply('answered', 200, b'half')
    response.headers['Content-Length'] = '8'
    response.automatically_set_content_length = False
    return response


def refusal(reason, status=503, outcome='refused_not_run', after_ms=0):
    return reply(
        outcome,
        status,
        {'reason': reason, 'detail': 'why', 'retry_after_ms': after_ms},
    )


def make_client(*addresses, policy=FAST):
    """Return a client that uses the addresses in the given order."""

    class InOrder(random.Random):
        def randrange(self, *_arguments):
            return 0

    return client.Client(addresses, 'bureau', fakes.KEY, policy, InOrder(1))


def test_calls_through_a_real_gateway():
    with (
        contextlib.closing(fakes.Leader()) as leader,
        contextlib.closing(fakes.Worker()) as worker,
    ):
        leader.start_on(worker)
        with fakes.serving(leader.address) as front:
            task_client = make_client(front.callers_address)
            answer = task_client.run(b'prism').unwrap()
            assert (answer.body, answer.failed) == (b'echo:prism', False)
            worker.on_start = lambda _seen: fakes.ended(b'broken', 'failed')
            assert task_client.run(b'prism').unwrap().failed
            job = client.JobTask('j1', b'x', cpu_millicores=5)
            (status,) = task_client.submit_jobs([job]).unwrap()
            assert status == client.TaskStatus('j1', 'queued')
            spec = leader.received_of(messages.SubmitTasks)[-1].tasks[0]
            assert spec.resources.cpu_millicores == 5
            leader.replies[messages.CancelCall] = messages.TaskStatuses(
                (fakes.status('bureau/j1', 'cancelled'),)
            )
            (status,) = task_client.cancel(['j1']).unwrap()
            assert status.state == 'cancelled'


def test_retries_keep_the_id_and_only_the_first_is_marked_as_first():
    with contextlib.closing(fakes.UnresponsivePort()) as unresponsive:
        with scripted(refusal('in_doubt', 502, 'in_doubt')) as first:
            with scripted(answered()) as second:
                task_client = make_client(
                    fakes.free_port(), first.address, second.address
                )
                answer = task_client.run(b'x').unwrap()
        assert unresponsive.accepted == []
    (first_id,) = first.sent_headers('Request-Id')
    assert (
        second.sent_headers('Request-Id') == [first_id] == [answer.request_id]
    )
    # A failed connection does not count as a sending.
    assert first.sent_headers('First-Sending') == ['true']
    assert second.sent_headers('First-Sending') == ['false']


def test_id_given_by_caller_is_never_marked_as_first_sending():
    with scripted(answered()) as gateway:
        make_client(gateway.address).run(b'x', request_id='mine').unwrap()
    assert gateway.sent_headers('First-Sending') == ['false']
    assert gateway.sent_headers('Request-Id') == ['mine']


def test_closed_connection_is_retried_as_a_second_sending():
    """libcurl would repeat the request itself, still marked as the first."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        requests = []

        def close_connections():
            with contextlib.suppress(OSError):
                while True:
                    stream, _ = listener.accept()
                    requests.append(stream.recv(65_536))
                    stream.close()

        threading.Thread(target=close_connections, daemon=True).start()
        host, port = listener.getsockname()
        with scripted(answered()) as other:
            make_client(f'{host}:{port}', other.address).run(b'x').unwrap()
    assert len(requests) == 1
    assert b'First-Sending: true' in requests[0]
    assert other.sent_headers('First-Sending') == ['false']


@pytest.mark.parametrize(
    'broken',
    [
        answered(b'ring', digest='0' * 64),
        truncated(),
        werkzeug.Response(b'balancer', 503),
    ],
    ids=['changed', 'truncated', 'no outcome'],
)
def test_incomplete_answer_is_never_accepted(broken):
    with scripted(broken) as first, scripted(answered()) as second:
        options = client.TaskOptions(timeout_ms=10_000)
        answer = make_client(first.address, second.address).run(b'x', options)
    assert answer.unwrap().body == b'ring'


def test_silent_connection_is_retried_without_using_the_budget():
    policy = client.RetryPolicy(
        1, 2, budget_per_call=0, budget_max=0, silence_s=1
    )
    with contextlib.closing(fakes.UnresponsivePort()) as unresponsive:
        with scripted(answered()) as second:
            task_client = make_client(
                unresponsive.address, second.address, policy=policy
            )
            assert task_client.run(b'x').unwrap().body == b'ring'
    assert second.sent_headers('First-Sending') == ['false']


def test_refusal_by_the_leader_is_not_retried():
    with scripted(refusal('queue_full', 429, after_ms=700)) as gateway:
        refused = make_client(gateway.address).run(b'x').failure()
    assert isinstance(refused, client.Refused)
    assert (refused.reason, refused.retry_after_ms) == ('queue_full', 700)
    assert len(gateway.seen) == 1


@pytest.mark.parametrize('reason', ['no_leader', 'gateway_busy'])
def test_refusal_by_a_gateway_alone_is_retried_elsewhere(reason):
    with scripted(refusal(reason)) as first, scripted(answered()) as second:
        task_client = make_client(first.address, second.address)
        assert task_client.run(b'x').unwrap().body == b'ring'
    # The refusal had no effect, so the id is still new.
    assert second.sent_headers('First-Sending') == ['true']


def test_bad_request_in_doubt_is_not_retried():
    bad = refusal('bad_request', 400, 'in_doubt')
    with scripted(bad) as gateway:
        doubt = (
            make_client(gateway.address).run(b'x', request_id='r1').failure()
        )
    assert doubt == client.InDoubt('r1', 'bad_request', 'why')
    assert len(gateway.seen) == 1


def test_new_task_is_refused_if_no_gateway_is_reachable():
    task_client = make_client(fakes.free_port(), fakes.free_port())
    options = client.TaskOptions(timeout_ms=100)
    assert isinstance(task_client.run(b'x', options).failure(), client.Refused)
    doubt = task_client.run(b'x', options, request_id='r1').failure()
    assert isinstance(doubt, client.InDoubt)


def test_doubt_persists_if_a_later_attempt_reaches_no_gateway():
    lost = refusal('in_doubt', 502, 'in_doubt')
    with scripted(lost) as first:
        options = client.TaskOptions(timeout_ms=100)
        task_client = make_client(first.address, fakes.free_port())
        assert isinstance(
            task_client.run(b'x', options).failure(), client.InDoubt
        )


def test_all_attempts_share_one_deadline():
    with scripted(refusal('in_doubt', 502, 'in_doubt')) as gateway:
        options = client.TaskOptions(timeout_ms=300)
        make_client(gateway.address).run(b'x', options)
    remaining_ms = [int(text) for text in gateway.sent_headers('Timeout-Ms')]
    assert len(remaining_ms) > 1
    assert remaining_ms == sorted(remaining_ms, reverse=True)
    assert remaining_ms[0] <= 300


def test_retries_are_limited_by_the_budget():
    policy = client.RetryPolicy(1, 2, budget_per_call=0, budget_max=3)
    with scripted(refusal('in_doubt', 502, 'in_doubt')) as gateway:
        task_client = make_client(gateway.address, policy=policy)
        assert isinstance(task_client.run(b'x').failure(), client.InDoubt)
        assert len(gateway.seen) == 4
        task_client.run(b'x')
        assert len(gateway.seen) == 5


def test_pauses_are_bounded_and_honour_the_requested_pause():
    policy = _retries.RetryPolicy(first_pause_ms=10, longest_pause_ms=100)
    generator = random.Random(3)
    for retries_count in range(0, 2_000, 7):
        pause_ms = policy.pause_ms(retries_count, 400, generator)
        assert 400 <= pause_ms <= 500
    first_pauses_ms = {policy.pause_ms(0, 0, generator) for _ in range(100)}
    assert max(first_pauses_ms) <= 10 and len(first_pauses_ms) > 5


@pytest.mark.parametrize(
    ('state', 'outcome', 'code'),
    [
        ('refused', 'refused_not_run', 200),
        ('queued', 'accepted', 202),
        ('unknown', 'in_doubt', 404),
    ],
)
def test_every_status_is_returned(state, outcome, code):
    body = {'request_id': 'r1', 'state': state, 'worker_id': None}
    with scripted(reply(outcome, code, body)) as gateway:
        task_client = make_client(gateway.address)
        assert task_client.status('r1').unwrap() == client.TaskStatus(
            'r1', state
        )
        pending = task_client.answer('r1').failure()
    assert pending == client.Pending('r1', state)


def test_fetches_and_releases_a_stored_answer():
    with scripted(answered(), answered(), reply('answered', 200)) as gateway:
        task_client = make_client(gateway.address)
        assert task_client.answer('r1').unwrap().body == b'ring'
        assert isinstance(task_client.release('r1'), result.Success)


def test_query_with_a_bad_key_is_not_retried():
    with scripted(refusal('bad_key', 403, 'in_doubt')) as gateway:
        doubt = make_client(gateway.address).status('r1').failure()
    assert doubt.reason == 'bad_key'
    assert len(gateway.seen) == 1
