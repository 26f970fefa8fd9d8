"""A TCP proxy that brings faults about."""

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
    """One directed link: a port that leads to a target.

    Faults may be changed while connections are open.

    Example::

        with testing.Proxy('127.0.0.1:7101', seed=7) as proxy:
            proxy.set(testing.Faults(delay_ms=20, jitter_ms=2))
            ...
            proxy.silence()  # what is open now is dead for good
    """

    def __init__(
        self, target: str, address: str = '127.0.0.1:0', seed: int = 0
    ) -> None:
        self.target = target
        self.address = ''
        self.accepted_count = 0
        self._wanted_address = address
        self._seed = seed
        self._faults = _faults.NO_FAULTS
        self._changed = threading.Condition()
        self._lock = threading.Lock()
        self._open: list[_Connection] = []
        self._ended_bytes = (0, 0)
        self._closed = False
        self._port: socket.socket | None = None
        self._executor = concurrent.futures.ThreadPoolExecutor(
            _THREADS_MAX, thread_name_prefix='proxy'
        )

    def __enter__(self) -> 'Proxy':
        self._port = _bind(self._wanted_address)
        host, port = self._port.getsockname()[:2]
        self.address = f'{host}:{port}'
        self._listen()
        return self

    def __exit__(self, *_: object) -> None:
        with self._lock:
            self._closed = True
        self._stop_listening()
        if self._port is not None:
            self._port.close()
        self._reset_open()
        self._executor.shutdown()

    @property
    def faults(self) -> _faults.Faults:
        """The faults in force."""
        return self._faults

    @property
    def forward_bytes(self) -> int:
        """How many bytes reached the target."""
        with self._lock:
            open_bytes = sum(each.forward.carried_bytes for each in self._open)
            return self._ended_bytes[0] + open_bytes

    @property
    def backward_bytes(self) -> int:
        """How many bytes reached the source."""
        with self._lock:
            open_bytes = sum(
                each.backward.carried_bytes for each in self._open
            )
            return self._ended_bytes[1] + open_bytes

    def set(self, faults: _faults.Faults) -> None:
        """Put other faults in force."""
        before = self._faults
        with self._changed:
            self._faults = faults
            self._changed.notify_all()
        if faults.refuse and not before.refuse:
            self._stop_listening()
            self._reset_open()
        elif before.refuse and not faults.refuse:
            self._listen()

    def change(self, **fields: typing.Any) -> None:
        """Change some of the faults in force."""
        self.set(dataclasses.replace(self._faults, **fields))

    def heal(self) -> None:
        """Take all faults away; silenced connections stay silent."""
        self.set(_faults.NO_FAULTS)

    def silence(self) -> None:
        """Make open connections swallow everything for good."""
        with self._lock:
            for connection in self._open:
                connection.forward.silenced = True
                connection.backward.silenced = True

    def _listen(self) -> None:
        port = self._port
        if port is None:
            return
        port.listen(BACKLOG)
        self._executor.submit(self._accept_all, port)

    def _stop_listening(self) -> None:
        port = self._port
        if port is None or self._closed and not self.address:
            return
        with contextlib.suppress(OSError):
            port.shutdown(socket.SHUT_RDWR)
        port.close()
        if not self._closed:
            # A port that is bound and does not listen refuses.
            self._port = _bind(self.address)

    def _reset_open(self) -> None:
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            connection.relay.reset()

    def _accept_all(self, port: socket.socket) -> None:
        while True:
            try:
                source, _ = port.accept()
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
            lambda: _relay.forward_course(self._faults),
            self._changed,
            f'{self._seed}/{number}/forward',
        )
        backward = _relay.Pipe(
            relay,
            (target, source),
            lambda: _relay.backward_course(self._faults),
            self._changed,
            f'{self._seed}/{number}/backward',
        )
        self._run(_Connection(relay, forward, backward))

    def _run(self, connection: '_Connection') -> None:
        with self._lock:
            self._open.append(connection)
            unwanted = self._closed or self._faults.refuse
        if unwanted:
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
            # The proxy closes and takes no new tasks.
            connection.relay.reset()
        connection.backward.write_all()
        concurrent.futures.wait(tasks)
        self._forget(connection)

    def _forget(self, connection: '_Connection') -> None:
        with self._lock:
            self._open.remove(connection)
            forward_bytes, backward_bytes = self._ended_bytes
            self._ended_bytes = (
                forward_bytes + connection.forward.carried_bytes,
                backward_bytes + connection.backward.carried_bytes,
            )


@dataclasses.dataclass(frozen=True, eq=False)
class _Connection:
    relay: _relay.Relay
    forward: _relay.Pipe
    backward: _relay.Pipe


def _bind(address: str) -> socket.socket:
    port = socket.socket()
    port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    port.bind(transport.parse_address(address))
    return port
