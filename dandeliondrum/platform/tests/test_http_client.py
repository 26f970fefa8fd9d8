"""The HTTP client of frequent calls, against servers that send given bytes."""

import contextlib
import socket
import threading
import time

import pytest

from dandeliondrum import gateway
from dandeliondrum.platform import _http_client
from dandeliondrum import testing

TIMEOUT_MS = 5_000
OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CLOSE = object()


class ScriptedServer:
    """Answers request number n with the parts of ``replies[n]``.

    A part is bytes to send, a number of seconds to wait, or CLOSE. After the
    last reply the server reads requests and answers none.
    """

    def __init__(self, *replies):
        self.requests = []
        self.connections_count = 0
        self._replies = list(replies)
        self._lock = threading.Lock()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '{}:{}'.format(*self._listener.getsockname())
        self._streams = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()
        for stream in self._streams:
            stream.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                stream, _ = self._listener.accept()
                self.connections_count += 1
                self._streams.append(stream)
                threading.Thread(
                    target=self._serve, args=(stream,), daemon=True
                ).start()

    def _serve(self, stream):
        with contextlib.suppress(OSError), stream:
            while data := stream.recv(65_536):
                with self._lock:
                    self.requests.append(data)
                    parts = self._replies.pop(0) if self._replies else ()
                for part in parts:
                    if part is CLOSE:
                        return
                    if isinstance(part, bytes):
                        stream.sendall(part)
                    else:
                        time.sleep(part)


@pytest.fixture
def serve():
    with contextlib.ExitStack() as resources:

        def start(*replies):
            server = ScriptedServer(*replies)
            resources.callback(server.close)
            return server

        yield start


@pytest.fixture
def client():
    client = _http_client.HttpClient(1)
    with contextlib.closing(client):
        yield client


def post(client, server, timeout_ms=TIMEOUT_MS, headers=()):
    return client.post(server.address, '/hold', headers, b'{}', timeout_ms)


def test_a_request_carries_its_headers_and_body(client, serve):
    server = serve((OK,))
    reply = post(client, server, headers=(('X-Expect-Instance', 'w1'),))
    assert reply.head.status == 200
    assert reply.complete
    assert reply.body == b'ok'
    head, _, body = server.requests[0].partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    assert lines[0] == 'POST /hold HTTP/1.1'
    assert f'Host: {server.address}' in lines
    assert 'X-Expect-Instance: w1' in lines
    assert 'Content-Length: 2' in lines
    assert body == b'{}'


def test_a_connection_is_used_for_many_requests(client, serve):
    server = serve((OK,), (OK,), (OK,))
    for _ in range(3):
        assert post(client, server).body == b'ok'
    assert server.connections_count == 1


@pytest.mark.parametrize(
    'parts',
    [
        (b'HTTP/1.1 200 OK\r\nContent-Le', 0.05, b'ngth: 2\r\n\r\no', b'k'),
        (b'HTTP/1.1 100 Continue\r\n\r\n', OK),
        (
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\no\r',
            0.05,
            b'\n1;x=y\r\nk\r\n0\r\nTrailer: x\r\n\r\n',
        ),
        (b'HTTP/1.1 200 OK\r\n\r\no', 0.05, b'k', CLOSE),
        (b'HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok',),
        (
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            b'Content-Length: 2\r\n\r\nok',
        ),
    ],
    ids=['split', 'interim', 'chunked', 'to the end', 'HTTP/1.0', 'close'],
)
def test_a_reply_is_read_in_each_form_and_the_next_one_too(
    client, serve, parts
):
    server = serve(parts, (OK,))
    for _ in range(2):
        reply = post(client, server)
        assert (reply.head.status, reply.body) == (200, b'ok')
        assert reply.complete


def test_a_reply_without_a_body_does_not_wait_for_one(client, serve):
    server = serve((b'HTTP/1.1 204 No Content\r\n\r\n',), (OK,))
    assert post(client, server).head.status == 204
    assert post(client, server).body == b'ok'
    assert server.connections_count == 1


def test_a_connection_that_was_closed_while_idle_is_replaced(client, serve):
    server = serve((OK, CLOSE), (OK,))
    assert post(client, server).body == b'ok'
    kept = client._pools[server.address]._idle[0]
    testing.wait_until(lambda: not kept.is_idle())
    assert post(client, server).body == b'ok'
    assert server.connections_count == 2


def test_bytes_after_a_reply_do_not_become_the_next_one(client, serve):
    stray = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray'
    server = serve((OK + stray,), (OK,))
    for _ in range(2):
        assert post(client, server).body == b'ok'


def test_a_request_on_a_kept_connection_that_breaks_is_not_sent_again(
    client, serve
):
    server = serve((OK,), (CLOSE,), (OK,))
    assert post(client, server).body == b'ok'
    assert isinstance(post(client, server), gateway.NoReply)
    assert len(server.requests) == 2


def test_a_refused_connection_is_reported_as_not_sent(client, serve):
    server = serve()
    server.close()
    testing.wait_until(
        lambda: isinstance(post(client, server), gateway.NotSent)
    )


def test_a_call_without_a_reply_ends_in_time(client, serve):
    server = serve()
    begin_s = time.monotonic()
    assert isinstance(post(client, server, 200), gateway.NoReply)
    assert 0.2 <= time.monotonic() - begin_s < 1


def test_a_reply_that_trickles_does_not_extend_the_time(client, serve):
    server = serve(
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n',
            *100 * (b'x', 0.05),
        )
    )
    begin_s = time.monotonic()
    reply = post(client, server, 300)
    assert time.monotonic() - begin_s < 1
    assert not reply.complete


def test_a_late_reply_is_not_taken_for_that_to_the_next_request(client, serve):
    late = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'
    server = serve((0.3, late), (OK,))
    assert isinstance(post(client, server, 100), gateway.NoReply)
    time.sleep(0.4)
    assert post(client, server).body == b'ok'


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nok',
        b'HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok',
    ],
)
def test_a_truncated_or_invalid_body_is_not_complete(client, serve, reply):
    server = serve((reply, CLOSE), (OK,))
    assert not post(client, server).complete
    assert post(client, server).body == b'ok'


@pytest.mark.parametrize(
    'reply',
    [
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'SSH-2.0-OpenSSH\r\n\r\n',
        b'HTTP/1.1\r\n\r\n',
        b'HTTP/1.1 many OK\r\n\r\n',
        40_000 * b'x',
    ],
)
def test_a_head_that_is_cut_or_invalid_is_no_reply(client, serve, reply):
    server = serve((reply, CLOSE), (OK,))
    assert isinstance(post(client, server), gateway.NoReply)
    assert post(client, server).body == b'ok'


def test_a_line_break_in_a_header_is_not_sent(client, serve):
    server = serve((OK,))
    reply = post(client, server, headers=(('X', 'w1\r\nY: z'),))
    assert isinstance(reply, gateway.NotSent)
    assert server.requests == []


def test_a_call_waits_for_a_free_connection_until_its_time_is_over(
    client, serve
):
    server = serve((0.5, OK), (OK,))
    first = threading.Thread(target=post, args=(client, server))
    first.start()
    testing.wait_until(lambda: server.requests)
    assert isinstance(post(client, server, 100), gateway.NotSent)
    assert post(client, server).body == b'ok'
    first.join()
    assert server.connections_count == 1
