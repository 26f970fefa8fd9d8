"""Test cluster in one process, whose nodes can be stopped and isolated."""

import contextlib
import dataclasses
import pathlib
import socket
import threading
import time

from returns import result

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum import messages
from dandeliondrum import transport

CELL_ID = messages.CellId('test')
TIMEOUT_S = 30
HEARTBEAT_MS = 50
ELECTION_MIN_MS = 300
ELECTION_MAX_MS = 600


def wait_for(condition, what='the condition'):
    """Wait until the condition returns a true value and return it."""
    end_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f'timeout waiting for {what}')


class Machine:
    """State machine that records commands; its snapshot is their list."""

    def __init__(self):
        self.commands = []
        self.indexes = []
        self.restored_count = 0

    def apply(self, index, command):
        self.commands.append(command)
        self.indexes.append(index)
        return (index, command)

    def snapshot(self):
        return b'\n'.join(self.commands)

    def restore(self, data):
        self.commands = data.split(b'\n') if data else []
        self.indexes = []
        self.restored_count += 1


class Listener:
    """Records notifications: the term, or None when leadership ends."""

    def __init__(self):
        self.events = []

    def on_leading(self, term):
        self.events.append(term)

    def on_following(self):
        self.events.append(None)


class Forwarder:
    """TCP proxy in front of a node; ``pause`` silently holds all data.

    A ``pacer`` limits the bandwidth towards the node.
    """

    def __init__(self):
        self.target = ''
        self.pacer = None
        self._open = threading.Event()
        self._open.set()
        self._silenced = []
        self._closed = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._lock = threading.Lock()
        self._streams = []
        threading.Thread(target=self._accept_all, daemon=True).start()

    def pause(self):
        self._open.clear()

    def silence(self):
        """Block all existing streams for good; new streams work."""
        self._open.clear()
        self._silenced.append(self._open)
        self._open = threading.Event()
        self._open.set()

    def resume(self):
        self._open.set()
        # Held data must not be delivered late on old streams.
        self._drop_streams()

    def close(self):
        self._closed = True
        for gate in [self._open, *self._silenced]:
            gate.set()
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._drop_streams()

    def _drop_streams(self):
        with self._lock:
            streams, self._streams = self._streams, []
        for stream in streams:
            with contextlib.suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)
            stream.close()

    def _accept_all(self):
        while not self._closed:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(
                    transport.parse_address(self.target), 1
                )
            except (OSError, ValueError):
                with contextlib.suppress(OSError, UnboundLocalError):
                    near.close()
                continue
            with self._lock:
                self._streams += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, self._open),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, gate):
        with contextlib.suppress(OSError):
            while data := source.recv(1 << 14):
                gate.wait()
                if self.pacer is not None:
                    sent_s = self.pacer.reserve(len(data))
                    time.sleep(max(0.0, sent_s - time.monotonic()))
                sink.sendall(data)
        for stream in (source, sink):
            with contextlib.suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)
            stream.close()


class BlockingSync(_files.Files):
    """Files whose syncs block until ``released`` is set."""

    def __init__(self):
        self.released = threading.Event()
        self.released.set()
        self.waiting = threading.Event()

    def sync(self, descriptor):
        if not self.released.is_set():
            self.waiting.set()
        self.released.wait(TIMEOUT_S)
        super().sync(descriptor)


class SlowSync(_files.Files):
    """Files whose syncs take at least ``delay_ms``."""

    def __init__(self):
        self.delay_ms = 0

    def sync(self, descriptor):
        time.sleep(self.delay_ms / 1000)
        super().sync(descriptor)


class StallingFiles(_files.Files):
    """Files of which one operation blocks until ``released`` is set.

    ``stalled`` names the operation and the beginning of the file names.
    """

    def __init__(self, stalled):
        self.stalled = stalled
        self.released = threading.Event()
        self.released.set()
        self.waiting = threading.Event()

    def _pass(self, operation, path):
        name, prefix = self.stalled
        if operation == name and path.name.startswith(prefix):
            if not self.released.is_set():
                self.waiting.set()
            self.released.wait(TIMEOUT_S)

    def open_for_append(self, path):
        self._pass('open_for_append', path)
        return super().open_for_append(path)

    def sync_folder(self, folder):
        self._pass('sync_folder', folder)
        super().sync_folder(folder)

    def remove(self, path):
        self._pass('remove', path)
        super().remove(path)


@dataclasses.dataclass
class RunningNode:
    """A started node with its state machine, listener and server."""

    node: consensus.Node
    machine: Machine
    listener: Listener
    server: transport.Server


class Cluster:
    """Cluster of nodes ``c1``, ``c2``, ... connected by forwarders.

    There is one forwarder per direction of each pair. The last ``extra``
    nodes are not members of the cell at first.
    """

    def __init__(self, folder: pathlib.Path, count=3, extra=0, **options):
        self.folder = folder
        self.options = options
        self.files = {}
        self.names = [
            messages.ControllerId(f'c{number}')
            for number in range(1, count + 1)
        ]
        self.extra_names = [
            messages.ControllerId(f'c{number}')
            for number in range(count + 1, count + extra + 1)
        ]
        self.all_names = self.names + self.extra_names
        self.running = {}
        self.forwarders = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for name in list(self.running):
            self.stop(name)
        for forwarder in self.forwarders.values():
            forwarder.close()

    def forwarder(self, source, target):
        key = (source, target)
        if key not in self.forwarders:
            self.forwarders[key] = Forwarder()
        return self.forwarders[key]

    def data_folder(self, name):
        return self.folder / name

    def on_call(self, _name, node):
        """Return the handler of the requests of other nodes."""
        return node.handle

    def launch(self, name):
        """Start a node and return the result of its start."""
        others = [other for other in self.all_names if other != name]
        options = consensus.Options(
            controller_id=name,
            cell_id=CELL_ID,
            data_folder=self.data_folder(name),
            addresses={
                other: self.forwarder(name, other).address for other in others
            },
            **{
                'heartbeat_ms': HEARTBEAT_MS,
                'election_min_ms': ELECTION_MIN_MS,
                'election_max_ms': ELECTION_MAX_MS,
                **self.options,
            },
        )
        machine = Machine()
        listener = Listener()
        node = consensus.Node(
            options, machine, listener, files=self.files.get(name)
        )
        outcome = node.start()
        if outcome.value_or(True):
            return outcome
        server = transport.Server(
            transport.ServerOptions('127.0.0.1:0', CELL_ID),
            transport.Callbacks(on_call=self.on_call(name, node)),
        )
        server.start()
        for other in others:
            self.forwarder(other, name).target = server.address
        self.running[name] = RunningNode(node, machine, listener, server)
        return outcome

    def start(self, *names):
        for name in names or self.names:
            self.launch(name).unwrap()

    def stop(self, name):
        """Stop a node abruptly, its server first."""
        running = self.running.pop(name)
        running.server.close()
        running.node.close()

    def bootstrap(self):
        """Start all members, bootstrap the cell and return the leader."""
        self.start()
        wait_for(self._bootstrap_once, 'a founded cell')
        return self.leader()

    def _bootstrap_once(self):
        """Return whether the cell is founded; repeat it after a time-out."""
        members = [(name, 'unused:1') for name in self.names]
        outcome = self.node(self.names[0]).bootstrap(members)
        unreachable = consensus.ChangeFailure.UNREACHABLE
        if isinstance(outcome, result.Failure):
            assert outcome.failure().failure is unreachable, outcome
        return isinstance(outcome, result.Success)

    def node(self, name):
        return self.running[name].node

    def machine(self, name):
        return self.running[name].machine

    def leaders(self):
        return [
            name for name, one in self.running.items() if one.node.is_leading()
        ]

    def leader(self, among=None):
        """Wait for a single leader whose listener was notified.

        Returns its name.
        """

        def settled():
            found = [
                name
                for name in self.leaders()
                if among is None or name in among
            ]
            if len(found) != 1:
                return None
            events = self.running[found[0]].listener.events
            return found[0] if events and events[-1] is not None else None

        return wait_for(settled, 'a leader')

    def others(self, name):
        return [other for other in self.names if other != name]

    def isolate(self, name):
        """Hold all data between this node and the others."""
        for other in self.others(name):
            self.forwarder(name, other).pause()
            self.forwarder(other, name).pause()

    def heal(self, name):
        for other in self.others(name):
            self.forwarder(name, other).resume()
            self.forwarder(other, name).resume()

    def propose(self, name, command):
        return self.node(name).propose(command).result(TIMEOUT_S)

    def wait_applied(self, commands, names=None):
        """Wait until the state machines have exactly these commands."""
        for name in names or list(self.running):
            wait_for(
                lambda name=name: self.machine(name).commands == commands,
                f'{name} with {len(commands)} commands',
            )
