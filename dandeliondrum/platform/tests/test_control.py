"""Tests of the control address while the leader does not answer."""

import concurrent.futures
import threading
import time

import pytest
from returns import result

from dandeliondrum import gateway
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _control_api
from dandeliondrum import testing
from dandeliondrum import utils

REQUEST_READ_TIMEOUT_MS = 3_000
# After which workers and operators try another controller.
CALLER_PATIENCE_MS = 1_000
WORKERS_COUNT = 48


class StubController:
    """Stub of a controller whose leader answers documents but no reports."""

    def __init__(self):
        self.waiting_count = 0
        self._lock = threading.Lock()

    def report_worker(self, report, timeout_ms):
        with self._lock:
            self.waiting_count += 1
        time.sleep(timeout_ms / 1000)
        with self._lock:
            self.waiting_count -= 1
        return result.Failure(jobs.Unavailable('no answer', False))

    def change_document(self, version, document, timeout_ms):
        return result.Success(jobs.Policy(version))


@pytest.fixture
def controller():
    return StubController()


@pytest.fixture
def address(controller):
    timers = utils.TimerService()
    timers.start()
    server = gateway.Server(
        ('127.0.0.1', 0),
        gateway.Application(
            _control_api.ControlApi(controller).routes(), gateway.Metrics()
        ),
        _control_api.THREADS_COUNT,
        timers,
        REQUEST_READ_TIMEOUT_MS,
    )
    server.open()
    yield server.address
    server.drain(0)
    timers.close()


def test_a_config_does_not_wait_behind_reports(controller, address):
    worker = testing.FakeWorker('w', messages.Resources(1, 1), 1)
    fake = testing.HttpWorker(worker, '127.0.0.1:0')
    fake.server.start()
    fake.server.close()
    body = fake.report()

    def report(number):
        url = f'http://{address}/instances/w{number}'
        return testing.call(url, 'PUT', body).status

    with concurrent.futures.ThreadPoolExecutor(WORKERS_COUNT) as threads:
        reports = [
            threads.submit(report, number) for number in range(WORKERS_COUNT)
        ]
        testing.wait_until(
            lambda: (
                controller.waiting_count == _control_api.WAITING_REPORTS_MAX
            )
        )
        began_s = time.monotonic()
        reply = testing.call(
            f'http://{address}/config', 'PUT', testing.document()
        )
        took_ms = (time.monotonic() - began_s) * 1000
        assert {one.result() for one in reports} == {503}
    assert reply.status == 200
    assert took_ms < CALLER_PATIENCE_MS
