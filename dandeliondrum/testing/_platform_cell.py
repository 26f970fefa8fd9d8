"""A platform deployment: real controllers and gateways with fake workers."""

import collections.abc
import contextlib
import json
import pathlib
import shutil
import sys

from dandeliondrum import messages
from dandeliondrum.testing import _fake_job_workers
from dandeliondrum.testing import _http
from dandeliondrum.testing import _platform_fakes
from dandeliondrum.testing import _ports
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _proxy

# Controllers and gateways are identified by IP address, so each needs its
# own.
NETWORK = '127.0'
CONTROLLER_IP = '{}.0.{}'
FIRST_CONTROLLER = 2
GATEWAY_IP = '{}.1.{}'
SEEDS_COUNT = 3
POOL = 'pool'
KEY = 'k1'
HOST = 'nony24.example'
HEADERS = {'Authorization': f'Token {KEY}', 'Host': HOST}
LEASE_MAX_MS = 6_000
CALL_TIMEOUT_MS = 4_000
ATTEMPTS_MAX = 3


def route(name: str = 'r1', **overrides: object) -> dict[str, object]:
    """Return a queue in the format of the configuration document."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Type': 'non_idempotent',
        'TimeoutMs': 3_000,
        'TargetLatencyMs': 500,
        'Priority': 1,
        'Service': POOL,
        'MaxAttempts': ATTEMPTS_MAX,
        'Stretch': 2.2,
        'Public': False,
        **overrides,
    }


def tenant(
    name: str = 'kaje80', keys: tuple[object, ...] = (KEY,)
) -> dict[str, object]:
    """Return a team in the format of the configuration document."""
    cap = {'Cpu': 0, 'MemMb': 0, 'Gpu': 0}
    return {'Name': name, 'ApiKeys': list(keys), 'Weight': 14, 'Cap': cap}


def document(version: int = 1, **overrides: object) -> bytes:
    """Return a configuration document as sent by operators."""
    fields = {
        'Version': version,
        'Routes': [route()],
        'Services': [{'Name': POOL}],
        'Limits': {},
        'Tenants': [tenant()],
        **overrides,
    }
    return json.dumps(fields).encode()


class PlatformCell:
    """Controllers, gateways, workers and an adviser on loopback.

    Controllers and gateways are processes, which run until the context of
    ``processes`` ends; workers and the adviser are fakes. The calls to the
    first ``links_count`` workers and those of callers to as many gateways pass
    through proxies; ``links`` maps the names of their targets to these. All
    of them listen in ``network``, the first half of their IP addresses, and
    get ``settings`` in addition to their own. If ``failure_domains`` are
    given, they can be evacuated.

    Example::

        with testing.Processes(folder) as processes:
            with testing.PlatformCell(folder, processes, workers) as cell:
                cell.put_document(testing.document())
    """

    def __init__(
        self,
        folder: pathlib.Path,
        processes: _processes.Processes,
        workers: list[_fake_job_workers.FakeWorker],
        gateways_count: int = 1,
        links_count: int = 0,
        controllers_count: int = 3,
        job_state_kept_s: int = 120,
        failure_domains: tuple[str, ...] = (),
        network: str = NETWORK,
        settings: collections.abc.Mapping[str, str] | None = None,
    ) -> None:
        self.processes = processes
        self._settings = settings or {}
        self.failure_domains = failure_domains
        self._job_state_kept_s = job_state_kept_s
        self._controller_ips = [
            CONTROLLER_IP.format(network, FIRST_CONTROLLER + number)
            for number in range(controllers_count)
        ]
        self._gateway_ips = [
            GATEWAY_IP.format(network, 1 + number)
            for number in range(gateways_count)
        ]
        self._folder = folder
        control, self._stream_port = (
            _ports.free_address().rpartition(':')[2] for _ in range(2)
        )
        self.control = [f'{ip}:{control}' for ip in self._controller_ips]
        self.callers = [_ports.free_address(ip) for ip in self._gateway_ips]
        self.readiness_addresses = [
            _ports.free_address(ip) for ip in self._gateway_ips
        ]
        self.adviser = _platform_fakes.HttpAdviser(_ports.free_address())
        self.workers = [
            _platform_fakes.HttpWorker(one, _ports.free_address())
            for one in workers
        ]
        self.links: dict[str, _proxy.Proxy] = {
            one.worker.facts.worker_id: _proxy.Proxy(one.server.address)
            for one in self.workers[:links_count]
        }
        for number, address in enumerate(self.callers[:links_count]):
            self.links[f'g{number}'] = _proxy.Proxy(address)
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> 'PlatformCell':
        servers = [one.server for one in self.workers]
        for server in (self.adviser.server, *servers):
            server.start()
            self._resources.callback(server.close)
        for proxy in self.links.values():
            self._resources.enter_context(proxy)
        for worker in self.workers:
            worker_proxy = self.links.get(worker.worker.facts.worker_id)
            if worker_proxy is not None:
                worker.advertised_address = worker_proxy.address
        for ip in self._controller_ips:
            self._launch_controller(ip, first_start=True)
        for number, address in enumerate(self.callers):
            self._launch(
                f'g{number}',
                'gateway',
                {
                    'Ip': self._gateway_ips[number],
                    'Listen.Front': address,
                    'Listen.Ready': self.readiness_addresses[number],
                },
            )
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def controller(self, number: int) -> str:
        """Return the process name of a controller."""
        return f'c{self._controller_ips[number]}'

    def stream_address(self, number: int) -> str:
        """Return where a controller accepts the streams of its peers."""
        return f'{self._controller_ips[number]}:{self._stream_port}'

    def replace_disk(self, number: int) -> None:
        """Restart a killed controller with an empty data folder."""
        ip = self._controller_ips[number]
        shutil.rmtree(self._folder / ip)
        self._launch_controller(ip, first_start=False)
        self.processes.wait_ready(self.controller(number))

    def put_document(
        self, body: bytes, number: int = 0, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> int:
        """Send a configuration document to a controller; return the status."""
        return _http.call(
            f'http://{self.control[number]}/config',
            'PUT',
            body,
            timeout_ms=timeout_ms,
        ).status

    def read_document(self, number: int) -> _http.HttpReply:
        """Read the configuration document from a controller."""
        return _http.call(
            f'http://{self.control[number]}/config', timeout_ms=CALL_TIMEOUT_MS
        )

    def report(
        self,
        worker: _platform_fakes.HttpWorker,
        number: int,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> int:
        """Send the report of a worker to a controller; return the status."""
        worker_id = worker.worker.facts.worker_id
        return _http.call(
            f'http://{self.control[number]}/instances/{worker_id}',
            'PUT',
            worker.report(),
            timeout_ms=timeout_ms,
        ).status

    def change_domain(
        self,
        domain: str,
        evacuated: bool,
        number: int = 0,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> int:
        """Evacuate or restore a domain at a controller; return the status."""
        return _http.call(
            f'http://{self.control[number]}/evacuations/{domain}',
            'POST' if evacuated else 'DELETE',
            timeout_ms=timeout_ms,
        ).status

    def ready(self, number: int = 0) -> bool:
        """Return whether a gateway reports that it is ready."""
        url = f'http://{self.readiness_addresses[number]}/ready'
        return _http.call(url, timeout_ms=CALL_TIMEOUT_MS).status == 200

    def ask(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        number: int = 0,
        client: _http.HttpClient | None = None,
    ) -> _http.HttpReply:
        """Make a caller call to a gateway, on a new connection by default."""
        proxy = self.links.get(f'g{number}')
        address = self.callers[number] if proxy is None else proxy.address
        call = _http.call if client is None else client.call
        return call(
            f'http://{address}{path}',
            method,
            body,
            headers or HEADERS,
            CALL_TIMEOUT_MS,
        )

    def _launch_controller(self, ip: str, first_start: bool) -> None:
        number = self._controller_ips.index(ip)
        self._launch(
            self.controller(number),
            'controller',
            {
                'Ip': ip,
                'Listen.Control': self.control[number],
                'DataDir': str(self._folder / ip),
                'Bootstrap': 'true' if first_start else 'false',
            },
        )

    def _launch(self, name: str, role: str, overrides: dict[str, str]) -> None:
        settings = {
            'Node': name,
            'Zone': 'sattahip',
            'Region': 'gulf',
            'PortRange': f'{self._stream_port},{self._stream_port}',
            'Seeds': ','.join(self.control[:SEEDS_COUNT]),
            'FaultTolerance.Machines': str((len(self.control) - 1) // 2),
            'Bounds.GraceS': '6',
            'Bounds.HoldMaxMs': str(LEASE_MAX_MS),
            'Bounds.status_s': str(self._job_state_kept_s),
            'PlacementAdvisor': self.adviser.server.address,
            **self._settings,
            **overrides,
        }
        if self.failure_domains:
            settings['Contracts'] = 'base,places'
            for domain in self.failure_domains:
                settings[f'Zones.{domain}'] = settings['Region']
        path = self._folder / f'{name}.conf'
        path.write_text(
            '\n'.join(f'{key}={value}' for key, value in settings.items())
        )
        self.processes.launch(
            name,
            _processes.Program(
                arguments=(
                    sys.executable,
                    '-m',
                    'dandeliondrum.platform',
                    role,
                ),
                ready_address=settings.get(
                    'Listen.Control', settings.get('Listen.Front', '')
                ),
                environment=(('DANDELIONDRUM_SETTINGS', str(path)),),
            ),
        )


def make_workers(
    count: int, capacity: messages.Resources, run_ms: int
) -> list[_fake_job_workers.FakeWorker]:
    """Return fake workers that differ only in their ids."""
    return [
        _fake_job_workers.FakeWorker(f'i-{number}', capacity, run_ms)
        for number in range(count)
    ]
