"""A controller whose peers in other regions are far away, on a slow disk.

Its disk may also be the stand-in of the module ``_power_loss``, which can lose
power.

The text of this module is run as a program (``python -c``), so that the
process imports what a controller imports and nothing of the tests. Its
argument is a JSON object with the fields of :class:`Distances`.
"""

import collections.abc
import dataclasses
import importlib.util
import json
import os
import pathlib
import queue
import signal
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
# With a disk that can lose power, deliveries stall at times: two appends in
# flight then arrive together, and are written before one sync.
STALL_MS = 60
STALL_EVERY = 5
CLOSED_CHECK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Distances:
    """Delays of a controller, and its disk.

    Frames from the IP addresses in ``remote_ips`` arrive ``delay_ms`` late,
    connections to them are opened after twice that, and each sync of a file
    takes ``sync_ms`` longer. Every :data:`STALL_EVERY`-th frame of such a
    connection is ``stall_ms`` later still, with those after it.

    With ``root`` and ``journal``, the files in this folder can lose power.
    Once the file ``aim`` exists, the process kills itself before a sync, if as
    many writes to one file as the text of ``aim`` says have not been synced.
    """

    remote_ips: list[str]
    delay_ms: int = DELAY_MS
    sync_ms: int = SYNC_MS
    stall_ms: int = 0
    root: str = ''
    journal: str = ''
    aim: str = ''
    power_loss_module: str = ''


class _Deliveries:
    """Hands the frames of a connection over in their order, each late."""

    def __init__(
        self,
        handle: collections.abc.Callable[..., bool],
        connection: _connection.Connection,
        delay_s: float,
        stall_s: float,
    ) -> None:
        self._handle = handle
        self._connection = connection
        self._delay_s = delay_s
        self._stall_s = stall_s
        self._frames: queue.SimpleQueue[tuple[float, typing.Any]]
        self._frames = queue.SimpleQueue()
        threading.Thread(target=self._run, daemon=True).start()

    def put(self, *frame: typing.Any) -> None:
        self._frames.put((time.monotonic() + self._delay_s, frame))

    def _run(self) -> None:
        connection = self._connection
        count = 0
        while not connection.closed.is_set():
            try:
                due_s, frame = self._frames.get(timeout=CLOSED_CHECK_S)
            except queue.Empty:
                continue
            count += 1
            if count % STALL_EVERY == 0:
                due_s += self._stall_s
            time.sleep(max(0.0, due_s - time.monotonic()))
            if connection.closed.is_set():
                return
            if not self._handle(connection, *frame):
                connection.close()


def arguments(
    remote_ips: list[str],
    root: pathlib.Path | None = None,
    journal: pathlib.Path | None = None,
    aim: pathlib.Path | None = None,
) -> tuple[str, ...]:
    """Return the arguments of the interpreter to run a slow controller."""
    text = pathlib.Path(__file__).read_text(encoding='utf-8')
    distances = Distances(remote_ips)
    if root is not None:
        distances = dataclasses.replace(
            distances,
            stall_ms=STALL_MS,
            root=str(root),
            journal=str(journal),
            aim=str(aim),
            power_loss_module=str(
                pathlib.Path(__file__).with_name('_power_loss.py')
            ),
        )
    return '-c', text, json.dumps(dataclasses.asdict(distances))


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
            deliveries = _Deliveries(
                handle, connection, delay_s, distances.stall_ms / 1000
            )
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


def record(distances: Distances) -> None:
    """Let the node of this process use files that can lose power."""
    spec = importlib.util.spec_from_file_location(
        'power_loss', distances.power_loss_module
    )
    if spec is None or spec.loader is None:
        raise ImportError(distances.power_loss_module)
    power_loss = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = power_loss
    spec.loader.exec_module(power_loss)

    def make_files() -> _files.Files:
        files = power_loss.RecordingFiles(
            pathlib.Path(distances.root), pathlib.Path(distances.journal)
        )

        def before(operation: str) -> None:
            if operation == 'sync':
                _kill_at_aim(distances.aim, files.writes_count_max)
                time.sleep(distances.sync_ms / 1000)

        files.before = before
        return files

    setattr(_files, 'Files', make_files)


def _kill_at_aim(
    aim: str, writes_count_max: collections.abc.Callable[[], int]
) -> None:
    try:
        with open(aim, encoding='utf-8') as file:
            wanted = int(file.read())
    except FileNotFoundError:
        return
    if writes_count_max() >= wanted:
        os.kill(os.getpid(), signal.SIGKILL)


if __name__ == '__main__':
    chosen = Distances(**json.loads(sys.argv[1]))
    slow_down(chosen)
    if chosen.root:
        record(chosen)
    sys.exit(program.main(['controller']))
