"""The real programs over loopback, against the platform's stand-in."""

import contextlib
import json
import sys
import time

import pytest

from dandeliondrum import messages
from dandeliondrum.platform.tests import helpers
from dandeliondrum import testing

PATIENCE_S = 40
KEY = {'Authorization': 'Token k1', 'Host': 'nony24.example'}
# Controllers are known by their IP numbers, so each has one of its own.
IPS = ('127.0.0.2', '127.0.0.3', '127.0.0.4')
RUN_MS = 100


def wait_for(condition):
    end_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError('the condition did not come about')


class Deployment:
    """Three controllers, a gateway, two workers and an adviser."""

    def __init__(self, folder, processes, resources):
        self.folder = folder
        self.processes = processes
        control, stream = (
            testing.free_address().rpartition(':')[2] for _ in range(2)
        )
        self.control = [f'{ip}:{control}' for ip in IPS]
        self.callers = testing.free_address()
        self.readiness = testing.free_address()
        self.adviser = testing.HttpAdviser(testing.free_address())
        self.workers = [
            testing.HttpWorker(
                testing.FakeWorker(
                    f'i-{number}', messages.Resources(4_000, 1_000), RUN_MS
                ),
                testing.free_address(),
            )
            for number in range(2)
        ]
        for one in (self.adviser, *self.workers):
            one.server.start()
            resources.callback(one.server.close)
        common = {
            **helpers.SETTINGS,
            'Seeds': ','.join(self.control),
            'PortRange': f'{stream},{stream}',
            'PlacementAdvisor': self.adviser.server.address,
            'FaultTolerance.Machines': '1',
        }
        for ip, address in zip(IPS, self.control, strict=True):
            self.launch(
                f'c-{ip}',
                'controller',
                {
                    **common,
                    'Ip': ip,
                    'Listen.Control': address,
                    'DataDir': str(folder / ip),
                },
            )
        self.launch(
            'g',
            'gateway',
            {
                **common,
                'Ip': '127.0.0.5',
                'Listen.Front': self.callers,
                'Listen.Ready': self.readiness,
            },
        )

    def launch(self, name, role, settings):
        path = self.folder / f'{name}.conf'
        path.write_text('\n'.join(helpers.lines(settings)))
        self.processes.launch(
            name,
            testing.Program(
                arguments=(
                    sys.executable,
                    '-m',
                    'dandeliondrum.platform',
                    role,
                ),
                environment=(('DANDELIONDRUM_SETTINGS', str(path)),),
            ),
        )

    def put(self, address, path, body):
        reply = testing.call(f'http://{address}{path}', 'PUT', body)
        return reply.status

    def open(self, **document):
        body = helpers.document(**document)
        wait_for(lambda: self.put(self.control[0], '/config', body) == 200)
        for position, one in enumerate(self.workers):
            path = f'/instances/{one.worker.facts.worker_id}'
            address = self.control[position]
            wait_for(
                lambda path=path, one=one, address=address: (
                    self.put(address, path, one.report()) == 200
                )
            )
        wait_for(
            lambda: (
                testing.call(f'http://{self.readiness}/ready').status == 200
            )
        )

    def ask(self, method, path, body=None, headers=None):
        return testing.call(
            f'http://{self.callers}{path}', method, body, headers or KEY
        )

    def submit(self, job_id, count=2):
        step = {'Count': count, 'Cpu': 500, 'MemMb': 10}
        body = json.dumps({'Spec': 'text', 'Steps': [step]}).encode()
        return self.ask('POST', f'/r1/{job_id}', body).status

    def state(self, job_id):
        reply = self.ask('GET', f'/r1/{job_id}')
        return reply.json()['State'] if reply.status == 200 else reply.status

    def starts(self):
        return sorted(
            start for one in self.workers for start in one.worker.starts
        )


@pytest.fixture
def deployment(tmp_path):
    with contextlib.ExitStack() as resources:
        processes = resources.enter_context(testing.Processes(tmp_path))
        yield Deployment(tmp_path, processes, resources)


def test_a_job_goes_all_the_way(deployment):
    advice = {'DecideMs': 1.0, 'PeriodMs': 0.1, 'ValidityMs': 2_000}
    deployment.open(Routes=[helpers.route(PlacementAdvisor=advice)])
    job_id = '00000000000000a1'
    assert deployment.submit(job_id) == 200
    wait_for(lambda: deployment.state(job_id) == 'completed')
    assert [run for _, run in deployment.starts()] == [1, 1]
    assert deployment.adviser.adviser.asked
    assert deployment.ask('GET', '/r1/').json() == {'Pending': 0}
    assert deployment.state('00000000000000a2') == 410
    assert deployment.ask('DELETE', f'/r1/{job_id}').status == 200


def test_what_is_not_allowed_is_refused_at_once(deployment):
    deployment.open()
    job = '/r1/00000000000000a1'
    unknown_key = {**KEY, 'Authorization': 'Token other'}
    assert deployment.ask('GET', job, headers=unknown_key).status == 401
    assert deployment.ask('GET', '/none/00000000000000a1').status == 404
    assert deployment.ask('POST', job, b'{').status == 400
    assert deployment.ask('POST', '/r1/not-an-id', b'{}').status == 404
    for body in (b'\xff', b'{}', helpers.document(Routes=[{}])):
        assert deployment.put(deployment.control[1], '/config', body) == 400
    bad = deployment.put(deployment.control[1], '/instances/i-9', b'[]')
    assert bad == 400
    assert deployment.state('00000000000000a1') == 410


def test_the_newest_document_is_read_back_at_any_controller(deployment):
    deployment.open()
    newest = helpers.document(4)
    assert deployment.put(deployment.control[2], '/config', newest) == 200
    older = helpers.document(3)
    assert deployment.put(deployment.control[1], '/config', older) == 200
    for address in deployment.control:
        reply = wait_for(
            lambda address=address: testing.call(f'http://{address}/config')
        )
        assert (reply.status, reply.body) == (200, newest)


def test_all_controllers_are_killed_and_nothing_is_lost(deployment):
    deployment.open()
    for one in deployment.workers:
        one.worker.run_ms = 1_000
    job_id = '00000000000000b1'
    assert deployment.submit(job_id, count=4) == 200
    for ip in IPS:
        deployment.processes.kill(f'c-{ip}')
    for ip in IPS:
        deployment.processes.restart(f'c-{ip}')
    wait_for(lambda: deployment.state(job_id) == 'completed')
    tasks = {name for name, _ in deployment.starts()}
    assert len(tasks) == 4


def test_a_gateway_that_is_stopped_ends_with_zero(deployment):
    deployment.open()
    assert deployment.processes.stop('g') == 0
    assert deployment.processes.stop(f'c-{IPS[1]}') == 0
