"""Cheap HTTP workers in one process, for benchmarks of a leader's calls.

One thread serves all workers. They implement the calls ``/hold``,
``/run-start`` and ``/run-stop`` without leases, fencing or faults.
"""

import heapq
import json
import multiprocessing
import multiprocessing.connection
import selectors
import socket
import time
import typing

SELECT_MAX_S = 0.5
RECEIVE_BYTES = 65_536
BACKLOG = 16

_Row = list[typing.Any]


class _Connection:
    def __init__(self, sock: socket.socket, worker: '_Worker') -> None:
        self.sock = sock
        self.worker = worker
        self.received = b''

    def take_request(self) -> tuple[str, dict[str, typing.Any]] | None:
        head, separator, rest = self.received.partition(b'\r\n\r\n')
        if not separator:
            return None
        lines = head.split(b'\r\n')
        length = 0
        for line in lines[1:]:
            name, _, value = line.partition(b':')
            if name.lower() == b'content-length':
                length = int(value)
        if len(rest) < length:
            return None
        self.received = rest[length:]
        path = lines[0].split()[1].decode()
        return path, json.loads(rest[:length] or b'{}')

    def reply(self, body: dict[str, typing.Any]) -> None:
        text = json.dumps(body).encode()
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            'Server: worker\r\nDate: Fri, 04 Dec 2026 14:00:00 GMT\r\n'
            f'Content-Length: {len(text)}\r\n\r\n'
        )
        self.sock.send(head.encode() + text)


class _Worker:
    def __init__(self) -> None:
        self.runs: dict[str, tuple[int, float, float]] = {}
        self.ends: list[_Row] = []
        self.ends_count = 0
        self.held: _Connection | None = None
        self.holds_count = 0

    def lists(self) -> dict[str, typing.Any]:
        now_s = time.monotonic()
        return {
            'TimeMs': int(now_s * 1000),
            'Running': [
                [
                    task,
                    run,
                    '',
                    round(100 * (now_s - begin_s) / (end_s - begin_s), 2),
                    500,
                ]
                for task, (run, begin_s, end_s) in self.runs.items()
            ],
            'Ended': self.ends,
            'born': 1,
        }


class _Server:
    def __init__(self, count: int, run_ms: int) -> None:
        self._run_s = run_ms / 1000
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, _Worker, typing.Any]] = []
        self._timers_count = 0
        self._calls: dict[str, int] = {}
        self.addresses = [self._listen() for _ in range(count)]

    def _listen(self) -> str:
        listener = socket.socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(BACKLOG)
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ, _Worker())
        return f'127.0.0.1:{listener.getsockname()[1]}'

    def run(self, pipe: multiprocessing.connection.Connection) -> None:
        """Serve; each message on the pipe is answered with call counts."""
        pipe.send(self.addresses)
        self._selector.register(pipe, selectors.EVENT_READ, pipe)
        while True:
            timeout_s = SELECT_MAX_S
            if self._timers:
                timeout_s = max(0.0, self._timers[0][0] - time.monotonic())
            for key, _ in self._selector.select(timeout_s):
                match key.data:
                    case _Worker():
                        self._accept(key.fileobj, key.data)
                    case _Connection():
                        self._receive(key.data)
                    case _:
                        try:
                            pipe.recv()
                        except EOFError:
                            return
                        pipe.send(dict(self._calls))
            self._expire()

    def _accept(self, listener: typing.Any, worker: _Worker) -> None:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._count('connections')
        self._selector.register(
            sock, selectors.EVENT_READ, _Connection(sock, worker)
        )

    def _receive(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except ConnectionError:
            data = b''
        if not data:
            if connection.worker.held is connection:
                connection.worker.held = None
            self._selector.unregister(connection.sock)
            connection.sock.close()
            return
        connection.received += data
        while (request := connection.take_request()) is not None:
            self._serve(connection, *request)

    def _serve(
        self, connection: _Connection, path: str, body: dict[str, typing.Any]
    ) -> None:
        worker = connection.worker
        self._count(path)
        if path == '/hold':
            acknowledged = body['AckedThrough']
            worker.ends = [row for row in worker.ends if row[0] > acknowledged]
            wait_ms = body.get('WaitMs', 0)
            if worker.ends or not wait_ms:
                connection.reply(worker.lists())
                return
            worker.held = connection
            worker.holds_count += 1
            self._schedule(wait_ms / 1000, worker, worker.holds_count)
            return
        task, run = body['Task'], body['Run']
        if path == '/run-start' and task not in worker.runs:
            now_s = time.monotonic()
            worker.runs[task] = (run, now_s, now_s + self._run_s)
            self._schedule(self._run_s, worker, (task, run))
        connection.reply({'TimeMs': int(time.monotonic() * 1000)})

    def _schedule(
        self, delay_s: float, worker: _Worker, what: typing.Any
    ) -> None:
        self._timers_count += 1
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._timers, (due_s, self._timers_count, worker, what))

    def _expire(self) -> None:
        while self._timers and self._timers[0][0] <= time.monotonic():
            _, number, worker, what = heapq.heappop(self._timers)
            match what:
                case int() if worker.holds_count == what:
                    self._release(worker)
                case (task, run) if task in worker.runs:
                    del worker.runs[task]
                    worker.ends_count += 1
                    worker.ends.append(
                        [worker.ends_count, task, run, 'done', '']
                    )
                    self._release(worker)

    def _release(self, worker: _Worker) -> None:
        connection, worker.held = worker.held, None
        if connection is not None:
            connection.reply(worker.lists())

    def _count(self, name: str) -> None:
        self._calls[name] = self._calls.get(name, 0) + 1


def _serve(
    pipe: multiprocessing.connection.Connection, count: int, run_ms: int
) -> None:
    _Server(count, run_ms).run(pipe)


class WorkerServers:
    """A process that serves ``count`` workers whose runs take ``run_ms``.

    Example::

        with WorkerServers(176, 1_000) as servers:
            call(servers.addresses[0])
    """

    def __init__(self, count: int, run_ms: int) -> None:
        context = multiprocessing.get_context('spawn')
        self._pipe, theirs = context.Pipe()
        self._process = context.Process(
            target=_serve, args=(theirs, count, run_ms), daemon=True
        )
        self._theirs = theirs
        self.addresses: list[str] = []

    def __enter__(self) -> 'WorkerServers':
        self._process.start()
        self._theirs.close()
        self.addresses = self._pipe.recv()
        return self

    def __exit__(self, *_: object) -> None:
        self._pipe.close()
        self._process.join()

    def calls(self) -> dict[str, int]:
        """Return how many calls of each path were received so far."""
        self._pipe.send('calls')
        return self._pipe.recv()
