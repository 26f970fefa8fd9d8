"""A short soak with disturbed starts, and tests of its checks."""

import contextlib
import signal
import sys
import time
import types

import pytest

from dandeliondrum import testing
from dandeliondrum.testing import _soak
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_exits
from dandeliondrum.testing import _soak_faults
from dandeliondrum.testing import _soak_starts

SEED = 5093
LENGTH_S = 4
LOG = 'import json; print(json.dumps({"event": "%s", "phase": "x"}))'
STARTED = LOG % 'started'
WAIT = 'import time; time.sleep(600)'
HANDLE = (
    'import signal, sys; [signal.signal(n, lambda *_: %s) for n in (1, 2, 15)]'
)
STOP_IN_ORDER = HANDLE % 'sys.exit(0)'


def test_a_soak_with_disturbed_starts_sees_no_end_without_a_cause(tmp_path):
    options = _soak.SoakOptions(
        SEED, LENGTH_S, tmp_path, links=False, series=True, starts=True
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert outcome.accepted_count > 0
    assert outcome.exits.hang_ups_count
    assert outcome.exits.handlers_count


@pytest.fixture
def checker():
    return _soak_checker.InvariantChecker()


@pytest.fixture
def processes(tmp_path):
    with testing.Processes(tmp_path) as made:
        yield made


@pytest.fixture
def exits(processes, checker):
    return _soak_exits.ExitChecker(processes, checker)


def _launch(processes, *code):
    program = testing.Program(
        arguments=(sys.executable, '-S', '-u', '-c', '\n'.join(code))
    )
    return processes.launch('p', program)


def _wait_for_end(life):
    life.process.wait(20)


@pytest.mark.parametrize('code', (0, 1, 70))
def test_the_checker_notices_a_process_that_ends_by_itself(
    code, processes, checker, exits
):
    life = _launch(processes, LOG % 'not started', f'raise SystemExit({code})')
    _wait_for_end(life)
    exits.look()
    exits.look()
    (violation,) = checker.violations
    assert f'ended by itself with code {code}' in violation
    assert "phase 'not started: x'" in violation
    assert '"event": "not started"' in violation


def test_the_checker_notices_a_process_that_sighup_ends(
    processes, checker, exits
):
    life = _launch(processes, HANDLE % 'sys.exit(3)', STARTED, WAIT)
    exits.hang_up(life)
    _wait_for_end(life)
    exits.look()
    assert 'ended by itself with code 3' in checker.violations[0]


def test_the_checker_notices_a_signal_that_the_soak_did_not_send(
    processes, checker, exits
):
    life = _launch(processes, WAIT)
    life.process.send_signal(signal.SIGKILL)
    _wait_for_end(life)
    exits.look()
    assert 'ended by itself with code -9' in checker.violations[0]


def test_ends_that_the_soak_causes_are_no_violations(
    processes, checker, exits
):
    _launch(processes, WAIT)
    processes.kill('p')
    life = _launch(processes, STOP_IN_ORDER, WAIT)
    assert exits.wait_for_handlers(life)
    assert processes.stop('p') == 0
    exits.look()
    assert checker.violations == []
    assert exits.figures().handlers_count == 1


@pytest.mark.parametrize('code', (1, 120))
def test_the_checker_notices_a_stop_with_another_code(
    code, processes, checker, exits
):
    life = _launch(processes, HANDLE % f'sys.exit({code})', STARTED, WAIT)
    assert exits.wait_for_handlers(life)
    processes.stop('p')
    exits.look()
    (violation,) = checker.violations
    assert f'ended with code {code} after SIGTERM' in violation


@pytest.mark.parametrize(
    ('code', 'expected'), ((HANDLE % 'None', 1), (STOP_IN_ORDER, 0))
)
def test_the_checker_notices_a_stop_that_takes_too_long(
    code, expected, processes, checker, exits, monkeypatch
):
    monkeypatch.setattr(_soak_exits, 'GRACE_S', 2)
    monkeypatch.setattr(_soak_exits, 'GRACE_ALLOWANCE_S', 0)
    life = _launch(processes, code, STARTED, WAIT)
    assert exits.wait_for_handlers(life)
    life.send(signal.SIGTERM)
    with contextlib.suppress(Exception):
        life.process.wait(2.2)
    exits.look()
    assert len(checker.violations) == expected
    for violation in checker.violations:
        assert 'not ended in time after SIGTERM' in violation


@pytest.mark.parametrize(('lines', 'expected'), ((STARTED, 0), ('', 1)))
def test_the_checker_notices_a_process_that_does_not_start_in_time(
    lines, expected, processes, checker, exits, monkeypatch
):
    life = _launch(processes, STOP_IN_ORDER, lines, WAIT)
    exits.look()
    assert checker.violations == []
    if lines:
        testing.wait_until(lambda: exits.has_started(life))
    monkeypatch.setattr(exits, '_start_max_s', 0)
    exits.look()
    assert len(checker.violations) == expected
    for violation in checker.violations:
        assert 'not started in time' in violation


def test_the_checker_notices_handlers_that_are_installed_late(
    processes, checker, exits
):
    busy = 'import time\nwhile time.process_time() < 0.5: pass'
    life = _launch(processes, busy, STOP_IN_ORDER, WAIT)
    exits.hang_up(life)
    (violation,) = checker.violations
    assert 'no handlers after' in violation
    assert life.is_running


@pytest.mark.parametrize('event', _soak_exits.FATAL_EVENTS)
@pytest.mark.parametrize('kind', ('out', 'err'))
def test_the_checker_notices_a_line_about_an_end(
    event, kind, tmp_path, checker, exits
):
    (tmp_path / f'g1.7.{kind}').write_text(
        f'{{"event": "started"}}\n{{"event": "{event}", "why": "w"}}\n'
    )
    exits.check_logs(tmp_path)
    (violation,) = checker.violations
    assert event in violation and violation.startswith('g1.7')


def test_a_successor_has_a_log_of_its_own(processes, exits):
    _launch(processes, STARTED, WAIT)
    testing.wait_until(lambda: exits.has_started(processes.life('p')))
    successor = processes.relaunch('p', beside=True)
    with pytest.raises(testing.ProcessError, match='already running'):
        processes.relaunch('p')
    testing.wait_until(lambda: exits.has_started(successor))
    assert len(successor.lines()) == 1
    processes.kill_all()
    assert not any(life.is_running for life in processes.lives)
    third = processes.relaunch('p')
    testing.wait_until(lambda: exits.has_started(third))
    assert len(third.lines()) == 1


def _injector(checker, exits, power=False):
    cell = types.SimpleNamespace(
        control=['c0', 'c1', 'c2'],
        callers=['g0', 'g1'],
        controller='c{}'.format,
    )
    return _soak_faults.FaultInjector(
        cell, [], checker, 9, 3, power=power, starts=exits
    )


def test_a_seed_draws_disturbed_starts_of_each_kind(checker, exits):
    def draw():
        starts = _injector(checker, exits)._starts
        rng = _soak_faults.random.Random(9)
        return [starts.draw(rng)[0] for _ in range(200)]

    names = draw()
    assert names == draw()
    text = '\n'.join(names)
    for ending in _soak_starts.Ending:
        assert ending.value in text
    for begin in (
        'SIGHUP to',
        'all started together c0',
        'all started together g0',
        'settings rewritten of',
    ):
        assert begin in text


def test_a_controller_that_loses_power_has_no_successor_beside_it(
    checker, exits
):
    starts = _injector(checker, exits, power=True)._starts
    rng = _soak_faults.random.Random(9)
    names = [starts.draw(rng)[0] for _ in range(200)]
    assert 'succeed' not in '\n'.join(names)


def test_settings_are_written_in_parts(tmp_path, processes):
    cell = testing.PlatformCell(tmp_path, processes, [])
    path = tmp_path / 'g0.conf'
    cell._written['g0'] = {'Node': 'g0', 'Ip': '127.0.1.1'}
    written = []
    seeds = ','.join(cell.control[number] for number in (2, 0, 1))
    text = f'Node=g0\nIp=127.0.1.1\nSeeds={seeds}\n'

    def note(_pause_s):
        written.append(path.read_text())

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(time, 'sleep', note)
        cell.write_settings_slowly('g0', (2, 0, 1), [(0, 1), (0.5, 1)])
    assert written == ['', text[: len(text) // 2]]
    assert path.read_text() == text
