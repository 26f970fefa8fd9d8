"""A whole cell of real processes on loopback, as an operator would run it.

Every process gets its settings as a file. With a mesh of proxies each link
between two of the cell's processes passes through a proxy of its own; callers
and operators are not part of the mesh.
"""

import base64
import collections.abc
import contextlib
import functools
import json
import pathlib
import time
import typing
import uuid

from dandeliondrum import messages
from dandeliondrum.testing import _http
from dandeliondrum.testing import _mesh
from dandeliondrum.testing import _ports
from dandeliondrum.testing import _processes
from dandeliondrum import transport
from dandeliondrum import worker

CELL_ID = messages.CellId('test-cell')
WAIT_TIMEOUT_MS = 30_000
POLL_MS = 50
CALL_TIMEOUT_MS = 5_000

_SMALL = {'cpu_millicores': 1_000, 'memory_mb': 512, 'timeout_ms': 60_000}

Value = typing.TypeVar('Value')


def wait_until(
    condition: collections.abc.Callable[[], Value],
    timeout_ms: int = WAIT_TIMEOUT_MS,
) -> Value:
    """Wait until a condition gives something true, and return that.

    Raises AssertionError when that takes longer than the timeout.
    """
    end_s = time.monotonic() + timeout_ms / 1000
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_MS / 1000)
    raise AssertionError(f'not within {timeout_ms} ms: {condition}')


class Cell:
    """Controllers, gateways and workers, each a process of its own.

    Example::

        with testing.Cell(tmp_path) as cell:
            cell.add_controllers(3)
            cell.add_gateways(2)
            cell.wait_ready()
            cell.apply_rules(text, expected_version=0)
            cell.add_workers(3)
            cell.wait_ready()
            cell.processes.kill(cell.leader())
    """

    def __init__(
        self,
        folder: str | pathlib.Path,
        mesh: _mesh.ProxyMesh | None = None,
        **controller_fields: typing.Any,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.processes = _processes.Processes(self.folder / 'logs')
        self.mesh = mesh
        self.addresses: dict[str, str] = {}
        self.controllers: list[str] = []
        self.gateways: list[str] = []
        self.workers: list[str] = []
        self._controller_fields = controller_fields
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> 'Cell':
        self._resources.enter_context(self.processes)
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def add_controllers(self, count: int, form: bool = True) -> None:
        """Start controllers, and found the cell with them."""
        names = [f'c{i}' for i in range(1, count + 1)]
        for name in names:
            self.addresses[name] = _ports.free_address()
        for name in names:
            self.add_controller(name, names)
        if form:
            self.form(names)

    def add_controller(self, name: str, members: list[str]) -> None:
        """Start one controller that knows these members."""
        self.addresses.setdefault(name, _ports.free_address())
        metrics = self.addresses.setdefault(
            f'{name}/metrics', _ports.free_address()
        )
        self.controllers.append(name)
        fields = {
            'controller_id': name,
            'cell_id': CELL_ID,
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'listen_address': self.addresses[name],
            'metrics_address': metrics,
            'data_folder': str(self.folder / name),
            'controllers': [
                {'controller_id': other, 'address': self._link(name, other)}
                for other in members
            ],
            **self._controller_fields,
        }
        self._launch('controller', name, fields, f'http://{metrics}/healthz')

    def form(self, names: list[str]) -> None:
        """Found the cell, as `controllers form` does."""
        call = messages.FormCell(
            tuple(
                (messages.ControllerId(name), self.addresses[name])
                for name in names
            )
        )
        wait_until(
            lambda: isinstance(self.call(names[0], call), messages.Done)
        )

    def call(self, controller: str, message: typing.Any) -> typing.Any:
        """Send one call to a controller; None when there is no reply."""
        hello = messages.Hello(
            CELL_ID,
            transport.PROTOCOL_VERSION,
            messages.PeerKind.GATEWAY,
            'operator',
        )
        try:
            stream = transport.connect(
                self.addresses[controller], hello, transport.Callbacks()
            )
        except OSError:
            return None
        with contextlib.closing(stream):
            return stream.call(message, CALL_TIMEOUT_MS).value_or(None)

    def add_gateways(self, count: int) -> None:
        """Start gateways that know all controllers."""
        for i in range(1, count + 1):
            self.add_gateway(f'g{i}')

    def add_gateway(self, name: str, **more: typing.Any) -> None:
        """Start one gateway."""
        fields: dict[str, typing.Any] = {
            'gateway_id': name,
            'cell_id': CELL_ID,
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'controllers': [
                {'controller_id': other, 'address': self._link(name, other)}
                for other in self.controllers
            ],
            **more,
        }
        for port in ('callers', 'workers', 'operators'):
            address = _ports.free_address()
            self.addresses[f'{name}/{port}'] = address
            fields[f'{port}_address'] = address
        self.gateways.append(name)
        operators = self.addresses[f'{name}/operators']
        self._launch('gateway', name, fields, f'http://{operators}/healthz')

    def add_workers(self, count: int, **more: typing.Any) -> None:
        """Start workers that know all gateways."""
        for i in range(1, count + 1):
            self.add_worker(f'w{i}', **more)

    def add_worker(self, name: str, **more: typing.Any) -> None:
        """Start one worker."""
        address = _ports.free_address()
        self.addresses[name] = address
        # Gateways reach the worker at what it announces, so one proxy
        # stands for all of its links from them.
        advertised = address
        if self.mesh is not None:
            advertised = self.mesh.link('gateways', name, address)
        fields = {
            'worker_id': name,
            'address': address,
            'advertised_address': advertised,
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'rack': 'r1',
            'cpu_millicores': 16_000,
            'memory_mb': 32_768,
            'slots_count': 8,
            'connections_count': 64,
            'journal_path': str(self.folder / f'{name}.journal'),
            'gateways': [
                self._link(name, gateway, 'workers')
                for gateway in self.gateways
            ],
            **more,
        }
        self.workers.append(name)
        self._launch('worker', name, fields, '')

    def _link(self, source: str, target: str, port: str = '') -> str:
        address = self.addresses[f'{target}/{port}' if port else target]
        if self.mesh is None or source == target:
            return address
        return self.mesh.link(source, target, address, port)

    def _launch(
        self, kind: str, name: str, fields: dict[str, typing.Any], url: str
    ) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(fields, indent=1))
        self.processes.launch(
            name, _processes.daemon(kind, path, ready_url=url)
        )

    def leader(self) -> str:
        """Return the controller that leads, once there is one."""
        return wait_until(self.leader_now)

    def leader_now(self) -> str:
        """Return the controller that leads; empty when there is none."""
        for name in self.controllers:
            if not self.processes.is_running(name):
                continue
            address = self.addresses[f'{name}/metrics']
            reply = _http.call(f'http://{address}/metrics', timeout_ms=500)
            if b'dandeliondrum_controller_leading 1.0' in reply.body:
                return name
        return ''

    def wait_ready(self, workers_count: int | None = None) -> None:
        """Wait until gateways serve and the workers are in the fleet."""
        if workers_count is None:
            workers_count = len(self.workers)
        for name in self.gateways:
            if self.processes.is_running(name):
                wait_until(functools.partial(self.is_ready, name))
        wait_until(lambda: len(self.fleet()['workers']) >= workers_count)

    def is_ready(self, gateway: str) -> bool:
        """Tell whether a gateway tells the balancer that it is ready."""
        address = self.addresses[f'{gateway}/operators']
        url = f'http://{address}/readyz'
        return _http.call(url, timeout_ms=1_000).status == 200

    def fleet(self, gateway: str = 'g1') -> dict[str, typing.Any]:
        """Return the fleet as operators see it."""
        reply = self.operate('GET', '/v1/fleet', gateway=gateway)
        if reply.status != 200:
            return {'workers': []}
        return reply.json()

    def operate(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        gateway: str = 'g1',
    ) -> _http.HttpReply:
        """Make one operator's call through a gateway."""
        address = self.addresses[f'{gateway}/operators']
        return _http.call(f'http://{address}{path}', method, body, headers)

    def apply_rules(
        self,
        text: str,
        expected_version: int,
        change_id: str = '',
        gateway: str = 'g1',
    ) -> _http.HttpReply:
        """Apply a rules file as an operator does."""
        return self.operate(
            'PUT',
            '/v1/rules',
            text.encode(),
            {
                'If-Match': str(expected_version),
                'Dandeliondrum-Change-Id': change_id or uuid.uuid4().hex,
                'Dandeliondrum-Operator': 'tester',
            },
            gateway,
        )

    def run_task(
        self,
        body: dict[str, typing.Any],
        key: str = '',
        gateway: str = 'g1',
        timeout_ms: int = 20_000,
        **fields: typing.Any,
    ) -> _http.HttpReply:
        """Make one waiting call; fields become ``Dandeliondrum-`` headers."""
        address = self.addresses[f'{gateway}/callers']
        return _http.call(
            f'http://{address}/v1/tasks',
            'POST',
            json.dumps(body).encode(),
            task_headers(key, timeout_ms=timeout_ms, **fields),
            timeout_ms + 5_000,
        )

    def submit_job(
        self,
        key: str,
        tasks: list[dict[str, typing.Any]],
        gateway: str = 'g1',
        team: str = 'harbour',
        **fields: typing.Any,
    ) -> _http.HttpReply:
        """Hand in a job; each task has ``body`` as a mapping."""
        sent = []
        for task in tasks:
            body = json.dumps(task.pop('body', {})).encode()
            encoded = base64.b64encode(body).decode()
            sent.append({**_SMALL, **task, 'body_base64': encoded})
        address = self.addresses[f'{gateway}/callers']
        return _http.call_json(
            f'http://{address}/v1/jobs',
            {'team': team, 'queue': 'lens', 'tasks': sent, **fields},
            {'Authorization': f'Bearer {key}'},
            CALL_TIMEOUT_MS * 4,
        )

    def ask(
        self,
        key: str,
        path: str,
        method: str = 'GET',
        body: dict[str, typing.Any] | None = None,
        gateway: str = 'g1',
        team: str = 'harbour',
    ) -> _http.HttpReply:
        """Make another call of a caller, for example about a task."""
        address = self.addresses[f'{gateway}/callers']
        return _http.call(
            f'http://{address}/v1/{path}',
            method,
            None if body is None else json.dumps(body).encode(),
            {
                'Authorization': f'Bearer {key}',
                'Dandeliondrum-Team': team,
                'Content-Type': 'application/json',
            },
            CALL_TIMEOUT_MS * 4,
        )

    def state_of(self, key: str, request_id: str, gateway: str = 'g1') -> str:
        """Return the state of a task; empty when there is no answer."""
        reply = self.ask(key, f'tasks/{request_id}', gateway=gateway)
        try:
            return str(reply.json().get('state', ''))
        except ValueError:
            return ''

    def journal(self, name: str) -> tuple[worker.Event, ...]:
        """Return the events that a worker recorded."""
        path = self.folder / f'{name}.journal'
        return worker.read_journal(path) if path.exists() else ()

    def journals(self) -> tuple[worker.Event, ...]:
        """Return the events of all workers."""
        return tuple(
            event for name in self.workers for event in self.journal(name)
        )


def task_headers(key: str, **fields: typing.Any) -> dict[str, str]:
    """Return the headers of a task, with small sizes by default."""
    named = {
        'team': 'harbour',
        'queue': 'lens',
        'class': 'batch',
        'cpu_millicores': 1_000,
        'memory_mb': 512,
        'expected_run_ms': 100,
        **fields,
    }
    headers = {
        f'Dandeliondrum-{name.replace("_", "-").title()}': str(value)
        for name, value in named.items()
    }
    if key:
        headers['Authorization'] = f'Bearer {key}'
    return headers
