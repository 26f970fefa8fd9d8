"""A complete cell of real processes on loopback, as in production.

Every process reads its settings from a file. With a proxy mesh, each link
between two processes of the cell passes through its own proxy; the links of
callers and operators do not.
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
    """Controllers, gateways and workers, each in its own process.

    ``broken_by`` maps ``controller``, ``gateway`` or ``worker`` to Python
    code that introduces a fault into these processes, see :func:`daemon`.
    Other keyword arguments are added to the settings of controllers.

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
        **controller_settings: typing.Any,
    ) -> None:
        super().__init__()
        self._broken_by = broken_by or {}
        self.folder = pathlib.Path(folder)
        self.processes = _processes.Processes(self.folder / 'logs')
        self.mesh = mesh
        self._controller_settings = controller_settings
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
        """Wait like the base class; on failure, add the logs as a note."""
        try:
            super().wait_ready(workers_count, timeout_ms)
        except AssertionError as error:
            error.add_note(self.processes.describe())
            raise

    def add_controllers(self, count: int, form: bool = True) -> None:
        """Start controllers and, with ``form``, form the cell of them."""
        names = [f'c{number}' for number in range(1, count + 1)]
        for name in names:
            self.addresses[name] = _ports.free_address()
        for name in names:
            self.add_controller(name, names)
        if form:
            self.form(names)

    def add_controller(self, name: str, members: list[str]) -> None:
        """Start one controller that is configured with these members."""
        self.addresses.setdefault(name, _ports.free_address())
        metrics = self.addresses.setdefault(
            f'{name}/metrics', _ports.free_address()
        )
        self.controllers.append(name)
        settings = {
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
            **self._controller_settings,
        }
        self._launch('controller', name, settings, f'http://{metrics}/healthz')

    def add_gateways(self, count: int) -> None:
        """Start gateways that are configured with all controllers."""
        for number in range(1, count + 1):
            self.add_gateway(f'g{number}')

    def add_gateway(self, name: str, **overrides: typing.Any) -> None:
        """Start one gateway; keyword arguments are added to its settings."""
        settings: dict[str, typing.Any] = {
            'gateway_id': name,
            'cell_id': _cell_calls.CELL_ID,
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'controllers': [
                {'controller_id': other, 'address': self._link(name, other)}
                for other in self.controllers
            ],
            **overrides,
        }
        for port in ('callers', 'workers', 'operators'):
            address = _ports.free_address()
            self.addresses[f'{name}/{port}'] = address
            settings[f'{port}_address'] = address
        self.gateways.append(name)
        operators = self.addresses[f'{name}/operators']
        self._launch('gateway', name, settings, f'http://{operators}/healthz')

    def add_workers(self, count: int, **overrides: typing.Any) -> None:
        """Start workers that are configured with all gateways."""
        for number in range(1, count + 1):
            self.add_worker(f'w{number}', **overrides)

    def add_worker(self, name: str, **overrides: typing.Any) -> None:
        """Start one worker; keyword arguments are added to its settings."""
        address = _ports.free_address()
        self.addresses[name] = address
        # All gateways connect to the one address that the worker
        # announces, so these links share one proxy.
        advertised = address
        if self.mesh is not None:
            advertised = self.mesh.link('gateways', name, address)
        settings = {
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
            **overrides,
        }
        self.workers.append(name)
        self._launch('worker', name, settings, '')

    def _link(self, source: str, target: str, port: str = '') -> str:
        address = self.addresses[f'{target}/{port}' if port else target]
        if self.mesh is None or source == target:
            return address
        return self.mesh.link(source, target, address, port)

    def _launch(
        self, kind: str, name: str, settings: dict[str, typing.Any], url: str
    ) -> None:
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings, indent=1))
        program = _processes.daemon(
            kind, path, ready_url=url, broken_by=self._broken_by.get(kind, '')
        )
        self.processes.launch(name, program)

    def leader(self) -> str:
        """Wait for a leader and return the name of its controller."""
        return _cell_calls.wait_until(self.leader_now)

    def leader_now(self) -> str:
        """Return the controller that is the leader, or an empty string."""
        for name in self.controllers:
            if not self.processes.is_running(name):
                continue
            address = self.addresses[f'{name}/metrics']
            reply = _http.call(f'http://{address}/metrics', timeout_ms=500)
            if b'dandeliondrum_controller_leading 1.0' in reply.body:
                return name
        return ''

    def gateways_up(self) -> list[str]:
        """Return the gateways whose processes are running."""
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
