"""A whole cell of real processes on loopback, as an operator would run it.

Every process gets its settings as a file. With a mesh of proxies each link
between two of the cell's processes passes through a proxy of its own; callers
and operators are not part of the mesh.
"""

import collections.abc
import contextlib
import json
import pathlib
import typing

from dandeliondrum.testing import _cell_calls
from dandeliondrum.testing import _http
from dandeliondrum.testing import _mesh
from dandeliondrum.testing import _ports
from dandeliondrum.testing import _processes
from dandeliondrum import worker


class Cell(_cell_calls.CellCalls):
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
        broken_by: collections.abc.Mapping[str, str] | None = None,
        **controller_fields: typing.Any,
    ) -> None:
        super().__init__()
        self._broken_by = broken_by or {}
        self.folder = pathlib.Path(folder)
        self.processes = _processes.Processes(self.folder / 'logs')
        self.mesh = mesh
        self._controller_fields = controller_fields
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> 'Cell':
        self._resources.enter_context(self.processes)
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def wait_ready(
        self,
        workers_count: int | None = None,
        timeout_ms: int = _cell_calls.WAIT_TIMEOUT_MS,
    ) -> None:
        """Wait as the base does; a failure has the logs in its notes."""
        try:
            super().wait_ready(workers_count, timeout_ms)
        except AssertionError as error:
            error.add_note(self.processes.describe())
            raise

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
            'cell_id': _cell_calls.CELL_ID,
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

    def add_gateways(self, count: int) -> None:
        """Start gateways that know all controllers."""
        for i in range(1, count + 1):
            self.add_gateway(f'g{i}')

    def add_gateway(self, name: str, **more: typing.Any) -> None:
        """Start one gateway."""
        fields: dict[str, typing.Any] = {
            'gateway_id': name,
            'cell_id': _cell_calls.CELL_ID,
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
        program = _processes.daemon(
            kind, path, ready_url=url, broken_by=self._broken_by.get(kind, '')
        )
        self.processes.launch(name, program)

    def leader(self) -> str:
        """Return the controller that leads, once there is one."""
        return _cell_calls.wait_until(self.leader_now)

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

    def gateways_up(self) -> list[str]:
        """Return the gateways whose processes run."""
        return [
            name for name in self.gateways if self.processes.is_running(name)
        ]

    def journal(self, name: str) -> tuple[worker.Event, ...]:
        """Return the events that a worker recorded."""
        path = self.folder / f'{name}.journal'
        return worker.read_journal(path) if path.exists() else ()

    def journals(self) -> tuple[worker.Event, ...]:
        """Return the events of all workers."""
        return tuple(
            event for name in self.workers for event in self.journal(name)
        )
