"""Crowds of clients that nobody controls, against one address on loopback."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import select
import socket
import threading
import time
import typing

import psutil

from dandeliondrum import transport

MIB_BYTES = 1024 * 1024
PIECE_BYTES = 256 * 1024
ROUND_S = 0.005
# A crowd ends early when a process has grown beyond this.
GROWN_BYTES = 600 * MIB_BYTES

# Pieces to send, and pauses in seconds between them.
Script = collections.abc.Callable[[], collections.abc.Iterator[typing.Any]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Crowd:
    """Connections that each send what a script yields, then stay open.

    All of them together send at most ``bytes_max``. A connection that the
    server closes is replaced until ``connections_max`` have been opened.
    Answers are read only with ``reads``.
    """

    script: Script
    count: int
    connections_max: int = 600
    bytes_max: int = 256 * MIB_BYTES
    seconds: float = 1.0
    reads: bool = False


class _Client:
    """One connection of a crowd."""

    def __init__(self, address: str, crowd: Crowd) -> None:
        self._crowd = crowd
        self._script = crowd.script()
        self._pending = memoryview(b'')
        self._paused_until_s = 0.0
        self.stream = socket.create_connection(
            transport.parse_address(address), 5
        )
        self.stream.setblocking(False)
        self.ended = False

    def step(self, bytes_max: int) -> int:
        """Send what can be sent at once; return how many bytes were."""
        if self._crowd.reads:
            self._read()
        sent = 0
        while sent < min(PIECE_BYTES, bytes_max) and not self.ended:
            if not self._pending and not self._next_piece():
                break
            try:
                count = self.stream.send(self._pending)
            except BlockingIOError:
                break
            except OSError:
                self.ended = True
                break
            self._pending = self._pending[count:]
            sent += count
        return sent

    def _read(self) -> None:
        with contextlib.suppress(BlockingIOError):
            try:
                self.ended = self.ended or not self.stream.recv(65_536)
            except ConnectionError:
                self.ended = True

    def _next_piece(self) -> bool:
        if time.monotonic() < self._paused_until_s:
            return False
        piece = next(self._script, None)
        if isinstance(piece, float):
            self._paused_until_s = time.monotonic() + piece
            return False
        self._pending = memoryview(piece or b'')
        return piece is not None

    def is_closed_by_peer(self) -> bool:
        """Return whether the server has closed the connection."""
        poll = select.poll()
        poll.register(self.stream, select.POLLRDHUP)
        return self.ended or bool(poll.poll(0))


class Footprint:
    """Resident memory and open descriptors of a process, with their peaks."""

    def __init__(self, process_id: int) -> None:
        self._process = psutil.Process(process_id)
        self._folder = pathlib.Path('/proc') / str(process_id)
        # Resets the peak that the kernel keeps.
        (self._folder / 'clear_refs').write_text('5')
        self.descriptors_max = 0

    def sample(self) -> None:
        """Count the open descriptors."""
        count = self._process.num_fds()
        self.descriptors_max = max(self.descriptors_max, count)

    def resident_bytes(self) -> int:
        """Return the resident memory now."""
        return int(self._process.memory_info().rss)

    def resident_max_bytes(self) -> int:
        """Return the largest resident memory since the beginning."""
        status = (self._folder / 'status').read_text()
        _, _, rest = status.partition('VmHWM:')
        return int(rest.split()[0]) * 1024


@contextlib.contextmanager
def playing(
    address: str, crowd: Crowd, footprints: list[Footprint]
) -> collections.abc.Iterator[None]:
    """Play a crowd; it stays open until the end of the context.

    The context is entered when the crowd has been there for its time.
    """
    stopping = threading.Event()
    arrived = threading.Event()
    thread = threading.Thread(
        target=_play, args=(address, crowd, footprints, arrived, stopping)
    )
    thread.start()
    try:
        arrived.wait()
        yield
    finally:
        stopping.set()
        thread.join()


def _play(
    address: str,
    crowd: Crowd,
    footprints: list[Footprint],
    arrived: threading.Event,
    stopping: threading.Event,
) -> None:
    clients: list[_Client] = []
    opened_count = sent_bytes = 0
    end_s = time.monotonic() + crowd.seconds
    try:
        while not stopping.is_set():
            while (
                len(clients) < crowd.count
                and opened_count < crowd.connections_max
            ):
                opened_count += 1
                try:
                    clients.append(_Client(address, crowd))
                except OSError:
                    break
            for client in list(clients):
                sent_bytes += client.step(crowd.bytes_max - sent_bytes)
                if client.is_closed_by_peer():
                    client.stream.close()
                    clients.remove(client)
            for footprint in footprints:
                with contextlib.suppress(psutil.Error):
                    footprint.sample()
                    if footprint.resident_bytes() > GROWN_BYTES:
                        return
            if time.monotonic() > end_s:
                arrived.set()
            time.sleep(ROUND_S)
    finally:
        arrived.set()
        for client in clients:
            client.stream.close()
