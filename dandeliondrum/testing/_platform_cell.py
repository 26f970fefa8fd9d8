"""A platform deployment: real controllers and gateways with fake workers."""

import collections.abc
import contextlib
import json
import pathlib
import random
import shutil
import sys
import threading
import time

from dandeliondrum import messages
from dandeliondrum.testing import _fake_job_workers
from dandeliondrum.testing import _http
from dandeliondrum.testing import _platform_fakes
from dandeliondrum.testing import _ports
from dandeliondrum.testing import _power_loss
from dandeliondrum.testing import _processes
from dandeliondrum.testing import _proxy
from dandeliondrum.testing import _slow_region

# Controllers and gateways are identified by IP address, so each needs its
# own.
NETWORK = '127.0'
CONTROLLER_IP = '{}.0.{}'
FIRST_CONTROLLER = 2
CONTROLLERS_MAX = 100
GATEWAY_IP = '{}.1.{}'
SEEDS_COUNT = 3
POOL = 'pool'
KEY = 'k1'
HOST = 'nony24.example'
HEADERS = {'Authorization': f'Token {KEY}', 'Host': HOST}
# Processes that share a machine get more time to stop than the 6 s of the
# deployments so far; the soak checks the same limit.
STOP_GRACE_S = 8
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
    given, they can be evacuated. With ``regions``, the controllers are in
    these by turns, and have the delays of the module ``_slow_region``. With
    ``loses_power`` the disks of controllers can lose power, and are slow, too.

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
        regions: tuple[str, ...] = (),
        loses_power: bool = False,
    ) -> None:
        self.processes = processes
        self._loses_power = loses_power
        self.regions = regions
        self._settings = settings or {}
        self.failure_domains = failure_domains
        self._job_state_kept_s = job_state_kept_s
        self._losses_max = (controllers_count - 1) // 2
        self._spare_ips = [
            CONTROLLER_IP.format(network, FIRST_CONTROLLER + number)
            for number in range(CONTROLLERS_MAX)
        ]
        self._region_of = {
            ip: regions[number % len(regions)] if regions else ''
            for number, ip in enumerate(self._spare_ips)
        }
        self._controller_ips = self._spare_ips[:controllers_count]
        del self._spare_ips[:controllers_count]
        self._gateway_ips = [
            GATEWAY_IP.format(network, 1 + number)
            for number in range(gateways_count)
        ]
        self._folder = folder
        self._control_port, self._stream_port = (
            _ports.free_address().rpartition(':')[2] for _ in range(2)
        )
        self.control = [
            f'{ip}:{self._control_port}' for ip in self._controller_ips
        ]
        # Protects the two fields below and the addresses of controllers.
        self._lock = threading.Lock()
        self._seeds = self.control[:SEEDS_COUNT]
        self._written: dict[str, dict[str, str]] = {}
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
        for number in range(len(self._controller_ips)):
            self.launch_controller(number, first_start=True)
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

    def region(self, number: int) -> str:
        """Return the region of a controller."""
        return self._region_of[self._controller_ips[number]]

    def launch_controller(
        self, number: int, first_start: bool = False
    ) -> None:
        """Start a controller without waiting until it is ready."""
        ip = self._controller_ips[number]
        overrides = {
            'Ip': ip,
            'Listen.Control': self.control[number],
            'DataDir': str(self._folder / ip),
            'Bootstrap': 'true' if first_start else 'false',
        }
        slowed: tuple[str, ...] = ()
        remote_ips: list[str] = []
        if self.regions:
            region = overrides['Region'] = self._region_of[ip]
            remote_ips = [
                other
                for other, its_region in self._region_of.items()
                if its_region != region
            ]
            slowed = _slow_region.arguments(remote_ips)
        if self._loses_power:
            # The name of the data folder can be lost, too.
            root = self._folder / ip
            root.mkdir(exist_ok=True)
            overrides['DataDir'] = str(root / 'data')
            slowed = _slow_region.arguments(
                remote_ips, root, self._journal(number), self._aim(number)
            )
        self._launch(self.controller(number), 'controller', overrides, slowed)

    def replace_disk(self, number: int) -> None:
        """Restart a killed controller with an empty data folder."""
        self.wipe_disk(number)
        self.launch_controller(number)
        self.processes.wait_ready(self.controller(number))

    def wipe_disk(self, number: int) -> None:
        """Empty the data folder of a killed controller."""
        folder = self._folder / self._controller_ips[number]
        if folder.exists():
            shutil.rmtree(folder)
        self._journal(number).unlink(missing_ok=True)

    def aim(self, number: int, writes_count: int) -> None:
        """Let a controller kill itself once so many writes are not synced.

        It needs a disk that can lose power.
        """
        path = self._aim(number)
        written = path.with_suffix('.new')
        written.write_text(str(writes_count))
        written.replace(path)

    def lose_power(
        self,
        number: int,
        rng: random.Random,
        *,
        keeps_last_write: bool = False,
    ) -> _power_loss.Unsynced:
        """Take what a killed controller has not synced; return how much.

        ``keeps_last_write`` is that of ``_power_loss.lose_power``. The
        controller no longer kills itself after its next start.
        """
        self._aim(number).unlink(missing_ok=True)
        return _power_loss.lose_power(
            self._folder / self._controller_ips[number],
            self._journal(number),
            rng,
            keeps_last_write=keeps_last_write,
        )

    def _journal(self, number: int) -> pathlib.Path:
        return self._folder / f'{self._controller_ips[number]}.journal'

    def _aim(self, number: int) -> pathlib.Path:
        return self._folder / f'{self._controller_ips[number]}.aim'

    def add_controller(self, region: str = '') -> int:
        """Reserve an unused address for a controller; return its number.

        It is to be launched then, and has an empty data folder.
        """
        with self._lock:
            ip = next(
                ip for ip in self._spare_ips if self._region_of[ip] == region
            )
            self._spare_ips.remove(ip)
            self._controller_ips.append(ip)
            self.control.append(f'{ip}:{self._control_port}')
            return len(self._controller_ips) - 1

    def set_seeds(self, numbers: collections.abc.Iterable[int]) -> None:
        """Write other seed controllers to the settings of all processes."""
        with self._lock:
            self._seeds = [self.control[number] for number in numbers]
            for name, settings in self._written.items():
                self._write_settings(name, settings)

    def ports(self, name: str) -> tuple[str, str]:
        """Return the addresses that a process needs for its start."""
        with self._lock:
            settings = self._written[name]
        if 'Listen.Front' in settings:
            return settings['Listen.Ready'], settings['Listen.Front']
        stream_address = f'{settings["Ip"]}:{self._stream_port}'
        return stream_address, settings['Listen.Control']

    def write_settings_slowly(
        self,
        name: str,
        numbers: collections.abc.Iterable[int],
        cuts: collections.abc.Sequence[tuple[float, float]],
    ) -> None:
        """Write other seeds to the settings of a process, in place.

        Each of ``cuts`` is a share of the text, after which the writer pauses
        for so many seconds. Processes launched later get the same seeds.
        """
        with self._lock:
            self._seeds = [self.control[number] for number in numbers]
            text = self._settings_text(self._written[name])
        with open(self._folder / f'{name}.conf', 'w') as settings:
            begin = 0
            for share, pause_s in cuts:
                end = int(share * len(text))
                settings.write(text[begin:end])
                settings.flush()
                time.sleep(pause_s)
                begin = end
            settings.write(text[begin:])

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

    def read_document(
        self, number: int, timeout_ms: int = CALL_TIMEOUT_MS
    ) -> _http.HttpReply:
        """Read the configuration document from a controller."""
        return _http.call(
            f'http://{self.control[number]}/config', timeout_ms=timeout_ms
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

    def _launch(
        self,
        name: str,
        role: str,
        overrides: dict[str, str],
        slowed: tuple[str, ...] = (),
    ) -> None:
        settings = {
            'Node': name,
            'Zone': 'sattahip',
            'Region': 'gulf',
            'PortRange': f'{self._stream_port},{self._stream_port}',
            'FaultTolerance.Machines': str(self._losses_max),
            'Bounds.GraceS': str(STOP_GRACE_S),
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
        with self._lock:
            self._written[name] = settings
            path = self._write_settings(name, settings)
        program = slowed or ('-S', '-m', 'dandeliondrum.platform', role)
        self.processes.launch(
            name,
            _processes.Program(
                arguments=(sys.executable, *program),
                ready_address=settings.get(
                    'Listen.Control', settings.get('Listen.Front', '')
                ),
                environment=(('DANDELIONDRUM_SETTINGS', str(path)),),
            ),
        )

    def _write_settings(
        self, name: str, settings: dict[str, str]
    ) -> pathlib.Path:
        """Replace the settings file of a process at once; return its path.

        The caller holds the lock.
        """
        path = self._folder / f'{name}.conf'
        written = path.with_suffix('.new')
        written.write_text(self._settings_text(settings))
        written.replace(path)
        return path

    def _settings_text(self, settings: dict[str, str]) -> str:
        lines = {**settings, 'Seeds': ','.join(self._seeds)}
        return ''.join(f'{key}={value}\n' for key, value in lines.items())


def make_workers(
    count: int, capacity: messages.Resources, run_ms: int
) -> list[_fake_job_workers.FakeWorker]:
    """Return fake workers that differ only in their ids."""
    return [
        _fake_job_workers.FakeWorker(f'i-{number}', capacity, run_ms)
        for number in range(count)
    ]
