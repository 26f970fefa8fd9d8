"""Measures the replicated log, with each node in its own process.

All traffic is on loopback. One JSON line is printed, for example after::

    python -m benchmarks.bench_consensus --voters=5 --delayed=2 --delay_ms=20

``delay_ms`` is added in each direction between the last ``delayed`` nodes and
the others; the first node leads. With ``rate`` the proposers propose so many
commands a second together, or else each one as soon as its last command is
applied. Context switches are those of threads that had to wait.
"""

import collections.abc
import contextlib
import json
import pathlib
import queue
import random
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import typing

import fire
from hdrh import histogram
import prometheus_client

from dandeliondrum import consensus
from dandeliondrum import messages
from dandeliondrum import transport

CELL = messages.CellId('bench')
LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MODULE = 'benchmarks.bench_consensus'


class Counter:
    """A state machine that counts the applied commands."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, index: int, command: bytes) -> int:
        """Count one command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Restore the count from a snapshot."""
        self.count = int(data)


class NullListener:
    """A leadership listener that ignores all calls."""

    def on_leading(self, term: messages.Term) -> None:
        """Ignore that the node leads."""

    def on_following(self) -> None:
        """Ignore that the node follows."""


class DelayForwarder:
    """Forwards TCP connections to a node and delays the data both ways."""

    def __init__(self, target: str, delay_ms: float) -> None:
        self._target = transport.parse_address(target)
        self._delay_s = delay_ms / 1000
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept_all, daemon=True).start()

    def _accept_all(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(self._target)
            for source, sink in ((near, far), (far, near)):
                sink.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                delayed_data: queue.Queue[tuple[float, bytes]] = queue.Queue()
                for task in (self._read, self._write):
                    threading.Thread(
                        target=task,
                        args=(source, sink, delayed_data),
                        daemon=True,
                    ).start()

    def _read(
        self,
        source: socket.socket,
        _sink: socket.socket,
        delayed_data: queue.Queue,
    ) -> None:
        data = b'-'
        while data:
            with contextlib.suppress(OSError):
                data = source.recv(1 << 16)
            delayed_data.put((time.monotonic() + self._delay_s, data))

    def _write(
        self,
        _source: socket.socket,
        sink: socket.socket,
        delayed_data: queue.Queue,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                due_s, data = delayed_data.get()
                time.sleep(max(0.0, due_s - time.monotonic()))
                if not data:
                    break
                sink.sendall(data)
        sink.close()


class NodeProcess:
    """Starts a node in its own process and sends it requests.

    Requests go to its stdin, answers come from its stdout, as JSON lines.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.name = name
        command = [sys.executable, '-m', MODULE, 'serve', str(folder), name]
        self._process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        self.address = self._read()

    def ask(self, verb: str, value: typing.Any) -> typing.Any:
        """Send a request and return its answer."""
        stdin = typing.cast(typing.TextIO, self._process.stdin)
        stdin.write(json.dumps([verb, value]) + '\n')
        stdin.flush()
        return self._read()

    def close(self) -> None:
        """Close stdin, which ends the process; kill it after 20 s."""
        typing.cast(typing.TextIO, self._process.stdin).close()
        try:
            self._process.wait(20)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def _read(self) -> typing.Any:
        stdout = typing.cast(typing.TextIO, self._process.stdout)
        while True:
            line = stdout.readline()
            if not line:
                raise RuntimeError(f'{self.name} ended')
            if line.startswith('> '):
                return json.loads(line[2:])
            sys.stderr.write(line)


def answer(value: typing.Any) -> None:
    """Print an answer for the parent process."""
    print('> ' + json.dumps(value), flush=True)


def serve(folder: str, name: str) -> None:
    """Run one node that obeys requests from stdin; used by ``measure``."""
    nodes: list[consensus.Node] = []
    server = transport.Server(
        transport.ServerOptions('127.0.0.1:0', CELL),
        transport.Callbacks(
            on_call=lambda stream, message: nodes[0].handle(stream, message)
        ),
    )
    answer(server.address)
    for line in sys.stdin:
        verb, value = json.loads(line)
        match verb:
            case 'start':
                options = consensus.Options(
                    messages.ControllerId(name),
                    CELL,
                    pathlib.Path(folder) / name,
                    value,
                )
                node = consensus.Node(
                    options,
                    Counter(),
                    NullListener(),
                    registry=prometheus_client.REGISTRY,
                )
                nodes.append(node)
                nodes[0].start().unwrap()
                server.start()
                answer(True)
            case 'form':
                nodes[0].bootstrap([tuple(one) for one in value]).unwrap()
                while not nodes[0].is_leading():
                    time.sleep(0.01)
                answer(True)
            case 'load':
                answer(load(nodes[0], **value))
    nodes[0].close()
    server.close()


def load(
    node: consensus.Node,
    proposers: int,
    seconds: float,
    command_bytes: int,
    rate: float,
) -> dict[str, typing.Any]:
    """Propose from ``proposers`` threads and return the figures.

    Each thread waits for its command before it proposes the next one, and
    also until the next one is due if there is a ``rate``.
    """
    latencies = histogram.HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
    lock = threading.Lock()
    failed = 0
    begin_s = time.monotonic()
    end_s = begin_s + seconds
    source = random.Random(1)

    def propose_until_end(position: int) -> None:
        nonlocal failed
        due_s = begin_s
        if rate:
            due_s += position / rate
        while True:
            time.sleep(max(0.0, due_s - time.monotonic()))
            if time.monotonic() >= end_s:
                return
            if rate:
                due_s += proposers / rate
            started_ns = time.monotonic_ns()
            command = source.randbytes(command_bytes)
            outcome = node.propose(command).result()
            elapsed_us = (time.monotonic_ns() - started_ns) // 1_000
            with lock:
                latencies.record_value(elapsed_us)
                failed += 0 if outcome.value_or(0) else 1

    threads = [
        threading.Thread(target=propose_until_end, args=(position,))
        for position in range(proposers)
    ]
    started_s = time.monotonic()
    cpu_started_s = time.process_time()
    switches_count = resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_started_s
    switches_count = (
        resource.getrusage(resource.RUSAGE_SELF).ru_nvcsw - switches_count
    )
    count = latencies.get_total_count()
    return {
        'committed_per_s': round((count - failed) / elapsed_s),
        'failed': failed,
        'p50_ms': latencies.get_value_at_percentile(50) / 1000,
        'p99_ms': latencies.get_value_at_percentile(99) / 1000,
        'max_ms': latencies.get_max_value() / 1000,
        'leader_cpu_ratio': round(cpu_s / elapsed_s, 2),
        'leader_us_per_command': round(cpu_s * 1e6 / max(count, 1)),
        'leader_switches_per_command': round(
            switches_count / max(count, 1), 1
        ),
        'syncs_per_s': round(_sample('sync_seconds_count') / elapsed_s),
        'sent_bytes_per_command': _per_command('sent_bytes_total', count),
        'raw_bytes_per_command': _per_command(
            'sent_uncompressed_bytes_total', count
        ),
    }


def _per_command(name: str, count: int) -> float:
    return round(_sample(name) / max(count, 1), 1)


def _sample(name: str) -> float:
    total = 0.0
    for metric in prometheus_client.REGISTRY.collect():
        for sample in metric.samples:
            if sample.name == 'dandeliondrum_consensus_' + name:
                total += sample.value
    return total


def _start_nodes(
    nodes: collections.abc.Sequence[NodeProcess], delayed: int, delay_ms: float
) -> None:
    delayed_names = [node.name for node in nodes[len(nodes) - delayed :]]
    for node in nodes:
        addresses = {}
        for other in nodes:
            address = other.address
            is_delayed = (node.name in delayed_names) != (
                other.name in delayed_names
            )
            if is_delayed and delay_ms:
                address = DelayForwarder(address, delay_ms).address
            if other is not node:
                addresses[other.name] = address
        node.ask('start', addresses)


def measure(
    voters: int = 3,
    proposers: int = 64,
    seconds: float = 5.0,
    command_bytes: int = 64,
    rate: float = 0.0,
    delayed: int = 0,
    delay_ms: float = 0.0,
    folder: str = '',
) -> None:
    """Form a cell of node processes, load its leader, print a JSON line."""
    with contextlib.ExitStack() as resources:
        if not folder:
            folder = resources.enter_context(tempfile.TemporaryDirectory())
        nodes = []
        for number in range(1, voters + 1):
            node = NodeProcess(pathlib.Path(folder), f'c{number}')
            resources.callback(node.close)
            nodes.append(node)
        _start_nodes(nodes, delayed, delay_ms)
        members = [(node.name, node.address) for node in nodes]
        nodes[0].ask('form', members)
        figures = nodes[0].ask(
            'load',
            {
                'proposers': proposers,
                'seconds': seconds,
                'command_bytes': command_bytes,
                'rate': rate,
            },
        )
    print(
        json.dumps(
            {
                'bench': 'consensus',
                'voters': voters,
                'proposers': proposers,
                'seconds': seconds,
                'command_bytes': command_bytes,
                'rate': rate,
                'delayed': delayed,
                'delay_ms': delay_ms,
                **figures,
            }
        )
    )


if __name__ == '__main__':
    if sys.argv[1:2] == ['serve']:
        serve(*sys.argv[2:4])
    else:
        fire.Fire(measure)
