"""Starts whole cells of real processes for the tests.

Every process gets its settings as a file, as an operator would give them.
Only processes that were started here are ever signalled.
"""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pycurl

from dandeliondrum import messages
from dandeliondrum import transport

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
CELL = 'test-cell'
READY_TIMEOUT_S = 30
STOP_TIMEOUT_S = 20

RULES = """
{"rule": "team", "team": "harbour", "share": 1}  // asked by S. Prasert
{"rule": "team", "team": "inspectors", "share": 3, "upper_limit": {"running": 2}}  // asked by S. Prasert
{"rule": "queue", "queue": "lens", "open": false, "class": "batch"}  // asked by S. Prasert
{"rule": "queue", "queue": "walk-in", "open": true, "class": "urgent", "team": "harbour"}  // asked by S. Prasert
"""  # noqa: E501


def free_port():
    """Return a port that was free a moment ago."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return server.getsockname()[1]


def wait_until(condition, timeout_s=READY_TIMEOUT_S):
    """Wait for a condition and return what it gave."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f'not within {timeout_s} s: {condition}')


class Cell:
    """Controllers, gateways and workers as processes on loopback.

    ``links`` may map (from, to) pairs of controllers to other addresses, for
    a proxy to stand between them.
    """

    def __init__(self, folder, resources, links=None, timing=None):
        self.folder = pathlib.Path(folder)
        self.processes = {}
        self.addresses = {}
        self.links = links or {}
        self.timing = timing or {}
        self._settings = {}
        self._kinds = {}
        resources.callback(self.stop_all)

    def controllers(self, count=3):
        names = [f'c{i}' for i in range(1, count + 1)]
        for name in names:
            self.addresses[name] = f'127.0.0.1:{free_port()}'
        for name in names:
            self.controller(name, names)
        self.form(names)

    def controller(self, name, names):
        metrics = f'127.0.0.1:{free_port()}'
        self.addresses[f'{name}/metrics'] = metrics
        self._start(
            'controller',
            name,
            {
                'controller_id': name,
                'cell_id': CELL,
                'region': 'gulf',
                'failure_domain': 'sattahip',
                'listen_address': self.addresses[name],
                'metrics_address': metrics,
                'data_folder': str(self.folder / name),
                'controllers': [
                    {
                        'controller_id': other,
                        'address': self.links.get(
                            (name, other), self.addresses[other]
                        ),
                    }
                    for other in names
                ],
                **self.timing,
            },
        )

    def form(self, names):
        hello = messages.Hello(
            messages.CellId(CELL),
            transport.PROTOCOL_VERSION,
            messages.PeerKind.GATEWAY,
            'operator',
        )
        call = messages.FormCell(
            tuple((name, self.addresses[name]) for name in names)
        )

        def formed():
            try:
                stream = transport.connect(
                    self.addresses[names[0]], hello, transport.Callbacks()
                )
            except OSError:
                return False
            with contextlib.closing(stream):
                reply = stream.call(call, 5_000).value_or(None)
            return isinstance(reply, messages.Done)

        wait_until(formed)

    def gateways(self, count=2, controllers=('c1', 'c2', 'c3')):
        for i in range(1, count + 1):
            self.gateway(f'g{i}', controllers)

    def gateway(self, name, controllers):
        fields = {
            'gateway_id': name,
            'cell_id': CELL,
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'controllers': [
                {
                    'controller_id': other,
                    'address': self.links.get(
                        (name, other), self.addresses[other]
                    ),
                }
                for other in controllers
            ],
        }
        for port in ('callers', 'workers', 'operators'):
            address = f'127.0.0.1:{free_port()}'
            self.addresses[f'{name}/{port}'] = address
            fields[f'{port}_address'] = address
        self._start('gateway', name, fields)

    def workers(self, count=3, gateways=('g1', 'g2'), **fields):
        for i in range(1, count + 1):
            self.worker(f'w{i}', gateways, **fields)

    def worker(self, name, gateways=('g1', 'g2'), **fields):
        settings = {
            'worker_id': name,
            'address': f'127.0.0.1:{free_port()}',
            'region': 'gulf',
            'failure_domain': 'sattahip',
            'rack': 'r1',
            'cpu_millicores': 16_000,
            'memory_mb': 32_768,
            'slots_count': 8,
            'connections_count': 64,
            'journal_path': str(self.folder / f'{name}.journal'),
            'gateways': [
                self.links.get(
                    (name, gateway), self.addresses[f'{gateway}/workers']
                )
                for gateway in gateways
            ],
            **fields,
        }
        self.addresses[name] = settings['address']
        self._start('worker', name, settings)

    def _start(self, kind, name, fields):
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(fields, indent=1))
        self._settings[name] = path
        self._kinds[name] = kind
        self.start(name)

    def start(self, name):
        """Start a process, or start it again after its end."""
        log = (self.folder / f'{name}.log').open('ab')
        with log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'dandeliondrum.command',
                    'run',
                    self._kinds[name],
                    '--settings',
                    str(self._settings[name]),
                ],
                cwd=REPOSITORY,
                stdout=log,
                stderr=log,
            )

    def kill(self, name):
        """End a process by SIGKILL."""
        process = self.processes[name]
        process.kill()
        process.wait()

    def freeze(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def stop(self, name):
        """Ask a process to stop and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def leader(self):
        """Return the controller that leads, once there is one."""

        def find():
            for name in self.processes:
                if self._kinds[name] != 'controller':
                    continue
                if self.processes[name].poll() is not None:
                    continue
                address = self.addresses[f'{name}/metrics']
                body = http(f'http://{address}/metrics', timeout_ms=1_000)[1]
                if b'dandeliondrum_controller_leading 1.0' in body:
                    return name
            return None

        return wait_until(find)

    def ready(self, gateways=('g1', 'g2'), workers_count=0):
        """Wait until gateways serve and workers are in the fleet."""
        for name in gateways:
            address = self.addresses[f'{name}/operators']
            wait_until(
                lambda at=address: http(f'http://{at}/readyz')[0] == 200
            )
        fleet = f'http://{self.addresses[gateways[0] + "/operators"]}/v1/fleet'

        def complete():
            status, body, _ = http(fleet)
            return (
                status == 200
                and len(json.loads(body)['workers']) >= workers_count
            )

        wait_until(complete)

    def apply_rules(self, text, expected=0, change='change-1', gateway='g1'):
        """Apply rules as an operator; return status and JSON."""
        address = self.addresses[f'{gateway}/operators']
        status, body, _ = http(
            f'http://{address}/v1/rules',
            'PUT',
            text.encode(),
            {
                'If-Match': str(expected),
                'Dandeliondrum-Change-Id': change,
                'Dandeliondrum-Operator': 'tester',
            },
        )
        return status, json.loads(body)

    def run_task(
        self, body, key='', gateway='g1', timeout_ms=20_000, **headers
    ):
        """Send one waiting call; return status, body and headers."""
        address = self.addresses[f'{gateway}/callers']
        fields = {
            'Team': 'harbour',
            'Queue': 'lens',
            'Class': 'batch',
            'Timeout-Ms': str(timeout_ms),
            'Cpu-Millicores': '1000',
            'Memory-Mb': '512',
            **{
                k.replace('_', '-').title(): str(v) for k, v in headers.items()
            },
        }
        sent = {f'Dandeliondrum-{name}': v for name, v in fields.items()}
        if key:
            sent['Authorization'] = f'Bearer {key}'
        return http(
            f'http://{address}/v1/tasks',
            'POST',
            json.dumps(body).encode(),
            sent,
            timeout_ms + 10_000,
        )

    def journal(self, name):
        """Return the events that a worker recorded."""
        path = self.folder / f'{name}.journal'
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.endswith('}')]


def http(url, method='GET', body=None, headers=None, timeout_ms=10_000):
    """Make one HTTP call; a call that fails has status 0."""
    curl = pycurl.Curl()
    received = bytearray()
    fields = {}

    def on_header(line):
        name, _, value = line.decode('latin-1').partition(':')
        fields[name.strip().lower()] = value.strip()

    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(
        pycurl.HTTPHEADER,
        [f'{name}: {value}' for name, value in (headers or {}).items()]
        + ['Expect:'],
    )
    curl.setopt(pycurl.WRITEFUNCTION, received.extend)
    curl.setopt(pycurl.HEADERFUNCTION, on_header)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.NOSIGNAL, 1)
    try:
        curl.perform()
        return curl.getinfo(pycurl.RESPONSE_CODE), bytes(received), fields
    except pycurl.error:
        return 0, bytes(received), fields
    finally:
        curl.close()
