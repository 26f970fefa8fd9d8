"""Calls to workers whose reply is read without its headers."""

import contextlib
import socket
import threading

import pytest

from dandeliondrum import gateway
from dandeliondrum.gateway import _worker_client

TIMEOUT_MS = 2_000


@contextlib.contextmanager
def answering(reply):
    """Serve one connection that gets these bytes as the reply."""
    listener = socket.create_server(('127.0.0.1', 0))

    def serve():
        stream, _ = listener.accept()
        with stream:
            stream.recv(65_536)
            stream.sendall(reply)

    thread = threading.Thread(target=serve)
    thread.start()
    try:
        yield f'127.0.0.1:{listener.getsockname()[1]}'
    finally:
        thread.join()
        listener.close()


def call(address):
    client = gateway.WorkerClient(1)
    try:
        return client.call(
            gateway.WorkerRequest(
                'POST',
                address,
                '/order',
                TIMEOUT_MS,
                body=b'{}',
                timeout_ms=TIMEOUT_MS,
                reads_headers=False,
            )
        )
    finally:
        client.close()


def test_the_status_and_the_body_are_read():
    reply = b'HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nbusy'
    with answering(reply) as address:
        outcome = call(address)
    assert outcome == gateway.WorkerReply(
        _worker_client.Head(409, {}), b'busy', complete=True
    )


@pytest.mark.parametrize('sent', [b'', b'bu'])
def test_a_reply_that_ends_early_is_never_taken_for_a_whole_one(sent):
    reply = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n' + sent
    with answering(reply) as address:
        outcome = call(address)
    match outcome:
        case gateway.WorkerReply(complete=complete):
            assert not complete
        case other:
            assert isinstance(other, gateway.NoReply)


def test_a_body_that_is_too_large_is_truncated():
    body = bytes(_worker_client.BUFFERED_MAX_BYTES + 1)
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    with answering(head.encode() + body) as address:
        outcome = call(address)
    assert not outcome.complete
    assert len(outcome.body) <= _worker_client.BUFFERED_MAX_BYTES


def test_a_worker_that_refuses_connections_was_not_called():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
    assert isinstance(call(address), gateway.NotSent)
