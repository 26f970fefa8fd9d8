"""Tests of the real programs over loopback, with a simulated platform."""

import contextlib
import json
import subprocess
import sys

import pytest

from dandeliondrum import messages
from dandeliondrum import testing

RUN_MS = 100


class Deployment(testing.PlatformCell):
    """A cell with a policy and registered workers."""

    def open(self, **document):
        body = testing.document(**document)
        testing.wait_until(lambda: self.put_document(body) == 200)
        for position, http_worker in enumerate(self.workers):
            testing.wait_until(
                lambda http_worker=http_worker, position=position: (
                    self.report(http_worker, position) == 200
                )
            )
        testing.wait_until(self.ready)

    def submit(self, job_id, count=2):
        step = {'Count': count, 'Cpu': 500, 'MemMb': 10}
        body = json.dumps({'Spec': 'text', 'Steps': [step]}).encode()
        return self.ask('POST', f'/r1/{job_id}', body).status

    def state(self, job_id):
        reply = self.ask('GET', f'/r1/{job_id}')
        return reply.json()['State'] if reply.status == 200 else reply.status

    def starts(self):
        return sorted(
            start
            for http_worker in self.workers
            for start in http_worker.worker.starts
        )


@pytest.fixture
def deployment(tmp_path):
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(testing.Processes(tmp_path))
        workers = testing.make_workers(
            2, messages.Resources(4_000, 1_000), RUN_MS
        )
        yield resources.enter_context(Deployment(tmp_path, processes, workers))


def test_job_runs_to_completion(deployment):
    advice = {'DecideMs': 1.0, 'PeriodMs': 0.1, 'ValidityMs': 2_000}
    deployment.open(Routes=[testing.route(PlacementAdvisor=advice)])
    job_id = '00000000000000a1'
    assert deployment.submit(job_id) == 200
    testing.wait_until(lambda: deployment.state(job_id) == 'completed')
    assert [run for _, run in deployment.starts()] == [1, 1]
    assert deployment.adviser.adviser.requests
    assert deployment.ask('GET', '/r1/').json() == {'Pending': 0}
    assert deployment.state('00000000000000a2') == 410
    assert deployment.ask('DELETE', f'/r1/{job_id}').status == 200


def test_invalid_requests_are_refused_immediately(deployment):
    deployment.open()
    job = '/r1/00000000000000a1'
    unknown_key = {
        'Authorization': 'Token other',
        'Host': 'nony24.example',
    }
    assert deployment.ask('GET', job, headers=unknown_key).status == 401
    assert deployment.ask('GET', '/none/00000000000000a1').status == 404
    assert deployment.ask('POST', job, b'{').status == 400
    assert deployment.ask('POST', '/r1/not-an-id', b'{}').status == 404
    for body in (b'\xff', b'{}', testing.document(Routes=[{}])):
        assert deployment.put_document(body, 1) == 400
    url = f'http://{deployment.control[1]}/instances/i-9'
    assert testing.call(url, 'PUT', b'[]').status == 400
    assert deployment.state('00000000000000a1') == 410


def test_every_controller_returns_newest_document(deployment):
    deployment.open()
    newest = testing.document(4)
    # The set-up does not wait for this controller to start.
    testing.wait_until(lambda: deployment.put_document(newest, 2) == 200)
    older = testing.document(3)
    assert deployment.put_document(older, 1) == 200
    for address in deployment.control:
        reply = testing.wait_until(
            lambda address=address: testing.call(f'http://{address}/config')
        )
        assert (reply.status, reply.body) == (200, newest)


def test_job_completes_after_all_controllers_are_killed(deployment):
    deployment.open()
    for http_worker in deployment.workers:
        http_worker.worker.run_ms = 1_000
    job_id = '00000000000000b1'
    assert deployment.submit(job_id, count=4) == 200
    names = [deployment.controller(number) for number in range(3)]
    for name in names:
        deployment.processes.kill(name)
    for name in names:
        deployment.processes.restart(name)
    testing.wait_until(lambda: deployment.state(job_id) == 'completed')
    tasks = {name for name, _ in deployment.starts()}
    assert len(tasks) == 4


def test_planned_stop_exits_with_zero(deployment):
    deployment.open()
    assert deployment.processes.stop('g0') == 0
    assert deployment.processes.stop(deployment.controller(1)) == 0


def test_the_check_of_a_document_asks_a_real_controller(deployment, tmp_path):
    """Guards against a check that changes the document in force."""
    deployment.open()
    path = tmp_path / 'config.json'
    path.write_bytes(testing.document(2, Routes=[testing.route(Host='a:1')]))
    words = ['check', str(path), '--strict', '--json']
    done = subprocess.run(
        [
            *(sys.executable, '-m', 'dandeliondrum.platform', *words),
            f'--against={deployment.control[0]}',
        ],
        capture_output=True,
        timeout=60,
    )
    assert done.returncode == 5
    assert json.loads(done.stdout)['changes'] == [
        'Version 1 -> 2',
        'Routes "r1": Host "nony24.example" -> "a:1"',
    ]
    assert deployment.read_document(0).body == testing.document()
