"""Starting, killing, freezing and cleaning up the processes of a test."""

import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

TIMEOUT_MS = 20_000
# Long enough for a start to arrive before its lease ends on a busy machine.
LEASE_MS = 3_000
FROZEN_MS = worker.START_FRESHNESS_MS + 200
EventKind = worker.EventKind
OutageKind = testing.OutageKind


def python_program(code, **fields):
    return testing.Program(arguments=(sys.executable, '-c', code), **fields)


@pytest.fixture
def processes(tmp_path):
    with testing.Processes(tmp_path / 'logs') as harness:
        yield harness


# Children that sleep for 600 s run until the harness ends them, as these tests
# check; no test waits for the 600 s.


def test_running_processes_are_killed_at_the_end_of_the_context(tmp_path):
    with testing.Processes(tmp_path) as harness:
        harness.start('p', python_program('import time; time.sleep(600)'))
        harness.freeze('p')
        process_id = harness.id_of('p')
    with pytest.raises(ProcessLookupError):
        os.kill(process_id, 0)
    kinds = [each.kind for each in harness.outages]
    assert kinds == [OutageKind.FROZEN, OutageKind.KILLED]


def test_the_error_of_a_process_that_ends_before_it_is_ready_has_its_log(
    processes,
):
    program = python_program(
        'raise SystemExit("settings are wrong")',
        ready_address=testing.free_address(),
    )
    with pytest.raises(testing.ProcessError, match='settings are wrong'):
        processes.start('p', program)


def test_the_json_lines_of_a_log_are_returned(processes):
    line = json.dumps({'event': 'started'})
    processes.start('p', python_program(f'print({line!r}); print("no json")'))
    assert testing.wait_for(lambda: processes.log('p') != [], TIMEOUT_MS)
    assert processes.log('p') == [{'event': 'started'}]


def test_stop_returns_the_exit_code(processes):
    code = (
        'import signal, sys, time\n'
        'signal.signal(signal.SIGTERM, lambda *_: sys.exit(7))\n'
        'print("{}", flush=True)\n'
        'time.sleep(600)'
    )
    processes.start('p', python_program(code))
    assert testing.wait_for(lambda: processes.log('p') != [], TIMEOUT_MS)
    assert processes.stop('p') == 7


def test_stopping_a_process_that_ignores_sigterm_raises(processes):
    code = (
        'import signal, time\n'
        'signal.signal(signal.SIGTERM, signal.SIG_IGN)\n'
        'print("{}", flush=True)\n'
        'time.sleep(600)'
    )
    processes.start('p', python_program(code))
    assert testing.wait_for(lambda: processes.log('p') != [], TIMEOUT_MS)
    with pytest.raises(testing.ProcessError):
        processes.stop('p', timeout_ms=200)


def test_an_ended_process_is_not_signalled(processes):
    processes.start('p', python_program('pass'))
    assert testing.wait_for(lambda: not processes.is_running('p'), TIMEOUT_MS)
    with pytest.raises(testing.ProcessError):
        processes.freeze('p')
    processes.kill('p')
    assert processes.outages == ()


BUSY_CODE = """
import threading, time
def run():
    while True:
        time.sleep(0.001)
for _ in range(32):
    threading.Thread(target=run, daemon=True).start()
print('{}', flush=True)
time.sleep(600)
"""


@pytest.fixture
def busy_process(processes):
    processes.start('p', python_program(BUSY_CODE))
    assert testing.wait_for(lambda: processes.log('p') != [], TIMEOUT_MS)
    return processes


def thread_states(process_id):
    """Return the states of all threads; ``T`` is that of a stopped one."""
    paths = pathlib.Path(f'/proc/{process_id}/task').glob('*/stat')
    return {path.read_text().rpartition(')')[2].split()[0] for path in paths}


def test_no_thread_runs_on_when_freeze_returns(busy_process):
    for _ in range(20):
        busy_process.freeze('p')
        assert thread_states(busy_process.id_of('p')) == {'T'}
        busy_process.thaw('p')


def test_a_frozen_process_can_be_frozen_again(busy_process):
    busy_process.freeze('p')
    busy_process.freeze('p')
    assert thread_states(busy_process.id_of('p')) == {'T'}
    busy_process.thaw('p')
    assert testing.wait_for(
        lambda: 'T' not in thread_states(busy_process.id_of('p')), TIMEOUT_MS
    )


def test_freezing_a_process_that_ends_first_raises(processes, monkeypatch):
    processes.start('p', python_program('import time; time.sleep(600)'))
    monkeypatch.setattr(
        subprocess.Popen,
        'send_signal',
        lambda process, _number: os.kill(process.pid, signal.SIGKILL),
    )
    with pytest.raises(testing.ProcessError):
        processes.freeze('p')
    assert processes.exit_code('p') == -signal.SIGKILL
    assert processes.outages == ()


def test_free_addresses_differ():
    assert len(set(testing.free_addresses(50))) == 50


class WorkerProcess:
    """A worker process that is connected to a fake gateway."""

    def __init__(self, processes, gateway, folder):
        self.processes = processes
        self.gateway = gateway
        self.address = testing.free_address()
        self.journal = folder / 'journal'
        self.client = testing.WorkerClient(self.address)
        processes.start(
            'w1',
            testing.Program(
                arguments=(
                    sys.executable,
                    '-m',
                    'dandeliondrum.testing.tests.worker_process',
                    self.address,
                    gateway.url,
                    str(self.journal),
                ),
                ready_address=self.address,
            ),
        )
        self.facts = gateway.wait_for_announcement(TIMEOUT_MS)
        # Sent after the worker has received the reply to its announcement;
        # before that, it refuses starts.
        assert gateway.wait_for_heartbeat(lambda _: True, TIMEOUT_MS)

    def start(self, attempt_id, token, **fields):
        return self.client.start(
            testing.Start(
                attempt_id=attempt_id,
                task_id=attempt_id.partition('#')[0],
                token=token,
                incarnation=self.facts.incarnation,
                **fields,
            )
        )

    def events(self, kind):
        events = worker.read_journal(self.journal)
        return [each for each in events if each.kind is kind]

    def check(self):
        return testing.check(
            testing.History(
                worker_events=worker.read_journal(self.journal),
                outages=self.processes.outages,
            )
        )


@pytest.fixture
def worker_process(processes, tmp_path):
    with testing.FakeGateway() as gateway:
        yield WorkerProcess(processes, gateway, tmp_path)


def test_a_killed_worker_restarts_as_another_incarnation(worker_process):
    assert (
        worker_process.start('team/a#1', 1, body=b'{"hang": true}').status
        == 202
    )
    worker_process.processes.kill('w1')
    worker_process.processes.restart('w1')
    facts = worker_process.gateway.wait_for_announcement(TIMEOUT_MS, count=2)
    assert facts.incarnation != worker_process.facts.incarnation
    late = worker_process.start('team/a#1', 1)
    assert (late.status, late.refused) == (409, 'incarnation')
    assert len(worker_process.events(EventKind.START)) == 1
    assert worker_process.check() == ()


def test_a_thawed_worker_stops_an_attempt_whose_lease_expired(worker_process):
    reply = worker_process.start(
        'team/a#1', 1, body=b'{"hang": true}', lease_ms=LEASE_MS
    )
    assert reply.status == 202
    worker_process.processes.freeze('w1')
    time.sleep(1.25 * LEASE_MS / 1000)
    thawed_ms = worker.now_ms()
    worker_process.processes.thaw('w1')
    assert (
        worker_process.client.fetch('team/a#1', wait_ms=TIMEOUT_MS).state
        == 'stopped'
    )
    (end,) = worker_process.events(EventKind.END)
    (frozen,) = worker_process.processes.outages
    assert end.reason == 'lease'
    assert end.state is messages.AttemptState.STOPPED
    assert frozen.from_ms < end.expired_ms < thawed_ms < end.at_ms
    assert thawed_ms <= frozen.until_ms
    assert worker_process.check() == ()


def test_a_start_received_after_a_thaw_does_not_start_a_stopped_attempt(
    worker_process,
):
    # The start waits in the accept queue of the frozen worker. By the time of
    # the thaw, the leader has given up the attempt.
    worker_process.processes.freeze('w1')
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        call = executor.submit(
            worker_process.start, 'team/a#1', 1, wait_ms=1_000
        )
        worker_process.gateway.reply_with(stop=('team/a#1',))
        frozen_ms = worker.now_ms()
        testing.wait_for(
            lambda: worker.now_ms() - frozen_ms > FROZEN_MS, TIMEOUT_MS
        )
        worker_process.processes.thaw('w1')
        reply = call.result()
    assert reply.refused in ('stale_lease', 'fenced')
    heartbeat = worker_process.gateway.wait_for_heartbeat(
        lambda each: each.fenced, TIMEOUT_MS
    )
    assert heartbeat.fenced == ('team/a#1',)
    assert worker_process.events(EventKind.START) == []
