"""Stand-ins for a small deployment: the platform, workers and clients.

The programs of the deploy file run as separate processes on loopback
addresses. Workers, clients and the operator follow PROTOCOL.md and use the
Python standard library only.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HOST = 'nony24.example'
KEY = '6x73d3zji9n73hh2b9wu'
SEEDS_COUNT = 3
HEARTBEAT_S = 1.5
STOP_TIMEOUT_MS = 200
HOLD_MAX_MS = 6_000
GANG_TIMEOUT_MS = 3_000
RUN_LIMIT_S = 118
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, 'a', encoding='utf-8')
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.began_s

    def write(self, who, what, **fields):
        """Write one event and return its time in seconds."""
        at_s = self.now_s()
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._lock:
            self._file.write(f'{at_s:8.3f} {who} {what} {text}\n')
            self._file.flush()
        return at_s


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def do_POST(self):
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'{}')
        reply = self.server.serve(self.path, body, self.headers)
        if reply is None:
            self.close_connection = True
            return
        status, fields = reply
        data = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_):
        pass


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 64

    def __init__(self, address, serve):
        self.serve = serve
        self._open = set()
        super().__init__(address, _Handler)

    def get_request(self):
        connection, peer = super().get_request()
        self._open.add(connection)
        return connection, peer

    def handle_error(self, *_):
        pass

    def cut(self):
        """Stop listening and break all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _Run:
    def __init__(self, task, run, spec, checkpoint, seconds, how, now_ms):
        self.task = task
        self.run = run
        self.spec = spec
        self.checkpoint = checkpoint
        self.seconds = seconds
        self.how = how
        self.began_ms = now_ms


class Worker:
    """One worker that doesn't guard its capacity.

    ``work`` is called with the task, the run and the spec of each start. It
    returns for how many seconds the run works and how it ends; None for the
    seconds means until it is stopped.
    """

    def __init__(
        self, cell, name, work, cpu=16_000, mem_mb=32_768,
        labels=('a', 'r1-1'), distance_ms=0,
    ):
        self.id = name
        self.cell = cell
        self.record = cell.record
        self.work = work
        self.capacity = {'Cpu': cpu, 'MemMb': mem_mb, 'Gpu': 0}
        self.labels = list(labels)
        # Delay of all messages in each direction.
        self._distance_s = distance_ms / 1000
        # Whether the worker is cut off: nothing reaches or leaves it.
        self.is_cut = False
        self.starts = []
        self.lives_count = 0
        self.is_up = False
        self._changed = threading.Condition()
        self._server = None
        self._closing = threading.Event()
        self._address = ('127.0.0.1', free_port('127.0.0.1'))

    @property
    def address(self):
        return '{}:{}'.format(*self._address)

    def start(self):
        """Begin a life: nothing runs, and no fence number was seen."""
        with self._changed:
            self._born_ms = int(time.time() * 1000)
            self._born_s = time.monotonic()
            self._token = 0
            self._lease_ms = 0
            self._seq = 0
            self._runs = {}
            self._highest = {}
            self._ends = []
            self._last_end = 0
            self.lives_count += 1
            self.is_up = True
        self._server = _Server(self._address, self._serve)
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()
        threading.Thread(
            target=self._live, args=(self.lives_count,), daemon=True
        ).start()
        threading.Thread(
            target=self._check_in, args=(self.lives_count,), daemon=True
        ).start()
        self.record.write(self.id, 'up', born=self._born_ms)

    def crash(self):
        """Lose everything; the address refuses connections until start()."""
        with self._changed:
            self.is_up = False
            running = [f'{one.task}#{one.run}' for one in self._runs.values()]
            self._changed.notify_all()
        self.record.write(self.id, 'crashes', running=','.join(running) or '-')
        self._server.cut()

    def cut(self):
        """Cut the worker off; what runs on it goes on."""
        running = [f'{task}#{run}' for task, run in self.running().items()]
        self.record.write(
            self.id, 'is cut off', running=','.join(running) or '-'
        )
        with self._changed:
            self.is_cut = True
            self._changed.notify_all()

    def join(self):
        """End the cut."""
        self.record.write(self.id, 'is joined again')
        with self._changed:
            self.is_cut = False
            self._changed.notify_all()

    def close(self):
        self._closing.set()
        if self.is_up:
            with self._changed:
                self.is_up = False
                self._changed.notify_all()
            self._server.cut()

    def running(self):
        """Return the run of each task that is at work here."""
        with self._changed:
            if not self.is_up:
                return {}
            return {one.task: one.run for one in self._runs.values()}

    def _clock_ms(self):
        return int((time.monotonic() - self._born_s) * 1000) + 1_000

    def _is_life(self, life):
        return self.is_up and self.lives_count == life

    def _live(self, life):
        while self._is_life(life) and not self._closing.is_set():
            with self._changed:
                if not self._is_life(life):
                    return
                now_ms = self._clock_ms()
                for one in list(self._runs.values()):
                    if now_ms > self._lease_ms:
                        self._end(one, 'lapsed')
                    elif (
                        one.seconds is not None
                        and now_ms - one.began_ms >= one.seconds * 1000
                    ):
                        self._end(one, one.how)
            time.sleep(0.01)

    def _end(self, one, how):
        del self._runs[one.task]
        self._last_end += 1
        self._ends.append([self._last_end, one.task, one.run, how, ''])
        self.record.write(self.id, 'ended', task=one.task, run=one.run, how=how)
        self._changed.notify_all()

    def _check_in(self, life):
        while self._is_life(life) and not self._closing.is_set():
            if self.is_cut:
                self._closing.wait(0.1)
                continue
            time.sleep(self._distance_s)
            self._seq += 1
            fields = {
                'Service': 'huvo11a',
                'Address': self.address,
                'Zone': 'sattahip',
                'Version': 'v1',
                'Slots': 8,
                'State': 'ready',
                'ColdRemainingMs': 0,
                'Capacity': self.capacity,
                'Labels': self.labels,
                'TimeMs': self._clock_ms(),
                'Seq': self._seq,
                'born': self._born_ms,
            }
            for address in random.sample(
                self.cell.control, len(self.cell.control)
            ):
                status, _ = call(
                    address, 'PUT', f'/instances/{self.id}', fields, {}, 1.0
                )
                if status is not None and 200 <= status < 300:
                    break
            self._closing.wait(HEARTBEAT_S)

    def _serve(self, path, body, headers):
        expected = headers.get('X-Expect-Instance')
        life = self.lives_count
        time.sleep(self._distance_s)
        reply = self._answer(life, path, body, expected)
        time.sleep(self._distance_s)
        with self._changed:
            if self.is_cut:
                # What was held up is lost, as its sender gives up before.
                self._changed.wait_for(
                    lambda: not self.is_cut or not self._is_life(life)
                )
                return None
        return reply

    def _answer(self, life, path, body, expected):
        with self._changed:
            if self.is_cut or not self._is_life(life):
                return None
            if expected is not None and expected != self.id:
                return 421, {'TimeMs': self._clock_ms()}
            token = body.get('FencingToken', 0)
            if token < self._token:
                return self._refuse('fence')
            self._token = token
            if path == '/run-start':
                return self._start_run(body)
            if path == '/run-stop':
                return self._stop_run(body)
            if path == '/hold':
                return self._hold(body)
        return 404, {}

    def _refuse(self, reason):
        return 409, {'TimeMs': self._clock_ms(), 'Reason': reason}

    def _extend(self, deadline_ms):
        limit_ms = self._clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, limit_ms))

    def _start_run(self, body):
        task, run = body['Task'], body['Run']
        now_ms = self._clock_ms()
        if body['DeadlineMs'] <= now_ms:
            return self._refuse('late')
        self._extend(body['DeadlineMs'])
        current = self._runs.get(task)
        if current is not None and current.run == run:
            return 200, {'TimeMs': now_ms}
        if run <= self._highest.get(task, 0):
            return self._refuse('old')
        self._highest[task] = run
        seconds, how = self.work(task, run, body['Spec'])
        self._runs[task] = _Run(
            task, run, body['Spec'], body.get('Checkpoint', ''), seconds, how,
            now_ms,
        )
        at_s = self.record.write(
            self.id, 'started', task=task, run=run, token=body['FencingToken']
        )
        self.starts.append((at_s, task, run))
        self._changed.notify_all()
        return 200, {'TimeMs': now_ms}

    def _stop_run(self, body):
        task, run = body['Task'], body['Run']
        current = self._runs.get(task)
        if current is not None and current.run <= run:
            self._end(current, 'stopped')
        self._highest[task] = max(run, self._highest.get(task, 0))
        self.record.write(self.id, 'stop order', task=task, run=run)
        return 200, {'TimeMs': self._clock_ms()}

    def _hold(self, body):
        life = self.lives_count
        acked = body.get('AckedThrough', 0)
        self._ends = [one for one in self._ends if one[0] > acked]
        if body.get('DeadlineMs') is not None:
            self._extend(body['DeadlineMs'])
        until_s = time.monotonic() + body.get('WaitMs', 0) / 1000
        while not self._ends and self._is_life(life) and not self.is_cut:
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            self._changed.wait(left_s)
        if not self._is_life(life) or self.is_cut:
            return None
        now_ms = self._clock_ms()
        running = []
        for one in self._runs.values():
            percent = 100
            if one.seconds is not None:
                percent = int((now_ms - one.began_ms) / one.seconds / 10)
            running.append([one.task, one.run, '', min(100, percent), 0])
        return 200, {
            'TimeMs': now_ms,
            'Running': running,
            'Ended': self._ends[:500],
            'born': self._born_ms,
        }


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def call(address, method, path, fields, headers, timeout_s):
    """Return the status and the decoded body; None without a response."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    body = None if fields is None else json.dumps(fields)
    try:
        connection.request(
            method, path, body, {'Content-Type': 'application/json', **headers}
        )
        response = connection.getresponse()
        data = response.read()
        try:
            return response.status, json.loads(data or b'{}')
        except ValueError:
            return response.status, {}
    except (OSError, http.client.HTTPException):
        return None, {}
    finally:
        connection.close()


def route(name='r1', **overrides):
    """Return a queue of the config."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Type': 'non_idempotent',
        'TimeoutMs': 3_000,
        'TargetLatencyMs': 1_200,
        'Priority': 1,
        'Service': 'huvo11a',
        'MaxAttempts': 4,
        'Stretch': 2.2,
        'Public': False,
        **overrides,
    }


def config(version, routes=None, tenants=None):
    """Return a config with one service."""
    return {
        'Version': version,
        'Routes': routes or [route()],
        'Services': [
            {
                'Name': 'huvo11a',
                'HealthPath': '/health',
                'MaxConns': 64,
                'Protocol': 'h1',
                'Tls': False,
                'EnforcesCapacity': False,
                'Standby': False,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16_384,
            'MaxBodyBytes': 262_144,
            'HeaderTimeoutMs': 3_000,
            'IdleTimeoutMs': 15_000,
        },
        'Tenants': tenants
        or [
            {
                'Name': 'kaje80',
                'ApiKeys': [KEY],
                'Priority': 1,
                'Weight': 14,
                'Cap': {'Cpu': 0, 'MemMb': 0, 'Gpu': 0},
            }
        ],
    }


class Cell:
    """Three controllers and some gateways, as the deploy file starts them."""

    def __init__(self, record_path, gateways_count=2, controllers_count=3):
        self.record = Record(record_path)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='cell-'))
        self.workers = []
        self._processes = {}
        self._programs = {}
        net = random.randrange(16, 240)
        core = [f'127.{net}.0.{n + 2}' for n in range(controllers_count)]
        front = [f'127.{net}.1.{n + 2}' for n in range(gateways_count)]
        control_port, stream_port = free_port(core[0]), free_port(core[0])
        self.control = [f'{ip}:{control_port}' for ip in core]
        front_port, ready_port = free_port(front[0]), free_port(front[0])
        self.front = [f'{ip}:{front_port}' for ip in front]
        self.ready = [f'{ip}:{ready_port}' for ip in front]
        self._spare_ip = f'127.{net}.0.{controllers_count + 2}'
        self._shared = shared = self._shared_settings(
            controllers_count, stream_port
        )
        for number in range(controllers_count):
            self._add_controller(number, core[number])
        for number, ip in enumerate(front):
            self._programs[f'front-{number}'] = self._program(
                f'front-{number}',
                'gateway',
                {
                    **shared,
                    'Role': 'gateway',
                    'MachineClass': 'front',
                    'Serves': 'front',
                    'Ip': ip,
                    'Listen.Front': self.front[number],
                    'Listen.Ready': self.ready[number],
                    'LossCounts': 'false',
                },
            )

    def _shared_settings(self, controllers_count, stream_port):
        return {
            'Zone': 'sattahip',
            'Region': 'gulf',
            'Zones.sattahip': 'gulf',
            'PortRange': f'{stream_port},{stream_port}',
            'Seeds': ','.join(self.control[:SEEDS_COUNT]),
            'Bootstrap': 'true',
            'Limits.MemoryMb': 300,
            'Limits.MaxFds': 4_100,
            'Discovery': 'registry',
            'Entry': 'vip',
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'FaultTolerance.Machines': (controllers_count - 1) // 2,
            'FaultTolerance.Zones': 0,
            'FaultTolerance.Regions': 0,
            'Bounds.SeedLagS': 3,
            'Bounds.ContactMs': 4_000,
            'Bounds.AckMs': 5_000,
            'Bounds.CatchUpS': 4,
            'Bounds.DrainMs': 2_500,
            'Bounds.GraceS': 6,
            'Bounds.ConfigApplyMs': 2_500,
            'Bounds.RecoveryS': 12,
            'Bounds.HoldMaxMs': HOLD_MAX_MS,
            'Bounds.StopTimeoutMs': STOP_TIMEOUT_MS,
            'Bounds.GangTimeoutMs': GANG_TIMEOUT_MS,
            'Bounds.cancel_ms': 3_000,
            'Bounds.visible_ms': 3_000,
            'Bounds.early_ms': 250,
            'Bounds.finish_s': 14,
            'Bounds.status_s': 120,
            'config_mode': 'highest',
            'CommandMode': 'call',
            'PlacementAdvisor': '127.0.0.1:9',
        }

    def _add_controller(self, number, ip, **overrides):
        self._programs[f'core-{number}'] = self._program(
            f'core-{number}',
            'controller',
            {
                **self._shared,
                'Role': 'controller',
                'MachineClass': 'core',
                'Serves': 'control',
                'Ip': ip,
                'Listen.Control': self.control[number],
                'DataDir': self.folder / f'disk-{number}',
                'LossCounts': 'true',
                **overrides,
            },
        )

    def replace_core(self):
        """Start an empty controller at another address; return its number."""
        number = len(self.control)
        port = self.control[0].rpartition(':')[2]
        self.control.append(f'{self._spare_ip}:{port}')
        self._add_controller(number, self._spare_ip, Bootstrap='false')
        self.launch(f'core-{number}')
        return number

    def wipe(self, names):
        """Kill controllers at once; their disks are empty afterwards."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self._processes[name].wait()
            folder = self.folder / name.replace('core', 'disk')
            shutil.rmtree(folder)
            folder.mkdir()
            path = self._programs[name][1]
            path.write_text(
                path.read_text().replace('Bootstrap=true', 'Bootstrap=false')
            )
            self.record.write(name, 'disk lost')

    def launch_all(self, spread_s=0.0):
        """Start all processes of the first start, the seeds first.

        The others follow ``spread_s`` later.
        """
        names = list(self._programs)
        for name in names[:SEEDS_COUNT]:
            self.launch(name)
        time.sleep(spread_s)
        for name in names[SEEDS_COUNT:]:
            self.launch(name)

    def _program(self, name, role, settings):
        data_folder = settings.get('DataDir')
        if data_folder is not None:
            data_folder.mkdir()
        path = self.folder / f'{name}.conf'
        path.write_text(
            '\n'.join(
                f'{key}={value}'
                for key, value in {'Node': name, **settings}.items()
            )
        )
        return role, path

    def launch(self, name):
        """Start a process as the platform does."""
        role, path = self._programs[name]
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['DANDELIONDRUM_SETTINGS'] = str(path)
        with open(self.folder / f'{name}.log', 'ab') as log:
            self._processes[name] = subprocess.Popen(
                ['python3', '-m', 'dandeliondrum.platform', role],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(name, 'started', pid=self._processes[name].pid)

    def signal(self, name, number):
        """Send a signal to a process that this cell started."""
        self._processes[name].send_signal(number)
        self.record.write(name, 'signal', number=signal.Signals(number).name)

    def start(self, document=None):
        """Start all processes and workers, and send the first config."""
        self.launch_all()
        for worker in self.workers:
            worker.start()
        document = document or config(1)
        self._wait('the first config is acknowledged', 40, lambda: (
            self.put_config(document, random.randrange(len(self.control)))
            == 200
        ))
        self._wait('all fronts are ready', 20, lambda: all(
            call(address, 'GET', '/ready', None, {}, 1.0)[0] == 200
            for address in self.ready
        ))

    def _wait(self, what, limit_s, is_so):
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if is_so():
                self.record.write('platform', what)
                return
            time.sleep(0.2)
        raise NotRun(f'not reached: {what}')

    def put_config(self, document, number=0):
        status, _ = call(
            self.control[number], 'PUT', '/config', document, {}, 3.0
        )
        self.record.write(
            'operator', 'PUT config', version=document['Version'],
            node=f'core-{number}', answer=status,
        )
        return status

    def ask(
        self, number, method, job_id, body=None, queue='r1', key=KEY,
        deadline_ms=3_000, patience_s=None, who='client',
    ):
        """Send a client's request to a front; return status and body."""
        headers = {'Host': HOST, 'X-Deadline-Ms': str(deadline_ms)}
        if key:
            headers['Authorization'] = f'Token {key}'
        self.record.write(
            who, f'{method} sent', id=job_id, node=f'front-{number}'
        )
        status, fields = call(
            self.front[number], method, f'/{queue}/{job_id}', body, headers,
            patience_s or deadline_ms / 1000,
        )
        self.record.write(
            who, f'{method} answered', id=job_id, node=f'front-{number}',
            status=status, body=json.dumps(fields),
        )
        return status, fields

    def close(self):
        """End all processes that this cell started; twice does no harm."""
        if not self.folder.exists():
            return
        for worker in self.workers:
            worker.close()
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class NotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


def job_id():
    return f'{random.getrandbits(64):016x}'


def run_case(case):
    """Run a case and exit with its result.

    ``case`` is called with the folder's record path and whether to disrupt,
    and returns None if the rule held, or how it was broken.
    """
    record_path = pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt'
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    record_path.unlink(missing_ok=True)

    def give_up(*_):
        raise NotRun('out of time')

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(RUN_LIMIT_S - 8)
    cells = []

    def make_cell(**options):
        cells.append(Cell(record_path, **options))
        return cells[-1]

    try:
        broken = case(make_cell, with_trouble)
        code = EXIT_BROKEN if broken else EXIT_HELD
        text = broken or 'the rule held'
    except NotRun as error:
        code, text = EXIT_NOT_RUN, f'not run: {error}'
    except Exception as error:
        code, text = EXIT_NOT_RUN, f'not run: {error!r}'
    finally:
        signal.alarm(0)
        for cell in cells:
            cell.close()
    if cells:
        cells[-1].record.write('case', 'result', exit=code, text=text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
