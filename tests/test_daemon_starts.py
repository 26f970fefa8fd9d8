"""Starts of real daemons that are disturbed by signals, ports and files."""

import contextlib
import fcntl
import json
import os
import pathlib
import signal
import socket

import pytest

from dandeliondrum import testing
from tests import starts

PLACE = {'region': 'gulf', 'failure_domain': 'sattahip'}
# Settings that are ports of the role.
PORTS = {
    'controller': ('listen_address', 'metrics_address'),
    'gateway': ('callers_address', 'workers_address', 'operators_address'),
    'worker': ('address',),
}


class Daemon(starts.Program):
    """A daemon with its settings and its log."""

    def __init__(self, folder: pathlib.Path, role: str) -> None:
        self.role = role
        self.ports = {name: testing.free_address() for name in PORTS[role]}
        self.settings = {**PLACE, **self.ports}
        if role == 'worker':
            self.settings.update(
                worker_id='w1',
                rack='r1',
                cpu_millicores=1_000,
                memory_mb=1_000,
                gateways=[testing.free_address()],
            )
        else:
            address = self.ports.get('listen_address', testing.free_address())
            self.settings.update(
                cell_id='cell',
                controllers=[{'controller_id': 'c1', 'address': address}],
            )
        if role == 'controller':
            self.settings.update(
                controller_id='c1', data_folder=str(folder / 'data')
            )
        elif role == 'gateway':
            self.settings.update(gateway_id='g1', drain_notice_ms=0)
        super().__init__(
            folder,
            'dandeliondrum.command',
            ('run', role, '--settings', str(folder / 'process.conf')),
            json.dumps(self.settings, indent=1),
        )


@pytest.fixture(params=PORTS)
def daemon(request, tmp_path):
    program = Daemon(tmp_path, request.param)
    with contextlib.closing(program):
        yield program


def test_sighup_at_any_import_of_a_start_does_not_end_the_daemon(daemon):
    process = daemon.launch_signalled(signal.SIGHUP)
    daemon.wait_for('started')
    daemon.wait_for('reload requested')
    assert starts.stopped_in_order(process), daemon.output()


def test_sighup_does_not_end_a_daemon_that_is_up(daemon):
    process = daemon.launch()
    daemon.wait_for('started')
    assert not daemon.has('reload requested')
    process.send_signal(signal.SIGHUP)
    daemon.wait_for('reload requested')
    assert starts.stopped_in_order(process), daemon.output()


@pytest.mark.parametrize('only', (1, 100, 400))
def test_sigterm_during_a_start_stops_the_daemon_in_order(daemon, only):
    process = daemon.launch_signalled(signal.SIGTERM, only)
    assert process.wait(starts.TIMEOUT_MS / 1000) == 0, daemon.output()
    assert daemon.has('stopped')
    assert not daemon.has('started')


@pytest.mark.parametrize(
    ('role', 'name'),
    [(role, name) for role, names in PORTS.items() for name in names],
)
def test_a_port_that_is_taken_at_a_start_is_waited_for(tmp_path, role, name):
    program = Daemon(tmp_path, role)
    with contextlib.closing(program):
        with taken(program.ports[name]):
            process = program.launch()
            assert program.ports[name] in str(program.wait_for('start waits'))
            assert process.poll() is None
        program.wait_for('started')
        assert starts.stopped_in_order(process), program.output()


def test_a_port_that_stays_taken_ends_a_start_with_its_reason(daemon):
    address = daemon.ports[PORTS[daemon.role][-1]]
    with taken(address):
        process = daemon.launch()
        code = process.wait(starts.TIMEOUT_MS / 1000)
        assert code == 1, daemon.output()
    ended = daemon.wait_for('not started')
    assert 'ports' in str(ended['phase'])
    assert address in str(ended['why'])
    assert not daemon.has('leading')


def test_sigterm_ends_the_wait_for_a_port_in_order(daemon):
    with taken(daemon.ports[PORTS[daemon.role][-1]]):
        process = daemon.launch()
        daemon.wait_for('start waits')
        assert starts.stopped_in_order(process), daemon.output()
    assert daemon.has('stopped')


def test_a_successor_waits_until_its_predecessor_has_stopped(daemon):
    first = daemon.launch()
    daemon.wait_for('started')
    second = daemon.launch()
    daemon.wait_for('start waits', number=1)
    assert starts.stopped_in_order(first), daemon.output()
    daemon.wait_for('started', number=1)
    assert starts.stopped_in_order(second), daemon.output()


def test_a_data_folder_in_use_is_waited_for(tmp_path):
    daemon = Daemon(tmp_path, 'controller')
    folder = tmp_path / 'data'
    folder.mkdir()
    with contextlib.closing(daemon):
        with open(folder / 'lock', 'wb') as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            process = daemon.launch()
            waits = daemon.wait_for('start waits')
            assert waits['resource'] == 'data folder'
        daemon.wait_for('started')
        assert starts.stopped_in_order(process), daemon.output()


@pytest.mark.parametrize(
    ('role', 'share'),
    (('controller', 0), ('gateway', 0.3), ('worker', 0.6), ('worker', 0.95)),
)
def test_a_start_waits_for_settings_that_are_half_written(
    tmp_path, role, share
):
    program = Daemon(tmp_path, role)

    part = program.text[: int(len(program.text) * share)]

    def waits_after_a_change():
        program.write(part)
        return process.poll() is not None or program.has('start waits')

    program.write(part)
    with contextlib.closing(program):
        process = program.launch()
        testing.wait_until(waits_after_a_change)
        program.write(program.text)
        program.wait_for('started')
        assert starts.stopped_in_order(process), program.output()


def test_wrong_settings_that_are_old_are_refused_at_once(daemon):
    daemon.write(daemon.text[: len(daemon.text) // 2])
    os.utime(daemon.path, (0, 0))
    process = daemon.launch()
    assert process.wait(starts.TIMEOUT_MS / 1000) == 1, daemon.output()
    assert daemon.wait_for('not started')['phase'] == 'settings'
    assert not daemon.has('start waits')
    assert f'\n{daemon.path}:' in daemon.output()


def test_a_stop_is_orderly_after_the_reader_of_the_log_has_gone(daemon):
    reader, writer = os.pipe()
    process = daemon.launch(stderr=writer)
    os.close(writer)
    with open(reader) as log:
        assert any('"started"' in line for line in log)
    process.send_signal(signal.SIGHUP)
    assert starts.stopped_in_order(process)


def taken(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    return socket.create_server((host, int(port)))
