"""Tests of the client against gateways, real and scripted."""

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
    """Answers each call with the next of its scripted responses."""

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

    def sent(self, name):
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
    with contextlib.closing(Gateway(*responses)) as one:
        yield one


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


def cut():
    """Return an answer that ends before its declared length."""
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


def make(*addresses, policy=FAST):
    """Return a client that begins with the first address."""

    class InOrder(random.Random):
        def randrange(self, *_arguments):
            return 0

    return client.Client(addresses, 'bureau', fakes.KEY, policy, InOrder(1))


def test_a_task_goes_through_a_real_gateway():
    with (
        contextlib.closing(fakes.Leader()) as leader,
        contextlib.closing(fakes.Worker()) as worker,
    ):
        leader.start_on(worker)
        with fakes.serving(leader.address) as front:
            handler = make(front.callers_address)
            answer = handler.run(b'prism').unwrap()
            assert (answer.body, answer.failed) == (b'echo:prism', False)
            worker.on_start = lambda _seen: fakes.ended(b'broken', 'failed')
            assert handler.run(b'prism').unwrap().failed
            job = client.JobTask('j1', b'x', cpu_millicores=5)
            (status,) = handler.submit_jobs([job]).unwrap()
            assert status == client.TaskStatus('j1', 'queued')
            spec = leader.of(messages.SubmitTasks)[-1].tasks[0]
            assert spec.resources.cpu_millicores == 5
            leader.replies[messages.CancelCall] = messages.TaskStatuses(
                (fakes.status('bureau/j1', 'cancelled'),)
            )
            (status,) = handler.cancel(['j1']).unwrap()
            assert status.state == 'cancelled'


def test_an_id_is_kept_through_all_tries_and_vouched_for_only_once():
    with contextlib.closing(fakes.MutePort()) as mute:
        with scripted(refusal('in_doubt', 502, 'in_doubt')) as first:
            with scripted(answered()) as second:
                handler = make(
                    fakes.free_port(), first.address, second.address
                )
                answer = handler.run(b'x').unwrap()
        assert mute.accepted == []
    (first_id,) = first.sent('Request-Id')
    assert second.sent('Request-Id') == [first_id] == [answer.request_id]
    # A gateway that was not reached does not count as a sending.
    assert first.sent('First-Sending') == ['true']
    assert second.sent('First-Sending') == ['false']


def test_an_id_of_ones_own_is_never_vouched_for():
    with scripted(answered()) as gateway:
        make(gateway.address).run(b'x', request_id='mine').unwrap()
    assert gateway.sent('First-Sending') == ['false']
    assert gateway.sent('Request-Id') == ['mine']


def test_a_gateway_that_hangs_up_leads_to_a_second_sending():
    """The library would repeat the call by itself, still as the first."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        heads = []

        def hang_up():
            with contextlib.suppress(OSError):
                while True:
                    stream, _ = listener.accept()
                    heads.append(stream.recv(65_536))
                    stream.close()

        threading.Thread(target=hang_up, daemon=True).start()
        host, port = listener.getsockname()
        with scripted(answered()) as other:
            make(f'{host}:{port}', other.address).run(b'x').unwrap()
    assert len(heads) == 1
    assert b'First-Sending: true' in heads[0]
    assert other.sent('First-Sending') == ['false']


@pytest.mark.parametrize(
    'broken',
    [
        answered(b'ring', digest='0' * 64),
        cut(),
        werkzeug.Response(b'balancer', 503),
    ],
    ids=['changed', 'cut', 'no outcome'],
)
def test_what_is_no_whole_answer_is_never_taken_for_one(broken):
    with scripted(broken) as first, scripted(answered()) as second:
        options = client.TaskOptions(timeout_ms=10_000)
        answer = make(first.address, second.address).run(b'x', options)
    assert answer.unwrap().body == b'ring'


def test_a_connection_that_went_silent_is_given_up_at_no_cost():
    policy = client.RetryPolicy(
        1, 2, budget_per_call=0, budget_max=0, silence_s=1
    )
    with contextlib.closing(fakes.MutePort()) as mute:
        with scripted(answered()) as second:
            handler = make(mute.address, second.address, policy=policy)
            assert handler.run(b'x').unwrap().body == b'ring'
    assert second.sent('First-Sending') == ['false']


def test_a_refusal_by_the_leader_ends_the_tries():
    with scripted(refusal('queue_full', 429, after_ms=700)) as gateway:
        refused = make(gateway.address).run(b'x').failure()
    assert isinstance(refused, client.Refused)
    assert (refused.reason, refused.retry_after_ms) == ('queue_full', 700)
    assert len(gateway.seen) == 1


@pytest.mark.parametrize('reason', ['no_leader', 'gateway_busy'])
def test_a_refusal_by_a_gateway_alone_is_tried_elsewhere(reason):
    with scripted(refusal(reason)) as first, scripted(answered()) as second:
        handler = make(first.address, second.address)
        assert handler.run(b'x').unwrap().body == b'ring'
    # Nothing was left behind, so the id is still new.
    assert second.sent('First-Sending') == ['true']


def test_a_bad_request_in_doubt_is_not_repeated():
    bad = refusal('bad_request', 400, 'in_doubt')
    with scripted(bad) as gateway:
        doubt = make(gateway.address).run(b'x', request_id='r1').failure()
    assert doubt == client.InDoubt('r1', 'bad_request', 'why')
    assert len(gateway.seen) == 1


def test_without_any_gateway_a_new_task_was_not_run():
    handler = make(fakes.free_port(), fakes.free_port())
    options = client.TaskOptions(timeout_ms=100)
    assert isinstance(handler.run(b'x', options).failure(), client.Refused)
    doubt = handler.run(b'x', options, request_id='r1').failure()
    assert isinstance(doubt, client.InDoubt)


def test_a_doubt_is_not_forgotten_when_a_later_try_reaches_nobody():
    lost = refusal('in_doubt', 502, 'in_doubt')
    with scripted(lost) as first:
        options = client.TaskOptions(timeout_ms=100)
        handler = make(first.address, fakes.free_port())
        assert isinstance(handler.run(b'x', options).failure(), client.InDoubt)


def test_all_tries_share_one_deadline():
    with scripted(refusal('in_doubt', 502, 'in_doubt')) as gateway:
        options = client.TaskOptions(timeout_ms=300)
        make(gateway.address).run(b'x', options)
    left = [int(text) for text in gateway.sent('Timeout-Ms')]
    assert len(left) > 1
    assert left == sorted(left, reverse=True)
    assert left[0] <= 300


def test_retries_end_with_their_budget():
    policy = client.RetryPolicy(1, 2, budget_per_call=0, budget_max=3)
    with scripted(refusal('in_doubt', 502, 'in_doubt')) as gateway:
        handler = make(gateway.address, policy=policy)
        assert isinstance(handler.run(b'x').failure(), client.InDoubt)
        assert len(gateway.seen) == 4
        handler.run(b'x')
        assert len(gateway.seen) == 5


def test_pauses_grow_to_a_bound_and_honour_what_was_asked():
    policy = _retries.RetryPolicy(first_pause_ms=10, longest_pause_ms=100)
    generator = random.Random(3)
    for retries_count in range(0, 2_000, 7):
        pause_ms = policy.pause_ms(retries_count, 400, generator)
        assert 400 <= pause_ms <= 500
    firsts = {policy.pause_ms(0, 0, generator) for _ in range(100)}
    assert max(firsts) <= 10 and len(firsts) > 5


@pytest.mark.parametrize(
    ('state', 'outcome', 'code'),
    [
        ('refused', 'refused_not_run', 200),
        ('queued', 'accepted', 202),
        ('unknown', 'in_doubt', 404),
    ],
)
def test_a_status_is_returned_whatever_it_is(state, outcome, code):
    body = {'request_id': 'r1', 'state': state, 'worker_id': None}
    with scripted(reply(outcome, code, body)) as gateway:
        handler = make(gateway.address)
        assert handler.status('r1').unwrap() == client.TaskStatus('r1', state)
        pending = handler.answer('r1').failure()
    assert pending == client.Pending('r1', state)


def test_a_stored_answer_is_fetched_and_released():
    with scripted(answered(), answered(), reply('answered', 200)) as gateway:
        handler = make(gateway.address)
        assert handler.answer('r1').unwrap().body == b'ring'
        assert isinstance(handler.release('r1'), result.Success)


def test_a_question_with_a_bad_key_is_not_repeated():
    with scripted(refusal('bad_key', 403, 'in_doubt')) as gateway:
        doubt = make(gateway.address).status('r1').failure()
    assert doubt.reason == 'bad_key'
    assert len(gateway.seen) == 1
