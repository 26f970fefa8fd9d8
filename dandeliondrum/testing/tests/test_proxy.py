"""The faults of the proxy, as seen by both ends of a connection."""

import contextlib
import random
import socket
import struct
import threading
import time

import pytest

from dandeliondrum import testing
from dandeliondrum import transport

TIMEOUT_S = 10
SILENCE_S = 0.3


class Echo:
    """A server that returns and records the bytes it receives."""

    def __init__(self):
        self.received = bytearray()
        self.accepted_count = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept_all, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept_all(self):
        with contextlib.suppress(OSError):
            while True:
                stream, _ = self._listener.accept()
                self.accepted_count += 1
                threading.Thread(
                    target=self._serve, args=(stream,), daemon=True
                ).start()

    def _serve(self, stream):
        with stream, contextlib.suppress(OSError):
            while chunk := stream.recv(65_536):
                self.received += chunk
                stream.sendall(chunk)


@pytest.fixture
def echo():
    with contextlib.closing(Echo()) as server:
        yield server


@pytest.fixture
def proxy(echo):
    with testing.Proxy(echo.address, seed=7) as link:
        yield link


def connect(proxy):
    stream = socket.create_connection(
        transport.parse_address(proxy.address), TIMEOUT_S
    )
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def read_exactly(stream, length_bytes):
    data = b''
    while len(data) < length_bytes:
        chunk = stream.recv(length_bytes - len(data))
        assert chunk, 'the stream ended'
        data += chunk
    return data


def exchange(stream, data):
    stream.sendall(data)
    return read_exactly(stream, len(data))


def assert_silent(stream):
    stream.settimeout(SILENCE_S)
    with pytest.raises(TimeoutError):
        stream.recv(1)
    stream.settimeout(TIMEOUT_S)


def close_with_reset(stream):
    linger = struct.pack('ii', 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.close()


def assert_reset(stream):
    with pytest.raises(ConnectionError):
        while stream.recv(65_536):
            pass


def test_bytes_are_forwarded_unchanged_and_counted(proxy):
    data = random.Random(7).randbytes(3_000_000)
    with connect(proxy) as stream:
        sender = threading.Thread(target=stream.sendall, args=(data,))
        sender.start()
        assert read_exactly(stream, len(data)) == data
        sender.join()
    # The proxy counts a chunk after it was sent.
    testing.wait_until(lambda: proxy.backward_bytes >= len(data))
    assert proxy.forward_bytes == proxy.backward_bytes == len(data)


def test_the_end_of_a_stream_is_forwarded(proxy):
    with connect(proxy) as stream:
        stream.sendall(b'last')
        stream.shutdown(socket.SHUT_WR)
        assert read_exactly(stream, 4) == b'last'
        assert stream.recv(1) == b''


def test_delay_applies_to_both_directions_and_keeps_the_order(proxy):
    proxy.set(testing.Faults(delay_ms=60, jitter_ms=40))
    with connect(proxy) as stream:
        start_s = time.monotonic()
        for number in range(50):
            stream.sendall(number.to_bytes(2))
        data = read_exactly(stream, 100)
        elapsed_s = time.monotonic() - start_s
    assert data == b''.join(number.to_bytes(2) for number in range(50))
    assert elapsed_s >= 2 * 0.020


def test_a_shared_pacer_limits_the_total_bandwidth(echo, proxy):
    pacer = testing.Pacer(bytes_per_second=200_000)
    faults = testing.Faults(forward_pacer=pacer)
    with testing.Proxy(echo.address) as other:
        proxy.set(faults)
        other.set(faults)
        start_s = time.monotonic()
        with connect(proxy) as one, connect(other) as two:
            one.sendall(bytes(50_000))
            two.sendall(bytes(50_000))
            read_exactly(one, 50_000)
            read_exactly(two, 50_000)
    assert time.monotonic() - start_s >= 100_000 / 200_000


def test_silenced_connections_stay_silent_while_new_ones_work(proxy, echo):
    with connect(proxy) as old, connect(proxy) as new_after:
        exchange(old, b'before')
        exchange(new_after, b'before')
        proxy.silence()
        old.sendall(b'lost')
        assert_silent(old)
        proxy.heal()
        old.sendall(b'lost as well')
        assert_silent(old)
    with connect(proxy) as new:
        assert exchange(new, b'after') == b'after'
    assert b'lost' not in echo.received


def test_a_silenced_connection_does_not_forward_a_close(proxy):
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        host, port = listener.getsockname()
        link = stack.enter_context(testing.Proxy(f'{host}:{port}'))
        source = connect(link)
        target, _ = listener.accept()
        stack.enter_context(target)
        source.sendall(b'x')
        assert target.recv(1) == b'x'
        link.silence()
        source.close()
        assert_silent(target)


def test_a_cut_resets_open_connections_and_refuses_new_ones(proxy):
    with connect(proxy) as old:
        exchange(old, b'before')
        proxy.set(testing.CUT)
        assert_reset(old)
    with pytest.raises(ConnectionRefusedError):
        connect(proxy)
    proxy.heal()
    with connect(proxy) as new:
        assert exchange(new, b'after') == b'after'


def test_a_blackhole_accepts_connections_and_discards_bytes(proxy, echo):
    with connect(proxy) as old:
        exchange(old, b'before')
        proxy.set(testing.BLACKHOLE)
        old.sendall(b'lost')
        assert_silent(old)
        with connect(proxy) as new:
            new.sendall(b'lost')
            assert_silent(new)
        proxy.heal()
        old.sendall(b'behind a gap')
        assert_silent(old)
    with connect(proxy) as new:
        assert exchange(new, b'after') == b'after'
    assert bytes(echo.received) == b'beforeafter'


def test_a_blackhole_discards_resets_too():
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        host, port = listener.getsockname()
        link = stack.enter_context(testing.Proxy(f'{host}:{port}'))
        source = connect(link)
        target, _ = listener.accept()
        stack.enter_context(target)
        link.set(testing.BLACKHOLE)
        close_with_reset(source)
        assert_silent(target)


def test_a_reset_is_forwarded():
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        host, port = listener.getsockname()
        link = stack.enter_context(testing.Proxy(f'{host}:{port}'))
        source = connect(link)
        target, _ = listener.accept()
        stack.enter_context(target)
        target.settimeout(TIMEOUT_S)
        close_with_reset(source)
        assert_reset(target)


def test_a_stalled_connection_continues_without_a_gap(proxy):
    with connect(proxy) as stream:
        exchange(stream, b'before')
        proxy.set(testing.STALLED)
        stream.sendall(b'held')
        assert_silent(stream)
        proxy.heal()
        assert read_exactly(stream, 4) == b'held'
        assert exchange(stream, b'after') == b'after'


@pytest.mark.parametrize('direction', ['forward', 'backward'])
def test_a_one_way_cut_affects_one_direction_only(proxy, echo, direction):
    with connect(proxy) as stream:
        exchange(stream, b'before')
        proxy.change(**{direction: testing.Flow.DISCARD})
        stream.sendall(b'lost')
        assert_silent(stream)
    arrived = b'lost' in echo.received
    assert arrived is (direction == 'backward')


@pytest.mark.parametrize('direction', ['forward', 'backward'])
def test_a_connection_is_reset_after_a_number_of_bytes(proxy, echo, direction):
    proxy.change(**{f'reset_{direction}_after_bytes': 1_000})
    received = b''
    with connect(proxy) as stream, contextlib.suppress(ConnectionError):
        stream.sendall(bytes(900))
        received += read_exactly(stream, 900)
        stream.sendall(bytes(900))
        while chunk := stream.recv(65_536):
            received += chunk
        pytest.fail('the stream ended without a reset')
    assert len(received) <= 1_000
    assert len(echo.received) <= (1_000 if direction == 'forward' else 1_800)
    with connect(proxy) as stream:
        assert exchange(stream, bytes(900)) == bytes(900)


def test_a_refusing_target_causes_a_reset_of_the_source():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
    with testing.Proxy(f'{host}:{port}') as link:
        # The reset may arrive before the connect call returns.
        with pytest.raises(ConnectionError), connect(link) as stream:
            while stream.recv(65_536):
                pass


def test_closing_ends_all_threads(echo):
    before = threading.active_count()
    with testing.Proxy(echo.address) as link:
        streams = [connect(link) for _ in range(5)]
        for stream in streams:
            exchange(stream, b'x')
        link.silence()
    for stream in streams:
        stream.close()
    assert testing.wait_for(
        lambda: threading.active_count() <= before, TIMEOUT_S * 1_000
    )


def test_a_target_that_does_not_read_does_not_block_a_cut():
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server(('127.0.0.1', 0)))
        host, port = listener.getsockname()
        link = testing.Proxy(f'{host}:{port}').__enter__()
        source = stack.enter_context(connect(link))
        target, _ = listener.accept()
        stack.enter_context(target)
        source.settimeout(0.5)
        with pytest.raises(TimeoutError):
            source.sendall(bytes(100_000_000))
        link.set(testing.CUT)
        source.settimeout(TIMEOUT_S)
        assert_reset(source)
        closing = threading.Thread(
            target=link.__exit__, args=(None, None, None), daemon=True
        )
        closing.start()
        closing.join(TIMEOUT_S)
        assert not closing.is_alive()


def test_a_mesh_cuts_by_names_in_both_directions(echo):
    with testing.ProxyMesh(seed=3) as mesh:
        mesh.link('a', 'b', echo.address)
        mesh.link('b', 'a', echo.address)
        mesh.link('a', 'c', echo.address)
        mesh.cut('a', 'b')
        for source, target in (('a', 'b'), ('b', 'a')):
            with pytest.raises(ConnectionRefusedError):
                connect(mesh.proxy(source, target))
        with connect(mesh.proxy('a', 'c')) as stream:
            assert exchange(stream, b'x') == b'x'
        mesh.heal()
        mesh.cut_one_way('a', 'b')
        assert mesh.proxy('a', 'b').faults.forward is testing.Flow.DISCARD
        assert mesh.proxy('b', 'a').faults.backward is testing.Flow.DISCARD
        assert mesh.proxy('a', 'c').faults == testing.NO_FAULTS
        mesh.isolate('c')
        assert mesh.proxy('a', 'c').faults == testing.BLACKHOLE
        with pytest.raises(ValueError):
            mesh.link('a', 'b', echo.address)
