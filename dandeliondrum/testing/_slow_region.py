"""A controller whose peers in other regions are far away, on a slow disk.

The text of this module is run as a program (``python -c``), so that the
process imports what a controller imports and nothing of the tests. Its
argument is a JSON object with the fields of :class:`Distances`.
"""

import collections.abc
import dataclasses
import json
import pathlib
import queue
import socket
import sys
import threading
import time
import typing

from dandeliondrum.consensus import _files
from dandeliondrum.platform import __main__ as program
from dandeliondrum.transport import _connection

DELAY_MS = 20
SYNC_MS = 9
CLOSED_CHECK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Distances:
    """Delays of a controller.

    Frames from the IP addresses in ``remote_ips`` arrive ``delay_ms`` late,
    connections to them are opened after twice that, and each sync of a file
    takes ``sync_ms`` longer.
    """

    remote_ips: list[str]
    delay_ms: int = DELAY_MS
    sync_ms: int = SYNC_MS


class _Deliveries:
    """Hands the frames of a connection over in their order, each late."""

    def __init__(
        self,
        handle: collections.abc.Callable[..., bool],
        connection: _connection.Connection,
        delay_s: float,
    ) -> None:
        self._handle = handle
        self._connection = connection
        self._delay_s = delay_s
        self._frames: queue.SimpleQueue[tuple[float, typing.Any]]
        self._frames = queue.SimpleQueue()
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, *frame: typing.Any) -> None:
        self._frames.put((time.monotonic() + self._delay_s, frame))

    def _run(self) -> None:
        connection = self._connection
        while not connection.closed.is_set():
            try:
                due_s, frame = self._frames.get(timeout=CLOSED_CHECK_S)
            except queue.Empty:
                continue
            time.sleep(max(0.0, due_s - time.monotonic()))
            if connection.closed.is_set():
                return
            if not self._handle(connection, *frame):
                connection.close()


def arguments(remote_ips: list[str]) -> tuple[str, ...]:
    """Return the arguments of the interpreter to run a slow controller."""
    text = pathlib.Path(__file__).read_text(encoding='utf-8')
    distances = dataclasses.asdict(Distances(remote_ips))
    return '-c', text, json.dumps(distances)


def slow_down(distances: Distances) -> None:
    """Delay what this process receives from remote peers, and its disk."""
    delay_s = distances.delay_ms / 1000
    handle = _connection.Connection._handle_frame
    connect = socket.create_connection
    sync = _files.Files.sync

    def handle_late(
        connection: _connection.Connection, *frame: typing.Any
    ) -> bool:
        # The id of a peer is its IP address, or where it listens.
        if connection.peer_id.partition(':')[0] not in distances.remote_ips:
            return handle(connection, *frame)
        # One thread reads from a connection.
        deliveries = vars(connection).get('deliveries')
        if deliveries is None:
            deliveries = _Deliveries(handle, connection, delay_s)
            vars(connection)['deliveries'] = deliveries
        deliveries.put(*frame)
        return True

    def connect_late(
        address: tuple[str, int], *arguments: typing.Any
    ) -> socket.socket:
        if address[0] in distances.remote_ips:
            time.sleep(2 * delay_s)
        return connect(address, *arguments)

    def sync_slowly(files: _files.Files, descriptor: int) -> None:
        time.sleep(distances.sync_ms / 1000)
        sync(files, descriptor)

    setattr(_connection.Connection, '_handle_frame', handle_late)
    setattr(socket, 'create_connection', connect_late)
    setattr(_files.Files, 'sync', sync_slowly)


if __name__ == '__main__':
    slow_down(Distances(**json.loads(sys.argv[1])))
    sys.exit(program.main(['controller']))
