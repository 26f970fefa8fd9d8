"""Tests of receiving requests without blocking, and of the budget."""

import contextlib
import random
import socket
import time

import pytest

from dandeliondrum import http_server
from dandeliondrum.http_server import _arrival

BODY_BYTES_MAX = 1_000
LIMITS = http_server.Limits(
    header_bytes_max=2_000,
    body_bytes_max=BODY_BYTES_MAX,
    arrival_ms=1_000,
    stall_ms=20_000,
)
PARTIAL, READY = _arrival.State.PARTIAL, _arrival.State.READY
HEAD = b'POST / HTTP/1.1\r\nHost: x\r\n'


@pytest.fixture
def budget():
    return http_server.ByteBudget(4 * 1024 * 1024)


@pytest.fixture
def pair(budget):
    client, server = socket.socketpair()
    with contextlib.closing(client), contextlib.closing(server):
        server.settimeout(LIMITS.stall_ms / 1000)
        yield client, _arrival.Arrival(server, LIMITS, budget)


def sent(pair, data):
    client, arrival = pair
    client.sendall(data)
    return arrival.receive()


def read_all(arrival):
    data = bytearray()
    while piece := arrival.read(65_536):
        data += piece
    return bytes(data)


def chunked(body, rng):
    """Return a body in chunks of random lengths, with a trailer."""
    parts = []
    while body:
        count = min(len(body), rng.randrange(1, 40))
        parts.append(b'%x;a=b\r\n%b\r\n' % (count, body[:count]))
        body = body[count:]
    return b''.join([*parts, b'0\r\nX-After: 1\r\n\r\n'])


def test_receiving_never_waits_for_a_peer(pair):
    """A wait would hold up all connections of the server."""
    began_s = time.monotonic()
    assert pair[1].receive() is PARTIAL
    assert sent(pair, b'POST / HT') is PARTIAL
    assert sent(pair, HEAD + b'Content-Length: 5\r\n\r\n1234') is PARTIAL
    assert time.monotonic() - began_s < LIMITS.stall_ms / 2_000


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('is_chunked', [True, False])
def test_requests_in_any_pieces_are_passed_on_one_by_one(
    pair, budget, seed, is_chunked
):
    rng = random.Random(seed)
    _, arrival = pair
    wire, requests = b'', []
    for _ in range(5):
        body = rng.randbytes(rng.randrange(BODY_BYTES_MAX))
        if is_chunked:
            framing = b'Transfer-Encoding: chunked\r\n\r\n'
            request = HEAD + framing + chunked(body, rng)
        else:
            framing = b'content-length:%d\r\n\r\n' % len(body)
            request = HEAD + framing + body
        requests.append(request)
        wire += request
    received = []
    while wire:
        count = min(len(wire), rng.randrange(1, 700))
        state = sent(pair, wire[:count])
        wire = wire[count:]
        while state is READY:
            assert arrival.is_whole
            received.append(read_all(arrival))
            arrival.next_request()
            state = arrival.receive()
    assert received == requests
    arrival.discard()
    assert budget.used_bytes == 0


@pytest.mark.parametrize(
    'data',
    [
        b'Content-Length: 1001\r\n\r\n',
        b'Content-Length: ' + b'9' * 40 + b'\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n3e9\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n' + b'1f4\r\n'
        + b'x' * 500 + b'\r\n' + b'1f5\r\n',
    ],
)  # fmt: skip
def test_a_body_that_is_too_large_is_not_received(pair, budget, data):
    assert sent(pair, HEAD + data + b'x' * 100) is READY
    arrival = pair[1]
    assert arrival.too_large and not arrival.is_whole
    assert read_all(arrival).endswith(b'\r\n\r\n')
    assert budget.used_bytes <= 2 * 2 * _arrival.RECEIVE_BYTES


@pytest.mark.parametrize(
    'data',
    [
        b'POST / HTTP/1.1\n',
        b'x' * 2_300,
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nsoon\r\n',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n-5\r\n',
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n' + b'1' * 300,
    ],
)
def test_malformed_requests_are_passed_on_to_be_refused(pair, data):
    assert sent(pair, data) is READY


def test_a_body_beyond_the_budget_is_not_received(pair, budget):
    other = budget.open()
    assert other.grow(budget.total_bytes - 1_000)
    assert sent(pair, HEAD + b'Content-Length: 900\r\n\r\n') is READY
    assert pair[1].overloaded
    pair[1].next_request()
    other.release()
    pair[0].sendall(HEAD + b'Content-Length: 900\r\n\r\n' + b'x' * 900)
    assert pair[1].receive() is READY
    assert pair[1].is_whole


def test_the_client_is_asked_for_an_announced_body(pair):
    expect = b'Expect: 100-continue\r\nContent-Length: 5\r\n\r\n'
    assert sent(pair, HEAD + expect) is PARTIAL
    assert pair[0].recv(100) == b'HTTP/1.1 100 Continue\r\n\r\n'
    assert sent(pair, b'12345') is READY


def test_a_request_cut_by_its_peer_is_passed_on(pair):
    pair[0].sendall(HEAD + b'Content-Length: 5\r\n\r\n123')
    pair[0].shutdown(socket.SHUT_WR)
    assert pair[1].receive() is READY
    assert not pair[1].is_whole


def test_small_requests_have_a_part_of_the_budget():
    budget = http_server.ByteBudget(1_000_000)
    first, second, small = budget.open(), budget.open(), budget.open()
    assert first.grow(700_000)
    assert not second.grow(200_000)
    assert small.grow(60_000)
    first.release()
    small.release()
    assert second.grow(1_000_000)
    assert second.fits_ever(0) and not second.fits_ever(1)
    second.release()
    assert budget.used_bytes == 0


def test_limits_follow_from_those_of_the_process():
    smallest = http_server.ProcessLimits(160, 1_638)
    assert smallest.budget_bytes == 40 * 1024 * 1024
    assert smallest.connections_max(0.5) == 687
    assert http_server.ProcessLimits().connections_max(0.1) == 1_024
    with pytest.raises(ValueError):
        http_server.Limits(header_bytes_max=1, body_bytes_max=-1, arrival_ms=1)
