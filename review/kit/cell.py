"""A small deployment on loopback: the project's programs and stand-ins.

The gateways and controllers are separate processes, started with the commands
of deploy/system.toml. Workers and callers are stand-ins in this process, which
follow PROTOCOL.md. Only the standard library is used.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'nony24.example'
KEY = '6x73d3zji9n73hh2b9wu'
SERVICE = 'huvo11a'
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 6_000
# Bounds of the site rmob-lens.
BOUNDS = {
    'SeedLagS': 3, 'ReuseAfterS': 2, 'ContactMs': 4000, 'AckMs': 5000,
    'CatchUpS': 4, 'DrainMs': 2500, 'GraceS': 6, 'LossSlackMs': 200,
    'ConfigApplyMs': 2500, 'RollbackSlackMs': 250, 'MaxStretchMs': 6000,
    'StrictRevoke': 'false', 'RevokeMs': 5000, 'QuotaWindowS': 5,
    'QuotaOverrun': 0.1, 'QuotaSlack': 20, 'RecoveryS': 12,
    'HoldMaxMs': HOLD_MAX_MS, 'StopTimeoutMs': 900, 'GangTimeoutMs': 3000,
    'cancel_ms': 3000, 'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14,
    'status_s': 120, 'RemoteFactor': 2, 'CheckpointIntervalS': 2,
    'RestoreMs': 250, 'NoticeMs': 5500, 'MigrateS': 1.5, 'MaintenanceS': 2,
    'RequireFencing': 'true', 'LeaseMs': 3000, 'ThawSlackMs': 300,
    'PaceMs': 100, 'HarmMs': 4000,
}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happened to record.txt, with the time in seconds."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def write(self, text):
        with self._lock:
            self._file.write(f'{self.now():8.3f}  {text}\n')
            self._file.flush()


def http_call(address, method, path, body=None, headers=None, timeout_s=4.0):
    """Make one call; return (status, body), status 0 without an answer."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method, path, data,
            {'Content-Type': 'application/json', **(headers or {})},
        )
        reply = connection.getresponse()
        raw = reply.read()
        try:
            return reply.status, json.loads(raw or b'{}')
        except ValueError:
            return reply.status, {}
    except (OSError, http.client.HTTPException):
        return 0, {}
    finally:
        connection.close()


def free_port(ips):
    """Return a port below the ephemeral range that is free on all addresses."""
    for _ in range(200):
        port = random.SystemRandom().randrange(15_000, 32_000)
        try:
            sockets = [socket.create_server((ip, port)) for ip in ips]
        except OSError:
            continue
        for one in sockets:
            one.close()
        return port
    raise CannotRun('no free port')


def route(name, **fields):
    return {
        'Name': name, 'Host': HOST, 'PathPrefix': f'/{name}/',
        'Type': 'non_idempotent', 'TimeoutMs': 3000, 'TargetLatencyMs': 1200,
        'Priority': 1, 'Service': SERVICE, 'MaxAttempts': 4, 'Stretch': 2.2,
        'Public': False, **fields,
    }


def config(version, routes, services=(SERVICE,)):
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/health', 'MaxConns': 64,
             'Protocol': 'h1', 'Tls': False, 'EnforcesCapacity': False,
             'Standby': False}
            for name in services
        ],
        'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144,
                   'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
        'Tenants': [{'Name': 'kaje80', 'ApiKeys': [KEY], 'Priority': 1,
                     'Weight': 14, 'Cap': {'Cpu': 0, 'MemMb': 0, 'Gpu': 0}}],
    }


class Cell:
    """Controllers and gateways of a small deployment."""

    def __init__(self, record, controllers_count=3, gateways_count=2):
        self.record = record
        block = random.SystemRandom().randrange(10, 250)
        other = random.SystemRandom().randrange(1, 250)
        self._net = f'127.{block}.{other}.'
        self._control_ips = [f'{self._net}{10 + n}' for n in range(controllers_count)]
        self._front_ips = [f'{self._net}{100 + n}' for n in range(gateways_count)]
        ips = self._control_ips + self._front_ips
        self._control_port = free_port(ips)
        self._front_port = free_port(ips)
        self._ready_port = free_port(ips)
        self._stream_port = free_port(ips)
        self.control = [f'{ip}:{self._control_port}' for ip in self._control_ips]
        self.fronts = [f'{ip}:{self._front_port}' for ip in self._front_ips]
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._temporary.name)
        self._processes = {}

    def worker_ip(self, number):
        return f'{self._net}{150 + number}'

    def start(self):
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as source:
            roles = tomllib.load(source)['roles']
        self._controller_command = roles['controller']['run']
        for ip in self._control_ips:
            data = self.folder / f'data-{ip}'
            data.mkdir()
            self._launch(ip, roles['controller']['run'], 'core', {
                'Listen.Control': f'{ip}:{self._control_port}',
                'DataDir': str(data),
                'Bootstrap': 'true',
            })
        for ip in self._front_ips:
            self._launch(ip, roles['gateway']['run'], 'front', {
                'Listen.Front': f'{ip}:{self._front_port}',
                'Listen.Ready': f'{ip}:{self._ready_port}',
                'Bootstrap': 'true',
            })

    def _launch(self, ip, command, machine_class, fields):
        serves = 'control' if machine_class == 'core' else 'front'
        settings = {
            'Node': f'{machine_class}-{ip}', 'Role': serves,
            'MachineClass': machine_class, 'Serves': serves, 'Ip': ip,
            'Zone': 'sattahip', 'Region': 'gulf', 'Zones.sattahip': 'gulf',
            'PortRange': f'{self._stream_port},{self._stream_port}',
            'Seeds': ','.join(self.control[:3]),
            'LossCounts': str(machine_class == 'core').lower(),
            'Limits.MemoryMb': 300, 'Limits.MaxFds': 4100,
            'Discovery': 'registry', 'Entry': 'vip',
            'HeartbeatMs': HEARTBEAT_MS,
            'Contracts': 'base,drain,config,cost,recover,sched,tenants,quota,'
                         'advice,upkeep,sharing',
            'FaultTolerance.Machines': (len(self._control_ips) - 1) // 2,
            'FaultTolerance.Zones': 0, 'FaultTolerance.Regions': 0,
            **{f'Bounds.{name}': value for name, value in BOUNDS.items()},
            'config_mode': 'highest', 'CommandMode': 'call',
            'PlacementAdvisor': '',
            **fields,
        }
        path = self.folder / f'{ip}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in settings.items()))
        environment = {
            **{k: v for k, v in os.environ.items() if k in ('PATH', 'HOME', 'LANG')},
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'DANDELIONDRUM_SETTINGS': str(path),
        }
        words = shlex.split(command)
        with open(self.folder / f'{ip}.log', 'ab') as log:
            self._processes[ip] = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
            )

    def signal_controller(self, number, what):
        ip = self._control_ips[number]
        self._processes[ip].send_signal(what)
        self.record.write(f'signal {signal.Signals(what).name} to controller {number}')

    def restart_controller(self, number):
        """Start a controller that was killed again, with its disk."""
        ip = self._control_ips[number]
        self._processes[ip].wait()
        self._launch(ip, self._controller_command, 'core', {
            'Listen.Control': f'{ip}:{self._control_port}',
            'DataDir': str(self.folder / f'data-{ip}'),
            'Bootstrap': 'false',
        })

    def leader(self):
        """Return the number of the controller that logged that it leads last."""
        newest, found = '', 0
        for number, ip in enumerate(self._control_ips):
            for line in (self.folder / f'{ip}.log').read_text(errors='replace').splitlines():
                try:
                    fields = json.loads(line)
                except ValueError:
                    continue
                if fields.get('event') == 'leading' and 'member' not in fields:
                    stamp = str(fields.get('timestamp') or fields.get('time') or '')
                    if stamp >= newest:
                        newest, found = stamp, number
        return found

    def log_lines(self, words):
        """Return lines of the controllers' logs that hold one of the words."""
        found = []
        for ip in self._control_ips:
            for line in (self.folder / f'{ip}.log').read_text(errors='replace').splitlines():
                if any(word in line for word in words):
                    found.append(line[:400])
        return found

    def put_config(self, body, within_s=25.0):
        """Send a config until a controller acknowledges it."""
        end = time.monotonic() + within_s
        number = 0
        while time.monotonic() < end:
            address = self.control[number % len(self.control)]
            status, _ = http_call(address, 'PUT', '/config', body)
            if status == 200:
                self.record.write(f'config {body["Version"]} acknowledged')
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f'config refused with {status}')
            number += 1
            time.sleep(0.3)
        raise CannotRun('config not acknowledged')

    def ask(self, method, path, body=None, front=0, timeout_s=4.0):
        return http_call(
            self.fronts[front], method, path, body,
            {'Host': HOST, 'Authorization': f'Token {KEY}',
             'X-Deadline-Ms': '3000'},
            timeout_s,
        )

    def submit(self, queue, body, front=0, job_id=None):
        """Submit as a client does, with the same ID until a clear answer."""
        job_id = job_id or os.urandom(8).hex()
        for attempt in range(8):
            status, reply = self.ask('POST', f'/{queue}/{job_id}', body,
                                     (front + attempt) % len(self.fronts))
            self.record.write(f'client: POST {queue} {job_id} -> {status}')
            if 200 <= status < 300:
                return job_id
            time.sleep(0.3)
        raise CannotRun('submission not accepted')

    def state(self, queue, job_id, front=0):
        status, reply = self.ask('GET', f'/{queue}/{job_id}', None, front)
        return status, reply.get('State', '')

    def close(self):
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        end = time.monotonic() + 3
        for process in self._processes.values():
            try:
                process.wait(max(0.05, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if os.environ.get('KEEP_LOGS'):
            import shutil
            shutil.copytree(self.folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True)
        self._temporary.cleanup()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_POST(self):
        data = self.rfile.read(int(self.headers.get('Content-Length') or 0))
        answer = self.server.worker.serve(
            self.path, json.loads(data or b'{}'),
            self.headers.get('X-Expect-Instance'), self.server,
        )
        if answer is None:
            self.close_connection = True
            return
        status, body = answer
        raw = json.dumps(body).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address, worker):
        self.worker = worker
        self.connections = set()
        super().__init__(address, _Handler)

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, *_):
        pass


class Worker:
    """A worker that follows PROTOCOL.md, without checkpoints and gangs.

    ``crash`` ends all it runs and closes its connections. While ``dark``,
    nothing is answered. ``restart`` begins a new incarnation.
    """

    def __init__(self, cell, number, kind, cpu=16000, mem_mb=32768, prefix='i'):
        self._cell, self._number = cell, number
        self._record = cell.record
        self._prefix = prefix
        self._lives = 0
        self.kind = kind
        self.service = SERVICE
        self.capacity = {'Cpu': cpu, 'MemMb': mem_mb, 'Gpu': 0}
        ip = cell.worker_ip(number)
        self.address = f'{ip}:{free_port([ip])}'
        self.changed = threading.Condition()
        self.up = False
        self.dark = False
        self.sheds = False
        # How far the time of day of the worker's machine has been stepped.
        self.time_of_day_step_ms = 0
        self.started = []
        self.ended = []
        self._listener = None
        self._closing = threading.Event()
        self.id = ''

    def begin(self, same_id=False, report_first=False):
        """Begin an incarnation, which checks in and then listens."""
        with self.changed:
            self._lives += 1
            if not same_id or not self.id:
                self.id = f'{self._prefix}-{self._number:02d}{os.urandom(3).hex()}'
            self.born = time.time_ns() // 1_000_000 + self.time_of_day_step_ms
            self._zero = time.monotonic()
            self._token = 0
            self._deadline_ms = 0
            self._runs = {}
            self._highest = {}
            self._ends = []
            self._last_end = 0
            self._seq = 0
            self.acknowledged_count = 0
            self.state = 'ready'
            self.up, self.dark = True, False
        self._record.write(f'worker {self.id}: begins, kind {self.kind}, born {self.born}')
        if report_first:
            while not self.check_in():
                time.sleep(0.05)
        host, _, port = self.address.rpartition(':')
        for _ in range(100):
            try:
                self._listener = _Listener((host, int(port)), self)
                break
            except OSError:
                time.sleep(0.02)
        threading.Thread(target=self._listener.serve_forever,
                         kwargs={'poll_interval': 0.02}, daemon=True).start()
        life = self._lives
        threading.Thread(target=self._beat, args=(life, report_first), daemon=True).start()

    def drain(self):
        """Report that the worker drains; return once it is acknowledged."""
        self.state = 'draining'
        while not self.check_in():
            time.sleep(0.1)
        self._record.write(f'worker {self.id}: draining, acknowledged')

    def sign_off(self, first):
        """Send DELETE to one node after the other, beginning with first."""
        count = len(self._cell.control)
        for step in range(count):
            number = (first + step) % count
            status, _ = http_call(
                self._cell.control[number], 'DELETE', f'/instances/{self.id}',
                timeout_s=1.0,
            )
            self._record.write(
                f'worker {self.id}: DELETE at controller {number} -> '
                f'{status or "no answer within 1 s"}')
            if 200 <= status < 300:
                return True
        return False

    def crash(self):
        """Lose all state and accept nothing until the next incarnation."""
        with self.changed:
            self.up = False
            for (task, run) in self._list_runs():
                self._record.write(f'worker {self.id}: {task} run {run} ends with the crash')
            self._runs = {}
            self.changed.notify_all()
        self._record.write(f'worker {self.id}: crashes')
        listener = self._listener
        listener.socket.close()
        for one in list(listener.connections):
            try:
                one.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        threading.Thread(target=listener.shutdown, daemon=True).start()

    def go_dark(self):
        """Crash without a sign: connections open, and nothing is answered."""
        with self.changed:
            self.dark = True
            self._runs = {}
            self.changed.notify_all()
        self._record.write(f'worker {self.id}: is lost, silent from now on')

    def fail(self, job):
        """Let the runs of a job end as failed, through their own fault."""
        with self.changed:
            for task in [task for task in self._runs if task.startswith(job)]:
                self._end(task, 'failed')
            self.changed.notify_all()

    def close(self):
        self._closing.set()
        if self.up and self._listener is not None:
            self.crash()

    def running(self):
        with self.changed:
            self._end_due()
            return self._list_runs()

    def _list_runs(self):
        return [(task, run['run']) for task, run in self._runs.items()]

    def report(self):
        with self.changed:
            self._seq += 1
            return {
                'Service': self.service, 'Address': self.address,
                'Zone': 'sattahip', 'Version': 'v1', 'Slots': 8,
                'State': self.state, 'ColdRemainingMs': 0,
                'Capacity': self.capacity,
                'Labels': [self.kind, f'r1-{self._number // 8}'],
                'TimeMs': self._clock(), 'Seq': self._seq, 'born': self.born,
            }

    def check_in(self):
        """Report to one node after the other until one acknowledges."""
        body = self.report()
        first = random.randrange(len(self._cell.control))
        for step in range(len(self._cell.control)):
            address = self._cell.control[(first + step) % len(self._cell.control)]
            status, _ = http_call(address, 'PUT', f'/instances/{self.id}', body, timeout_s=1.0)
            if 200 <= status < 300:
                self.acknowledged_count += 1
                if self._seq == 1:
                    self._record.write(
                        f'worker {self.id}: check-in with Labels {body["Labels"]} '
                        f'born {self.born} acknowledged')
                return True
        return False

    def _beat(self, life, reported):
        if reported:
            time.sleep(HEARTBEAT_MS / 1000)
        while self.up and not self.dark and life == self._lives and not self._closing.is_set():
            self.check_in()
            self._closing.wait(HEARTBEAT_MS / 1000)

    def _clock(self):
        return int((time.monotonic() - self._zero) * 1000)

    def _end(self, task, how):
        run = self._runs.pop(task)
        self._last_end += 1
        self._ends.append([self._last_end, task, run['run'], how, ''])
        self.ended.append((task, run['run'], how))
        self._record.write(f'worker {self.id}: {task} run {run["run"]} ends {how}')

    def _end_due(self):
        now = self._clock()
        for task, run in list(self._runs.items()):
            if now >= self._deadline_ms and self._deadline_ms < run['end']:
                self._end(task, 'lapsed')
            elif now >= run['end']:
                self._end(task, 'done')

    def _extend(self, deadline):
        if deadline:
            limited = min(deadline, self._clock() + HOLD_MAX_MS)
            self._deadline_ms = max(self._deadline_ms, limited)

    def serve(self, path, body, expected, listener):
        with self.changed:
            if self.dark:
                while self.dark and not self._closing.is_set():
                    self.changed.wait(0.2)
                return None
            if not self.up or listener is not self._listener:
                return None
            if expected is not None and expected != self.id:
                return 421, {}
            if body.get('FencingToken', 0) < self._token:
                return 409, {'TimeMs': self._clock(), 'Reason': 'fence'}
            if path == '/run-start' and self.sheds:
                self._record.write(f'worker {self.id}: 503 to start of {body["Task"]} run {body["Run"]}')
                return 503, {}
            self._token = body.get('FencingToken', 0)
            self._end_due()
            match path:
                case '/run-start':
                    return self._start(body)
                case '/run-stop':
                    return self._stop(body)
                case '/hold':
                    return self._hold(body)
        return 404, {}

    def _start(self, body):
        task, number = body['Task'], body['Run']
        current = self._runs.get(task)
        if current is not None and current['run'] == number:
            return 200, {'TimeMs': self._clock()}
        if number <= self._highest.get(task, 0) or current is not None:
            self._extend(body['DeadlineMs'])
            return 409, {'TimeMs': self._clock(), 'Reason': 'old'}
        if body['DeadlineMs'] <= self._clock():
            return 409, {'TimeMs': self._clock(), 'Reason': 'late'}
        self._extend(body['DeadlineMs'])
        work_ms = json.loads(body['Spec'])['work_ms']
        self._highest[task] = number
        self._runs[task] = {'run': number, 'begin': self._clock(),
                            'end': self._clock() + work_ms}
        self.started.append((task, number, self.kind, self.id))
        self._record.write(f'worker {self.id}: starts {task} run {number} (kind {self.kind})')
        self.changed.notify_all()
        return 200, {'TimeMs': self._clock()}

    def _stop(self, body):
        task, number = body['Task'], body['Run']
        current = self._runs.get(task)
        if current is not None and current['run'] <= number:
            self._end(task, 'stopped')
        self._highest[task] = max(number, self._highest.get(task, 0))
        self.changed.notify_all()
        return 200, {'TimeMs': self._clock()}

    def _hold(self, body):
        acked = body.get('AckedThrough', 0)
        self._ends = [end for end in self._ends if end[0] > acked]
        self._extend(body.get('DeadlineMs'))
        until = time.monotonic() + min(body.get('WaitMs', 0), 2000) / 1000
        life = self._lives
        while not self._ends:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.changed.wait(min(left, 0.05))
            if not self.up or self.dark or life != self._lives:
                return None
            self._end_due()
        now = self._clock()
        running = [
            [task, run['run'], '',
             min(100, 100 * (now - run['begin']) // max(1, run['end'] - run['begin'])), 0]
            for task, run in self._runs.items()
        ]
        return 200, {'TimeMs': now, 'Running': running, 'Ended': self._ends[:500],
                     'born': self.born}


def main(case, folder, worker_kinds, routes, settle_s=3.0):
    """Set a cell up, run the case and exit with 1, 0 or 2."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'disruption: {"yes" if trouble else "no"}')
    cell = Cell(record)
    workers = []
    code = 2
    try:
        cell.start()
        cell.put_config(config(1, routes))
        workers = [Worker(cell, n, kind) for n, kind in enumerate(worker_kinds)]
        for worker in workers:
            worker.begin()
        time.sleep(settle_s)
        problem = case(cell, workers, trouble)
        code = 1 if problem else 0
        record.write(f'result: {"BROKEN: " + problem if problem else "held"}')
        print(problem or 'held')
    except CannotRun as error:
        record.write(f'result: could not run: {error}')
        print(f'could not run: {error}')
    except Exception as error:  # a fault of the script, not of the system
        record.write(f'result: could not run: {error!r}')
        print(f'could not run: {error!r}')
    finally:
        for worker in workers:
            worker.close()
        cell.close()
    sys.stdout.flush()
    os._exit(code)
