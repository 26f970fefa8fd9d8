"""Tests of connections over loopback."""

import concurrent.futures
import contextlib
import errno
import gc
import itertools
import os
import resource
import socket
import threading
import time

import pytest
from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum.transport import _frames
from dandeliondrum.transport import _server

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


class _Pair:
    """A connection over a stream that the test knows, and its peer."""

    def __init__(self, callbacks=None, silence_ms=30_000):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            self.stream = socket.create_connection(listener.getsockname(), 5)
            self.peer, _ = listener.accept()
        self.peer.settimeout(10)
        self.connection = transport.Connection(
            self.stream, callbacks or transport.Callbacks(), silence_ms
        )
        self.runner = threading.Thread(
            target=self.connection.run, daemon=True, name='runner'
        )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.connection.close()
        self.peer.close()
        if self.runner.ident is not None:
            self.runner.join(10)

    def has_descriptor(self):
        return self.stream.fileno() >= 0


def test_a_close_leaves_the_descriptor_to_the_thread_that_reads():
    """A new connection may get the number of a descriptor that is closed."""
    handling, proceed = threading.Event(), threading.Event()

    def on_push(*_):
        handling.set()
        proceed.wait(30)

    with _Pair(transport.Callbacks(on_push=on_push)) as pair:
        pair.runner.start()
        push = messages.encode(messages.Done())
        pair.peer.sendall(_frames.pack(_frames.FrameKind.PUSH, 0, push))
        assert handling.wait(10)
        pair.connection.close()
        try:
            assert pair.has_descriptor()
            assert pair.peer.recv(1) == b''
            assert not pair.connection.push(messages.Done())
        finally:
            proceed.set()
        pair.runner.join(10)
        assert not pair.runner.is_alive()
        assert not pair.has_descriptor()


def test_readers_of_closed_connections_do_not_wait_on_new_connections():
    """The stream of a new connection may have the number of a closed one."""
    threads_count, each_count = 4, 200
    ended = set()

    def open_and_close(address, pause_s):
        for _ in range(each_count):
            connection = transport.connect(
                address,
                hello(),
                transport.Callbacks(on_close=ended.add),
                silence_ms=30_000,
                timeout_ms=20_000,
            )
            time.sleep(pause_s)
            connection.close()

    with serving(lambda *_: messages.Done(), silence_ms=30_000) as server:
        with concurrent.futures.ThreadPoolExecutor(threads_count) as executor:
            loops = [
                executor.submit(open_and_close, server.address, number / 500)
                for number in range(threads_count)
            ]
        for loop in loops:
            loop.result()
        # A reader that waits on another stream does so for 30 s.
        end_s = time.monotonic() + 10
        while time.monotonic() < end_s:
            if len(ended) == threads_count * each_count:
                break
            time.sleep(0.01)
    assert len(ended) == threads_count * each_count


def _events(lines, event):
    return [line for line in lines if line['event'] == event]


def test_a_connection_that_never_runs_does_not_leak_its_descriptor():
    with _Pair() as pair:
        pair.connection.close()
        assert not pair.has_descriptor()
        assert pair.peer.recv(1) == b''
        assert not pair.connection.push(messages.Done())


def test_a_connection_that_is_closed_before_it_runs_reports_its_end():
    ended = []
    with _Pair(transport.Callbacks(on_close=ended.append)) as pair:
        pair.connection.close()
        pair.connection.run()
        assert ended == [pair.connection]
        assert not pair.has_descriptor()


def test_a_connection_without_a_writer_thread_does_not_stay_silent(
    monkeypatch,
):
    """Otherwise its peer waits for it until the timeout."""
    ended = []
    with _Pair(transport.Callbacks(on_close=ended.append)) as pair:
        _refuse_threads(monkeypatch, 'writer')
        with contextlib.suppress(RuntimeError):
            pair.connection.run()
        assert pair.connection.closed.is_set()
        assert not pair.has_descriptor()
        assert ended == [pair.connection]
        assert pair.peer.recv(1) == b''


def test_a_connection_without_a_reader_thread_does_not_stay_silent(
    monkeypatch,
):
    _refuse_threads(monkeypatch, 'outgoing-stream')
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        with pytest.raises(OSError, match='new thread'):
            transport.connect(f'{host}:{port}', hello(), transport.Callbacks())
        peer, _ = listener.accept()
        with peer:
            peer.settimeout(10)
            assert _frames.read(peer)[0] is _frames.FrameKind.PUSH
            assert peer.recv(1) == b''


def _refuse_threads(monkeypatch, name):
    """Fail as the system does when it has no thread left."""
    start = threading.Thread.start

    def refuse(thread):
        if thread.name.endswith(name):
            raise RuntimeError("can't start new thread")
        start(thread)

    monkeypatch.setattr(threading.Thread, 'start', refuse)


def test_a_close_on_this_side_is_not_logged_as_a_timeout(monkeypatch):
    """A read may time out at the moment of a close."""
    reading, closed = threading.Event(), threading.Event()

    def read(_reader):
        reading.set()
        assert closed.wait(10)
        raise TimeoutError('timed out')

    monkeypatch.setattr(_frames.Reader, 'read', read)
    with structlog.testing.capture_logs() as lines, _Pair() as pair:
        pair.runner.start()
        assert reading.wait(10)
        pair.connection.close()
        closed.set()
        pair.runner.join(10)
        assert not pair.runner.is_alive()
    assert _events(lines, 'connection timed out') == []


class _FaultyListener:
    """A listener whose ``accept`` fails as long as there are errors."""

    def __init__(self, listener, errors):
        self._listener = listener
        self._errors = iter(errors)
        self.open_after_accept = []

    def accept(self):
        number = next(self._errors, None)
        if number is not None:
            raise OSError(number, os.strerror(number))
        try:
            return self._listener.accept()
        except OSError:
            time.sleep(0.1)
            self.open_after_accept.append(self._listener.fileno() >= 0)
            raise

    def __getattr__(self, name):
        return getattr(self._listener, name)


@contextlib.contextmanager
def serving_faultily(errors):
    server = transport.Server(
        transport.ServerOptions('127.0.0.1:0', CELL),
        transport.Callbacks(on_call=lambda *_: messages.Done()),
    )
    server._listener = _FaultyListener(server._listener, errors)
    with contextlib.closing(server):
        server.start()
        yield server


def _assert_serves(server):
    connection = transport.connect(
        server.address, hello(), transport.Callbacks(), silence_ms=30_000
    )
    with contextlib.closing(connection):
        reply = connection.call(messages.ShowFleet(), 10_000)
        assert reply == result.Success(messages.Done())


@pytest.mark.parametrize(
    'number',
    [
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPROTO,
    ],
)
def test_a_server_accepts_again_after_an_accept_that_failed(number):
    with structlog.testing.capture_logs() as lines:
        with serving_faultily([number] * 3) as server:
            _assert_serves(server)
    assert os.strerror(number) in _events(lines, 'accept failed')[0]['why']


def test_a_server_accepts_again_after_an_unexpected_error(monkeypatch):
    begin, failures = transport.Server._begin_handshake, [MemoryError()]

    def fail_once(server, stream):
        if failures:
            stream.close()
            raise failures.pop()
        begin(server, stream)

    monkeypatch.setattr(transport.Server, '_begin_handshake', fail_once)
    with structlog.testing.capture_logs() as lines:
        with serving_faultily([]) as server:
            with socket.create_connection(
                transport.parse_address(server.address)
            ):
                _wait_for(lambda: not failures)
            _assert_serves(server)
    assert _events(lines, 'stream not served')


def _send_slowly(address, stopping):
    """Send a hello byte by byte; return whether the server has ended it."""
    frame = _frames.pack(_frames.FrameKind.PUSH, 0, messages.encode(hello()))
    with socket.create_connection(transport.parse_address(address)) as stream:
        stream.setblocking(False)
        for number in range(len(frame)):
            try:
                stream.send(frame[number : number + 1])
                if not stream.recv(1):
                    return True
            except BlockingIOError:
                pass
            except OSError:
                return True
            if stopping.wait(0.2):
                break
    return False


def test_late_handshakes_are_ended_after_one_could_not_be(monkeypatch):
    """They would stay for good, and 32 of them keep peers out."""
    monkeypatch.setattr(_server, 'HANDSHAKE_TIMEOUT_MS', 800)
    cut, failed = _server._cut, []

    def fail_for_the_first(stream):
        if not failed or (stream in failed and len(failed) < 3):
            failed.append(stream)
            raise MemoryError
        cut(stream)

    stopping = threading.Event()
    with (
        structlog.testing.capture_logs() as lines,
        concurrent.futures.ThreadPoolExecutor(3) as executor,
        serving(lambda *_: messages.Done()) as server,
    ):
        monkeypatch.setattr(_server, '_cut', fail_for_the_first)
        ended = [
            executor.submit(_send_slowly, server.address, stopping)
            for _ in range(3)
        ]
        concurrent.futures.wait(ended, 6)
        stopping.set()
        assert [one.result() for one in ended] == [True] * 3
        monkeypatch.setattr(_server, '_cut', cut)
    assert len(failed) == 3
    assert len(_events(lines, 'late handshakes not ended')) == 3
    assert all(
        line['exc_info']
        for line in _events(lines, 'late handshakes not ended')
    )


def test_a_handler_of_ends_that_fails_is_logged():
    """Nobody reads the future of a connection."""
    server = transport.Server(
        transport.ServerOptions('127.0.0.1:0', CELL),
        transport.Callbacks(
            on_call=lambda *_: messages.Done(), on_close=_raise
        ),
    )
    with structlog.testing.capture_logs() as lines:
        with contextlib.closing(server):
            server.start()
            _assert_serves(server)
            _wait_for(lambda: _events(lines, 'stream not closed in order'))
    (line,) = _events(lines, 'stream not closed in order')
    assert line['log_level'] == 'error'
    assert isinstance(line['exc_info'], Exception)


def test_a_server_without_descriptors_accepts_again_when_there_are_some():
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    with structlog.testing.capture_logs() as lines:
        with serving(lambda *_: messages.Done(), 30_000) as server:
            gc.collect()
            with socket.socket() as waiting:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (waiting.fileno() + 1, limits[1])
                )
                try:
                    waiting.connect(transport.parse_address(server.address))
                    _wait_for(lambda: _events(lines, 'accept failed'))
                finally:
                    resource.setrlimit(resource.RLIMIT_NOFILE, limits)
                _assert_serves(server)


def _wait_for(condition):
    end_s = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_accepts_that_keep_failing_do_not_flood_the_log_or_hold_up_a_close():
    with structlog.testing.capture_logs() as lines:
        with serving_faultily(itertools.repeat(errno.EMFILE)):
            began_s = time.monotonic()
            time.sleep(1.5)
        lasted_s = time.monotonic() - began_s
    failed = _events(lines, 'accept failed')
    assert 2 <= len(failed) <= 1 + lasted_s
    # Further failures are counted.
    assert failed[1]['failures_count'] > 1


def test_a_close_leaves_the_listener_to_the_thread_that_accepts():
    """A new descriptor may get the number of a listener that is closed."""
    with structlog.testing.capture_logs() as lines:
        with serving_faultily([]) as server:
            _assert_serves(server)
            listener = server._listener
    assert listener.open_after_accept == [True]
    assert listener.fileno() < 0
    assert _events(lines, 'accept failed') == []


def test_a_server_that_never_starts_does_not_leak_its_listener():
    server = transport.Server(
        transport.ServerOptions('127.0.0.1:0', CELL), transport.Callbacks()
    )
    server.close()
    assert server._listener.fileno() < 0
