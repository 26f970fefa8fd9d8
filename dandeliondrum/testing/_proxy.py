"""A TCP proxy that injects faults."""

import concurrent.futures
import contextlib
import dataclasses
import socket
import threading
import typing

from dandeliondrum.testing import _faults
from dandeliondrum.testing import _relay
from dandeliondrum import transport

CONNECT_TIMEOUT_S = 2.0
BACKLOG = 128

_THREADS_MAX = 4_000


class Proxy:
    """A directed link: a listening port that forwards to a target.

    Faults may be changed while connections are open.

    Example::

        with testing.Proxy('127.0.0.1:7101', seed=7) as proxy:
            proxy.set(testing.Faults(delay_ms=20, jitter_ms=2))
            ...
            proxy.silence()  # open connections deliver nothing from now on
    """

    def __init__(
        self, target: str, address: str = '127.0.0.1:0', seed: int = 0
    ) -> None:
        self.target = target
        self.address = ''
        self.accepted_count = 0
        self._bind_address = address
        self._seed = seed
        self._faults = _faults.NO_FAULTS
        self._changed = threading.Condition()
        self._lock = threading.Lock()
        self._open_connections: list[_Connection] = []
        self._closed_bytes = (0, 0)
        self._closed = False
        self._listener: socket.socket | None = None
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _THREADS_MAX, thread_name_prefix='proxy'
        )

    def __enter__(self) -> 'Proxy':
        self._listener = _bind_socket(self._bind_address)
        host, port = self._listener.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._listen()
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._closed = True
        self._stop_listening()
        if self._listener is not None:
            self._listener.close()
        self._reset_connections()
        self._executor.shutdown()

    @property
    def faults(self) -> _faults.Faults:
        """The faults that are currently applied."""
        return self._faults

    @property
    def forward_bytes(self) -> int:
        """The number of bytes delivered to the target."""
        with self._lock:
            open_bytes = sum(
                each.forward.delivered_bytes for each in self._open_connections
            )
            return self._closed_bytes[0] + open_bytes

    @property
    def backward_bytes(self) -> int:
        """The number of bytes delivered to the source."""
        with self._lock:
            open_bytes = sum(
                each.backward.delivered_bytes
                for each in self._open_connections
            )
            return self._closed_bytes[1] + open_bytes

    def set(self, faults: _faults.Faults) -> None:
        """Replace the faults that are applied."""
        before = self._faults
        with self._changed:
            self._faults = faults
            self._changed.notify_all()
        if faults.refuse and not before.refuse:
            self._stop_listening()
            self._reset_connections()
        elif before.refuse and not faults.refuse:
            self._listen()

    def change(self, **fields: typing.Any) -> None:
        """Change some fields of the faults that are applied."""
        self.set(dataclasses.replace(self._faults, **fields))

    def heal(self) -> None:
        """Remove all faults; silenced connections stay silent."""
        self.set(_faults.NO_FAULTS)

    def silence(self) -> None:
        """Make all open connections discard everything permanently."""
        with self._lock:
            for connection in self._open_connections:
                connection.forward.silenced = True
                connection.backward.silenced = True

    def _listen(self) -> None:
        listener = self._listener
        if listener is None:
            return
        listener.listen(BACKLOG)
        self._executor.submit(self._accept_all, listener)

    def _stop_listening(self) -> None:
        listener = self._listener
        if listener is None or self._closed and not self.address:
            return
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        if not self._closed:
            # A port that is bound but does not listen refuses connections.
            self._listener = _bind_socket(self.address)

    def _reset_connections(self) -> None:
        with self._lock:
            connections = list(self._open_connections)
        for connection in connections:
            connection.relay.reset()

    def _accept_all(self, listener: socket.socket) -> None:
        while True:
            try:
                source, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                number = self.accepted_count
                self.accepted_count += 1
            try:
                self._executor.submit(self._serve, source, number)
            except RuntimeError:
                source.close()

    def _serve(self, source: socket.socket, number: int) -> None:
        try:
            target = socket.create_connection(
                transport.parse_address(self.target), CONNECT_TIMEOUT_S
            )
        except OSError:
            _relay.reset_on_close(source)
            source.close()
            return
        target.settimeout(None)
        relay = _relay.Relay(source, target)
        forward = _relay.Pipe(
            relay,
            (source, target),
            lambda: _relay.forward_faults(self._faults),
            self._changed,
            f'{self._seed}/{number}/forward',
        )
        backward = _relay.Pipe(
            relay,
            (target, source),
            lambda: _relay.backward_faults(self._faults),
            self._changed,
            f'{self._seed}/{number}/backward',
        )
        self._run_connection(_Connection(relay, forward, backward))

    def _run_connection(self, connection: '_Connection') -> None:
        with self._lock:
            self._open_connections.append(connection)
            rejected = self._closed or self._faults.refuse
        if rejected:
            connection.relay.reset()
        tasks = []
        try:
            for task in (
                connection.forward.read_all,
                connection.forward.write_all,
                connection.backward.read_all,
            ):
                tasks.append(self._executor.submit(task))
        except RuntimeError:
            # The executor takes no tasks once the proxy is closing.
            connection.relay.reset()
        connection.backward.write_all()
        concurrent.futures.wait(tasks)
        self._remove_connection(connection)

    def _remove_connection(self, connection: '_Connection') -> None:
        with self._lock:
            self._open_connections.remove(connection)
            forward_bytes, backward_bytes = self._closed_bytes
            self._closed_bytes = (
                forward_bytes + connection.forward.delivered_bytes,
                backward_bytes + connection.backward.delivered_bytes,
            )


@dataclasses.dataclass(frozen=True, eq=False)
class _Connection:
    relay: _relay.Relay
    forward: _relay.Pipe
    backward: _relay.Pipe


def _bind_socket(address: str) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(transport.parse_address(address))
    return listener
