"""Starts of real programs that are disturbed by signals, ports and files."""

import contextlib
import datetime
import os
import pathlib
import resource
import signal
import socket
import time

import pytest

from dandeliondrum import testing
from tests import starts

ROLES = ('gateway', 'controller')
# Time from SIGTERM to the kill, as in the settings.
GRACE_S = 6
# Time that the log stream has for the last line.
LOG_WRITE_S = 0.2

LIMITED = """
import resource, runpy
resource.setrlimit(resource.RLIMIT_AS, ({limit}, {limit}))
runpy.run_module('dandeliondrum.platform', run_name='__main__')
"""
# Lets only some of the threads start, as the system does when it has no more.
FEW_THREADS = """
import runpy, threading
start_thread, left = threading._start_new_thread, {count}

def start_while_allowed(*arguments):
    global left
    if not left:
        raise RuntimeError("can't start new thread")
    left -= 1
    return start_thread(*arguments)

threading._start_new_thread = start_while_allowed
runpy.run_module('dandeliondrum.platform', run_name='__main__')
"""
# Hangs in the end of a stop.
HANGING = """
import runpy, threading
from dandeliondrum import utils

def hang(timers):
    threading.Event().wait()

utils.TimerService.close = hang
runpy.run_module('dandeliondrum.platform', run_name='__main__')
"""
# Answers each call of HTTP at the longest deadline of a caller.
SLOW_CALLS = """
import runpy, time
from dandeliondrum import gateway
serve = gateway.Application.__call__

def serve_slowly(*arguments):
    time.sleep(2.85)
    return serve(*arguments)

gateway.Application.__call__ = serve_slowly
runpy.run_module('dandeliondrum.platform', run_name='__main__')
"""
CRASH = """
import os, runpy, signal, threading
threading.Timer(0.5, os.kill, (os.getpid(), signal.SIGSEGV)).start()
runpy.run_module('dandeliondrum.platform', run_name='__main__')
"""


class Launched(starts.Program):
    """A program of the platform with its settings and its log."""

    def __init__(self, folder: pathlib.Path, role: str) -> None:
        ports = [testing.free_address().rpartition(':')[2] for _ in range(4)]
        stream, control, front, ready = ports
        self.settings = {
            'Node': f'{role}-1',
            'Ip': '127.0.0.1',
            'Zone': 'sattahip',
            'Region': 'gulf',
            'PortRange': f'{stream},{stream}',
            'Seeds': f'127.0.0.1:{control}',
            'FaultTolerance.Machines': '0',
            'Bounds.GraceS': str(GRACE_S),
            'Bounds.HoldMaxMs': '6000',
            'Bounds.status_s': '120',
            'Bootstrap': 'true',
        }
        if role == 'controller':
            self.settings['Listen.Control'] = f'127.0.0.1:{control}'
            self.settings['DataDir'] = str(folder / 'data')
        else:
            self.settings['Listen.Front'] = f'127.0.0.1:{front}'
            self.settings['Listen.Ready'] = f'127.0.0.1:{ready}'
        super().__init__(
            folder,
            'dandeliondrum.platform',
            (role,),
            ''.join(f'{k}={v}\n' for k, v in self.settings.items()),
            flags=('-S',),
        )


@pytest.fixture(params=ROLES)
def launched(request, tmp_path):
    program = Launched(tmp_path, request.param)
    with contextlib.closing(program):
        yield program


def test_sighup_at_any_import_of_a_start_does_not_end_the_process(launched):
    process = launched.launch_signalled(signal.SIGHUP)
    launched.wait_for('started')
    launched.wait_for('reload requested')
    assert starts.stopped_in_order(process), launched.output()


@pytest.mark.parametrize('only', (1, 10, 60, 150))
def test_sigterm_during_a_start_stops_the_process_in_order(launched, only):
    process = launched.launch_signalled(signal.SIGTERM, only)
    assert process.wait(starts.TIMEOUT_MS / 1000) == 0, launched.output()
    assert launched.has('stopped')


@pytest.mark.parametrize('role', ROLES)
def test_a_port_that_is_taken_at_a_start_is_waited_for(tmp_path, role):
    names = {
        'gateway': ('Listen.Ready', 'Listen.Front'),
        'controller': ('PortRange', 'Listen.Control'),
    }[role]
    for name in names:
        folder = tmp_path / name
        folder.mkdir()
        program = Launched(folder, role)
        port = program.settings[name].partition(',')[0].rpartition(':')[2]
        with contextlib.closing(program):
            with socket.create_server(('127.0.0.1', int(port))):
                process = program.launch()
                assert port in str(program.wait_for('start waits'))
                assert process.poll() is None
            program.wait_for('started')
            assert starts.stopped_in_order(process), program.output()


@pytest.mark.parametrize('role', ROLES)
def test_a_port_that_stays_taken_ends_a_start_with_its_reason(tmp_path, role):
    program = Launched(tmp_path, role)
    name = 'Listen.Front' if role == 'gateway' else 'Listen.Control'
    port = program.settings[name].rpartition(':')[2]
    with contextlib.closing(program):
        with socket.create_server(('127.0.0.1', int(port))):
            process = program.launch()
            assert process.wait(starts.TIMEOUT_MS / 1000) == 1, (
                program.output()
            )
        ended = program.wait_for('not started')
        assert ended['phase'] == 'ports'
        assert port in str(ended['why'])


def test_a_stop_without_free_descriptors_is_orderly(launched):
    """An error of accept in the drain ended the process with code 70."""
    process = launched.launch()
    launched.wait_for('started')
    settings = launched.settings
    address = settings.get('Listen.Control') or settings['Listen.Front']
    port = address.rpartition(':')[2]
    _, hard = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (3, hard))
    with socket.create_connection(('127.0.0.1', int(port))):
        launched.wait_for('accept failed')
        assert starts.stopped_in_order(process), launched.output()
    assert address in [
        line['address']
        for line in launched.lines()
        if line['event'] == 'backlog not accepted'
    ]
    assert launched.has('stopped')


def test_a_successor_waits_until_its_predecessor_has_stopped(launched):
    first = launched.launch()
    launched.wait_for('started')
    launched.launch()
    launched.wait_for('start waits', number=1)
    assert starts.stopped_in_order(first), launched.output()
    launched.wait_for('started', number=1)


@pytest.mark.parametrize('share', (0, 0.3, 0.6, 0.95))
def test_a_start_waits_for_settings_that_are_half_written(launched, share):
    text = launched.text
    launched.write(text[: int(len(text) * share)])
    process = launched.launch()
    launched.wait_for('start waits')
    launched.write(text)
    launched.wait_for('started')
    assert starts.stopped_in_order(process), launched.output()


def test_a_stop_is_orderly_after_the_reader_of_the_output_has_gone(launched):
    reader, writer = os.pipe()
    process = launched.launch(stdout=writer)
    os.close(writer)
    with open(reader) as output:
        assert any('"started"' in line for line in output)
    assert starts.stopped_in_order(process), launched.output()


def test_a_stop_is_orderly_while_the_reader_of_the_output_stalls(launched):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while os.write(writer, b'filled\n'):
            pass
    os.set_blocking(writer, True)
    process = launched.launch(stdout=writer)
    os.close(writer)
    with contextlib.closing(os.fdopen(reader)):
        testing.wait_until(lambda: accepts_calls(launched))
        assert starts.stopped_in_order(process), launched.output()


def test_a_stop_that_hangs_ends_before_the_platform_kills_the_process(
    launched,
):
    """Otherwise no line tells that it hung, and where."""
    process = launched.launch_code(HANGING)
    launched.wait_for('started')
    process.send_signal(signal.SIGTERM)
    sent_s = time.time()
    assert process.wait(starts.TIMEOUT_MS / 1000) == 70, launched.output()
    line = launched.wait_for('not closed in time')
    assert 'hang' in str(line['waits_in'])
    assert _left_s(line, sent_s) > LOG_WRITE_S
    assert not launched.has('stopped')


def _left_s(line: dict[str, object], sent_s: float) -> float:
    """Return the time from a line to the kill after a signal."""
    at = datetime.datetime.fromisoformat(str(line['time']))
    return sent_s + GRACE_S - at.timestamp()


@pytest.mark.parametrize('role', ROLES)
def test_a_hanging_stop_during_a_start_ends_before_the_kill(tmp_path, role):
    program = Launched(tmp_path, role)
    name = 'Listen.Front' if role == 'gateway' else 'Listen.Control'
    port = program.settings[name].rpartition(':')[2]
    with contextlib.closing(program):
        with socket.create_server(('127.0.0.1', int(port))):
            process = program.launch_code(HANGING)
            program.wait_for('start waits')
            process.send_signal(signal.SIGTERM)
            sent_s = time.time()
            code = process.wait(starts.TIMEOUT_MS / 1000)
            assert code == 70, program.output()
        line = program.wait_for('not closed in time')
        assert _left_s(line, sent_s) > LOG_WRITE_S


@pytest.mark.parametrize(
    ('role', 'after_s'), (('gateway', 2.2), ('controller', -0.2))
)
def test_an_orderly_stop_has_the_time_for_its_last_calls(
    tmp_path, role, after_s
):
    """A call that begins at the end of the notice takes its whole deadline."""
    program = Launched(tmp_path, role)
    with contextlib.ExitStack() as resources:
        resources.enter_context(contextlib.closing(program))
        process = program.launch_code(SLOW_CALLS)
        program.wait_for('started')
        if after_s > 0:
            process.send_signal(signal.SIGTERM)
        time.sleep(max(0, after_s))
        for _ in range(4):
            stream = resources.enter_context(_connect(program))
            stream.sendall(b'GET /none HTTP/1.0\r\n\r\n')
        if after_s < 0:
            time.sleep(-after_s)
            process.send_signal(signal.SIGTERM)
        assert process.wait(GRACE_S) == 0, program.output()
        assert program.has('stopped')
        assert not program.has('not closed in time')


def test_an_ended_process_leaves_an_output_that_it_shared_blocking(launched):
    reader, writer = os.pipe()
    process = launched.launch(stdout=writer)
    with open(reader) as output, open(writer, 'w'):
        assert any('"started"' in line for line in output)
        assert starts.stopped_in_order(process), launched.output()
        assert os.get_blocking(writer)


def accepts_calls(launched: Launched) -> bool:
    with contextlib.suppress(OSError):
        _connect(launched).close()
        return True
    return False


def _connect(launched: Launched) -> socket.socket:
    address = launched.settings.get(
        'Listen.Front', launched.settings.get('Listen.Control', '')
    )
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), 1)


@pytest.mark.parametrize('count', (0, 1, 5, 10, 15, 20, 25, 30, 35))
def test_a_start_that_gets_no_threads_ends_the_process(launched, count):
    process = launched.launch_code(FEW_THREADS.format(count=count))
    assert process.wait(starts.TIMEOUT_MS / 1000) == 70, launched.output()
    assert launched.has('process ended')


@pytest.mark.parametrize('memory_mb', (250, 600))
def test_a_start_with_a_limited_address_space_ends_with_a_report(
    launched, memory_mb
):
    # Address space for some of the threads, each of which maps its stack.
    limit = memory_mb << 20
    process = launched.launch_code(LIMITED.format(limit=limit))
    code = process.wait(starts.TIMEOUT_MS / 1000)
    if code == 70:
        assert launched.has('process ended'), launched.output()
        return
    # CPython 3.11 crashes if the first allocation of a new thread fails, which
    # depends on where the address space runs out.
    assert code in (-signal.SIGSEGV, -signal.SIGABRT), launched.output()
    assert 'Fatal Python error' in str(launched.output())


def test_a_crash_of_native_code_leaves_the_stacks_of_its_threads(launched):
    process = launched.launch_code(CRASH)
    assert process.wait(starts.TIMEOUT_MS / 1000) == -signal.SIGSEGV
    assert 'Fatal Python error: Segmentation fault' in str(launched.output())
