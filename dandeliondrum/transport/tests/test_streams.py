"""Tests of connections over loopback."""

import concurrent.futures
import contextlib
import socket
import threading

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum.transport import _frames

CELL = messages.CellId('test')
SHORT_SILENCE_MS = 200


def hello(cell_id=CELL):
    return messages.Hello(
        cell_id, transport.PROTOCOL_VERSION, messages.PeerKind.GATEWAY, 'g1'
    )


@contextlib.contextmanager
def serving(on_call, silence_ms=SHORT_SILENCE_MS):
    server = transport.Server(
        transport.ServerOptions('127.0.0.1:0', CELL, silence_ms=silence_ms),
        transport.Callbacks(on_call=on_call),
    )
    server.start()
    with contextlib.closing(server):
        yield server


def test_replies_out_of_order_reach_their_calls():
    futures = []

    def on_call(_connection, message):
        futures.append((message, concurrent.futures.Future()))
        return futures[-1][1]

    with serving(on_call) as server:
        connection = transport.connect(
            server.address, hello(), transport.Callbacks()
        )
        with contextlib.closing(connection):
            calls = [
                connection.call_async(
                    messages.ExplainTask(messages.TaskId(name))
                )
                for name in ('one', 'two')
            ]
            while len(futures) < 2:
                pass
            for message, future in reversed(futures):
                future.set_result(messages.CallFailed(message.task_id, True))
            for call, name in zip(calls, ('one', 'two'), strict=True):
                assert call.result(5).unwrap().reason == name


def _raise(*_):
    raise RuntimeError('broken')


def _failed_future(*_):
    future = concurrent.futures.Future()
    future.set_exception(RuntimeError('broken'))
    return future


def _cancelled_future(*_):
    future = concurrent.futures.Future()
    future.cancel()
    return future


@pytest.mark.parametrize(
    'on_call', [_raise, _failed_future, _cancelled_future, lambda *_: object()]
)
def test_a_call_whose_handler_fails_is_answered(on_call):
    with serving(on_call) as server:
        connection = transport.connect(
            server.address, hello(), transport.Callbacks()
        )
        with contextlib.closing(connection):
            for _ in range(2):
                reply = connection.call(messages.ShowFleet(), 2_000).unwrap()
                assert isinstance(reply, messages.CallFailed)
                assert 'ShowFleet failed' in reply.reason
                assert not reply.not_done


def test_a_server_can_push_to_its_client():
    pushed = threading.Event()

    def on_call(connection, _message):
        connection.push(messages.Done())
        return messages.Done()

    with serving(on_call) as server:
        connection = transport.connect(
            server.address,
            hello(),
            transport.Callbacks(on_push=lambda *_: pushed.set()),
        )
        with contextlib.closing(connection):
            assert connection.call(
                messages.ShowFleet(), 5_000
            ) == result.Success(messages.Done())
            assert pushed.wait(5)


def test_pings_keep_an_idle_connection_open():
    with serving(lambda *_: messages.Done()) as server:
        connection = transport.connect(
            server.address,
            hello(),
            transport.Callbacks(),
            silence_ms=SHORT_SILENCE_MS,
        )
        with contextlib.closing(connection):
            assert not connection.closed.wait(SHORT_SILENCE_MS * 4 / 1000)


def test_a_silent_connection_is_closed_and_its_calls_fail():
    with socket.create_server(('127.0.0.1', 0)) as silent:
        host, port = silent.getsockname()
        connection = transport.connect(
            f'{host}:{port}',
            hello(),
            transport.Callbacks(),
            silence_ms=SHORT_SILENCE_MS,
        )
        call = connection.call_async(messages.ShowFleet())
        failure = call.result(10).failure()
        assert failure.failure is transport.CallFailure.CLOSED


@pytest.mark.parametrize(
    'data',
    [b'\x00\x00\x00\x05hello', b'\xff' * 64, b'GET / HTTP/1.1\r\n\r\n'],
)
def test_random_bytes_close_only_their_own_connection(data):
    with serving(lambda *_: messages.Done()) as server:
        address = transport.parse_address(server.address)
        with socket.create_connection(address, 5) as raw:
            raw.sendall(data)
            raw.settimeout(10)
            # The peer closes with unread bytes, which resets the connection.
            with contextlib.suppress(ConnectionResetError):
                assert raw.recv(1) == b''
        connection = transport.connect(
            server.address, hello(), transport.Callbacks()
        )
        with contextlib.closing(connection):
            reply = connection.call(messages.ShowFleet(), 5_000)
            assert isinstance(reply, result.Success)


def test_a_peer_of_another_cell_is_rejected():
    with serving(lambda *_: messages.Done()) as server:
        connection = transport.connect(
            server.address,
            hello(messages.CellId('other')),
            transport.Callbacks(),
        )
        assert connection.closed.wait(10)


def test_a_peer_that_stops_reading_does_not_block_senders_and_gets_all():
    """Senders write themselves, so a full stream must not hold them up."""
    count, size_bytes = 40, 256 * 1024
    with socket.create_server(('127.0.0.1', 0)) as server:
        host, port = server.getsockname()
        connection = transport.connect(
            f'{host}:{port}', hello(), transport.Callbacks(), silence_ms=30_000
        )
        stream, _ = server.accept()
        with contextlib.closing(connection), stream:
            for number in range(count):
                text = f'{number}-'.ljust(size_bytes, '.')
                assert connection.push(messages.CallFailed(text, True))
            stream.settimeout(30)
            reader = _frames.Reader(stream)
            assert reader.read()[0] is _frames.FrameKind.PUSH  # The hello.
            received = []
            while len(received) < count:
                kind, _, payload = reader.read()
                if kind is _frames.FrameKind.PUSH:
                    received.append(messages.decode(payload).unwrap().reason)
    assert [int(text.partition('-')[0]) for text in received] == list(
        range(count)
    )
    assert {len(text) for text in received} == {size_bytes}


def test_frames_that_arrive_together_or_in_pieces_are_read_one_by_one():
    """One read of the stream may return parts of several frames."""
    frames = [
        (_frames.FrameKind.CALL, number, b'.' * size_bytes)
        for number, size_bytes in enumerate((0, 5, 100_000, 1, 400_000, 3))
    ]
    data = b''.join(_frames.pack(*frame) for frame in frames)
    for piece_bytes in (1_000, 70_001, len(data)):
        ours, theirs = socket.socketpair()
        with ours, theirs:
            ours.settimeout(10)
            sender = threading.Thread(
                target=_send_pieces, args=(theirs, data, piece_bytes)
            )
            sender.start()
            reader = _frames.Reader(ours)
            assert [reader.read() for _ in frames] == frames
            sender.join()
            theirs.shutdown(socket.SHUT_WR)
            assert reader.read() is None


def _send_pieces(stream, data, piece_bytes):
    for begin in range(0, len(data), piece_bytes):
        stream.sendall(data[begin : begin + piece_bytes])
