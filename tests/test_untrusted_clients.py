"""Crowds of clients that nobody controls, at every port of real processes.

Run apart from other tests: see docs/DEVELOPING.md. Each test guards against a
process that ends, grows, runs out of descriptors or no longer answers when one
kind of crowd is at one of its ports.
"""

import contextlib
import itertools
import json
import struct

import pytest

from dandeliondrum import messages
from dandeliondrum import rules
from dandeliondrum import testing
from tests import conftest
from tests import crowds

pytestmark = pytest.mark.isolated

# Own addresses, so that the fixed metrics port is free beside other tests.
NETWORK = '127.71'
METRICS_PORT = 9_464
GATEWAY_MB = 160
CONTROLLER_MB = 200
PRODUCT_MB = 256
DESCRIPTORS_MAX = 420
HUGE_BYTES = 200 * crowds.MIB_BYTES
BODY_BYTES = 262_144
REPORT_BYTES = 4 * crowds.MIB_BYTES
PIECE = b'x' * crowds.PIECE_BYTES

JOB = 'POST /r1/00000000000000ff'
QUERY = 'GET /r1/00000000000000ff'
REPORT = 'PUT /instances/i-77'
FRONT_DOORS = [
    ('front', JOB),
    ('front', QUERY),
    ('front', 'POST /nowhere'),
    ('ready', 'GET /ready'),
    ('ready', 'POST /ready'),
]
CONTROL_DOORS = [
    ('control', 'PUT /config'),
    ('control', REPORT),
    ('control', 'POST /nowhere'),
]
METRICS_DOORS = [
    ('front metrics', 'GET /metrics'),
    ('control metrics', 'POST /nowhere'),
]
DOORS = [*FRONT_DOORS, *CONTROL_DOORS, *METRICS_DOORS]
PORTS = [
    ('front', QUERY),
    ('ready', 'GET /ready'),
    ('control', 'GET /config'),
    ('front metrics', 'GET /metrics'),
]


def head(request, *fields):
    """Return a request head with the key and host of a caller."""
    known = [f'{name}: {value}' for name, value in testing.HEADERS.items()]
    lines = [f'{request} HTTP/1.1', *known, *fields]
    return '\r\n'.join([*lines, '', '']).encode()


def huge_body(request):
    """Send a body of known length, far over all limits, on and on."""
    yield head(request, f'Content-Length: {HUGE_BYTES}')
    yield from itertools.repeat(PIECE, HUGE_BYTES // len(PIECE))


def huge_chunk(request):
    """Send one chunk, far over all limits, on and on."""
    yield head(request, 'Transfer-Encoding: chunked') + b'%x\r\n' % HUGE_BYTES
    yield from itertools.repeat(PIECE, HUGE_BYTES // len(PIECE))


def endless_chunks(request):
    """Send chunks of a legal size without an end."""
    yield head(request, 'Transfer-Encoding: chunked')
    yield from itertools.repeat(b'%x\r\n%b\r\n' % (len(PIECE), PIECE), 1_000)


def almost_whole(request, length_bytes, piece_bytes):
    """Send a body of a legal size but for its last byte."""
    yield head(request, f'Content-Length: {length_bytes}')
    missing = length_bytes - 1
    while missing:
        piece = min(missing, piece_bytes)
        yield b'x' * piece
        missing -= piece


def almost_whole_chunked(request, length_bytes):
    """Send a body of a legal size in chunks of 1 KiB, but for its end."""
    yield head(request, 'Transfer-Encoding: chunked')
    for _ in range(length_bytes // 1_024):
        yield b'400\r\n%b\r\n' % (b'x' * 1_024)


def whole_bodies(request, body, count=4):
    """Send requests with a body on one connection."""
    for _ in range(count):
        yield head(request, f'Content-Length: {len(body)}') + body


def slow_head(request):
    """Send a request head, a byte every 0.2 s."""
    for byte in head(request):
        yield bytes([byte])
        yield 0.2


def slow_body(request):
    """Send a body of a legal size, a byte every 0.2 s."""
    yield head(request, 'Content-Length: 1000')
    for _ in range(999):
        yield b'x'
        yield 0.2


def pipelined(request):
    """Send 2,000 requests without a body on one connection."""
    for _ in range(20):
        yield head(request) * 100


def idle():
    """Send nothing."""
    yield from ()


class Site:
    """A platform cell of two processes and what is measured of them."""

    def __init__(self, folder, resources):
        self._processes = resources.enter_context(testing.Processes(folder))
        workers = testing.make_workers(1, messages.Resources(4_000, 1_000), 10)
        self._cell = resources.enter_context(
            testing.PlatformCell(
                folder,
                self._processes,
                workers,
                controllers_count=1,
                network=NETWORK,
                settings={
                    'Limits.MemoryMb': str(GATEWAY_MB),
                    'Limits.MaxFds': str(DESCRIPTORS_MAX),
                },
            )
        )
        self._numbers = itertools.count(1)
        self._names = {'front': 'g0', 'control': self._cell.controller(0)}
        self.addresses = {
            'front': self._cell.callers[0],
            'ready': self._cell.readiness_addresses[0],
            'control': self._cell.control[0],
            'front metrics': f'{NETWORK}.1.1:{METRICS_PORT}',
            'control metrics': f'{NETWORK}.0.2:{METRICS_PORT}',
            'stream': self._cell.stream_address(0),
        }
        self.open()

    def open(self):
        body = testing.document()
        testing.wait_until(lambda: self._cell.put_document(body) == 200)
        testing.wait_until(self._report)
        testing.wait_until(self._cell.ready)

    def restart(self):
        """Restart the processes, so that a test leaves nothing behind."""
        for name in self._names.values():
            self._processes.kill(name)
            self._processes.restart(name)
        self.open()

    def process_ids(self):
        return {
            role: self._processes.id_of(name)
            for role, name in self._names.items()
        }

    def assert_alive(self):
        for name in self._names.values():
            assert self._processes.is_running(name), name

    def assert_answers(self, port):
        """Check that one ordinary request is answered at a port."""
        match port:
            case 'front' | 'stream':
                job_id = f'{next(self._numbers):016x}'
                testing.wait_until(lambda: self._submit(job_id) == 200)
                testing.wait_until(lambda: self._is_completed(job_id))
            case 'ready':
                testing.wait_until(self._cell.ready)
            case 'control':
                testing.wait_until(
                    lambda: self._cell.read_document(0).status == 200
                )
            case _:
                url = f'http://{self.addresses[port]}/metrics'
                testing.wait_until(lambda: testing.call(url).status == 200)

    def _submit(self, job_id):
        step = {'Count': 1, 'Cpu': 500, 'MemMb': 10}
        body = json.dumps({'Spec': 'text', 'Steps': [step]}).encode()
        return self._cell.ask('POST', f'/r1/{job_id}', body).status

    def _report(self):
        """Report the worker, which gets no runs when it has been silent."""
        return self._cell.report(self._cell.workers[0], 0) == 200

    def _is_completed(self, job_id):
        self._report()
        reply = self._cell.ask('GET', f'/r1/{job_id}')
        return reply.status == 200 and reply.json()['State'] == 'completed'


@pytest.fixture(scope='module')
def shared_site(tmp_path_factory):
    with contextlib.ExitStack() as resources:
        yield Site(tmp_path_factory.mktemp('site'), resources)


@pytest.fixture
def site(shared_site, request):
    yield from _restarted_after_failure(shared_site, request)


def _restarted_after_failure(site, request):
    failed_before = request.session.testsfailed
    yield site
    if request.session.testsfailed > failed_before:
        site.restart()


def play(site, port, crowd, during=False):
    """Play a crowd at a port, and check what must hold then and afterwards.

    With ``during`` one ordinary request is also answered while it is there.
    """
    footprints = {
        role: crowds.Footprint(process_id)
        for role, process_id in site.process_ids().items()
    }
    with crowds.playing(
        site.addresses[port], crowd, list(footprints.values())
    ):
        if during:
            site.assert_answers(port)
    site.assert_alive()
    site.assert_answers(port)
    limits_mb = {'front': GATEWAY_MB, 'control': CONTROLLER_MB}
    for role, footprint in footprints.items():
        limit_mb = limits_mb.get(role, PRODUCT_MB)
        peak_mb = footprint.resident_max_bytes() // crowds.MIB_BYTES
        assert peak_mb <= limit_mb, role
        assert footprint.descriptors_max <= DESCRIPTORS_MAX, role


@pytest.mark.parametrize(('port', 'request_line'), DOORS)
def test_a_huge_body_is_not_kept(site, port, request_line):
    crowd = crowds.Crowd(script=lambda: huge_body(request_line), count=40)
    play(site, port, crowd)


@pytest.mark.parametrize(
    ('port', 'request_line'),
    [
        ('front', JOB),
        ('ready', 'GET /ready'),
        ('control', 'PUT /config'),
        ('control', REPORT),
        ('front metrics', 'GET /metrics'),
    ],
)
@pytest.mark.parametrize('script', [huge_chunk, endless_chunks])
def test_chunks_without_an_end_are_not_kept(site, port, request_line, script):
    crowd = crowds.Crowd(script=lambda: script(request_line), count=40)
    play(site, port, crowd)


@pytest.mark.parametrize(
    ('port', 'request_line', 'length_bytes', 'piece_bytes'),
    [
        ('front', JOB, BODY_BYTES, BODY_BYTES),
        ('front', JOB, BODY_BYTES, 1_024),
        ('front', 'POST /nowhere', BODY_BYTES, BODY_BYTES),
        ('ready', 'GET /ready', BODY_BYTES, BODY_BYTES),
        ('control', REPORT, REPORT_BYTES, BODY_BYTES),
        ('control', 'PUT /config', 4 * REPORT_BYTES, BODY_BYTES),
    ],
)
def test_bodies_that_stop_before_their_end(
    site, port, request_line, length_bytes, piece_bytes
):
    crowd = crowds.Crowd(
        script=lambda: almost_whole(request_line, length_bytes, piece_bytes),
        count=200,
    )
    play(site, port, crowd, during=True)


@pytest.mark.parametrize(
    ('port', 'request_line'), [('front', JOB), ('control', REPORT)]
)
def test_chunked_bodies_that_stop_before_their_end(site, port, request_line):
    crowd = crowds.Crowd(
        script=lambda: almost_whole_chunked(request_line, BODY_BYTES // 2),
        count=200,
    )
    play(site, port, crowd, during=True)


@pytest.mark.parametrize(
    ('port', 'request_line', 'length_bytes', 'count'),
    [
        ('front', JOB, BODY_BYTES, 64),
        ('control', REPORT, REPORT_BYTES, 4),
        ('control', 'PUT /config', REPORT_BYTES, 4),
    ],
)
@pytest.mark.parametrize(
    ('begin', 'middle', 'end'),
    [
        ('{"Steps":[', '{},', '0]}'),
        ('{"Steps":[', '[],', '0]}'),
        ('{"Steps":', '[', ''),
        ('{', '"":1,', '"x":1}'),
    ],
    ids=['objects', 'lists', 'deep', 'fields'],
)
def test_bodies_of_very_many_fields(
    site, port, request_line, length_bytes, count, begin, middle, end
):
    times = (length_bytes - len(begin) - len(end)) // len(middle)
    body = (begin + middle * times + end).encode()
    crowd = crowds.Crowd(
        script=lambda: whole_bodies(request_line, body),
        count=count,
        connections_max=4 * count,
        reads=True,
    )
    play(site, port, crowd)


@pytest.mark.parametrize(('port', 'request_line'), PORTS)
def test_thousands_of_header_lines(site, port, request_line):
    fields = [f'{number:x}:' for number in range(2_500)]
    crowd = crowds.Crowd(
        script=lambda: itertools.repeat(head(request_line, *fields), 20),
        count=100,
        reads=True,
    )
    play(site, port, crowd)


@pytest.mark.parametrize(('port', 'request_line'), PORTS)
def test_pipelined_requests_whose_answers_are_not_read(
    site, port, request_line
):
    crowd = crowds.Crowd(script=lambda: pipelined(request_line), count=100)
    play(site, port, crowd)


@pytest.mark.parametrize('port', [*(port for port, _ in PORTS), 'stream'])
def test_idle_connections(site, port):
    crowd = crowds.Crowd(script=idle, count=600, connections_max=1_200)
    play(site, port, crowd)


@pytest.mark.parametrize(('port', 'request_line'), PORTS)
def test_slow_heads_leave_room_for_others(site, port, request_line):
    crowd = crowds.Crowd(
        script=lambda: slow_head(request_line),
        count=200,
        connections_max=2_000,
    )
    play(site, port, crowd, during=True)


@pytest.mark.parametrize(
    ('port', 'request_line'), [('front', JOB), ('control', REPORT)]
)
def test_slow_bodies_leave_room_for_others(site, port, request_line):
    crowd = crowds.Crowd(
        script=lambda: slow_body(request_line),
        count=200,
        connections_max=2_000,
    )
    play(site, port, crowd, during=True)


def large_frame():
    """Send a frame of 60 MiB before a hello."""
    length_bytes = 60 * crowds.MIB_BYTES
    yield struct.pack('>I', length_bytes)
    yield from itertools.repeat(PIECE, length_bytes // len(PIECE) - 1)


def slow_frame():
    """Send a frame before a hello, a byte every 0.2 s."""
    yield struct.pack('>I', 1_000)
    for _ in range(999):
        yield b'x'
        yield 0.2


def test_large_frames_of_unknown_senders_are_not_kept(site):
    play(site, 'stream', crowds.Crowd(script=large_frame, count=20))


def test_slow_unknown_senders_leave_room_for_peers(site):
    crowd = crowds.Crowd(
        script=slow_frame, count=300, connections_max=2_000, seconds=4.0
    )
    play(site, 'stream', crowd, during=True)


class ProductSite:
    """A cell of the product's own engine."""

    _names = ('c1', 'g1', 'w1')

    def __init__(self, folder, resources):
        key = rules.new_key('harbour')
        self._key = key.text
        self._cell = cell = resources.enter_context(testing.Cell(folder))
        cell.add_controllers(1)
        cell.add_gateways(1)
        cell.wait_ready(0)
        text = f'{conftest.RULES}{key.rule_line}\n'
        assert cell.apply_rules(text, 0).status == 200
        cell.add_workers(1)
        cell.wait_ready()
        self.addresses = {
            'callers': cell.addresses['g1/callers'],
            'workers': cell.addresses['g1/workers'],
            'operators': cell.addresses['g1/operators'],
            'worker': cell.addresses['w1'],
            'metrics': cell.addresses['c1/metrics'],
        }

    def restart(self):
        """Restart the processes, so that a test leaves nothing behind."""
        for name in self._names:
            self._cell.processes.kill(name)
            self._cell.processes.restart(name)
        self._cell.wait_ready()

    def process_ids(self):
        return {name: self._cell.processes.id_of(name) for name in self._names}

    def assert_alive(self):
        for name in self._names:
            assert self._cell.processes.is_running(name), name

    def assert_answers(self, _port):
        testing.wait_until(
            lambda: (
                self._cell.run_task({'echo': 'ring'}, self._key).status == 200
            )
        )


@pytest.fixture(scope='module')
def shared_product(tmp_path_factory):
    with contextlib.ExitStack() as resources:
        yield ProductSite(tmp_path_factory.mktemp('product'), resources)


@pytest.fixture
def product(shared_product, request):
    yield from _restarted_after_failure(shared_product, request)


@pytest.mark.parametrize(
    ('port', 'request_line'),
    [
        ('callers', 'POST /nowhere'),
        ('workers', 'POST /nowhere'),
        ('operators', 'POST /nowhere'),
        ('worker', 'POST /nowhere'),
        ('metrics', 'GET /metrics'),
    ],
)
def test_the_products_own_processes_keep_no_huge_body(
    product, port, request_line
):
    crowd = crowds.Crowd(script=lambda: huge_body(request_line), count=40)
    play(product, port, crowd)
