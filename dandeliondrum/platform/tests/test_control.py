"""Tests of the control address while the leader does not answer."""

import concurrent.futures
import threading
import time

import pytest
from returns import result

from dandeliondrum import gateway
from dandeliondrum import http_server
from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _control_api
from dandeliondrum import testing

REQUEST_READ_TIMEOUT_MS = 3_000
# After which workers and operators try another controller.
CALLER_PATIENCE_MS = 1_000
WORKERS_COUNT = 48


class StubController:
    """Stub of a controller whose leader answers documents but no reports."""

    def __init__(self):
        self.waiting_count = 0
        # Workers whose calls waited for the leader.
        self.asked = []
        self.shutdowns = []
        # Workers whose reports are acknowledged without the leader, and those
        # whose reports are known but have to wait for it.
        self.acknowledged = set()
        self.unchanged = set()
        self._lock = threading.Lock()

    def acknowledge_report(self, report):
        if report.facts.worker_id in self.acknowledged:
            return object()
        return None

    def has_news(self, report):
        return report.facts.worker_id not in self.unchanged

    def report_worker_shutdown(self, worker_id, timeout_ms, started_ms=0):
        self.shutdowns.append((worker_id, started_ms))
        return self._wait(worker_id, timeout_ms)

    def report_worker(self, report, timeout_ms):
        return self._wait(report.facts.worker_id, timeout_ms)

    def _wait(self, worker_id, timeout_ms):
        with self._lock:
            self.waiting_count += 1
            self.asked.append(worker_id)
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
    limits = http_server.Limits(
        header_bytes_max=16_384,
        body_bytes_max=1_000_000,
        arrival_ms=REQUEST_READ_TIMEOUT_MS,
    )
    server = gateway.Server(
        ('127.0.0.1', 0),
        gateway.Application(
            _control_api.ControlApi(controller).routes(), gateway.Metrics()
        ),
        _control_api.THREADS_COUNT,
        limits,
        http_server.ByteBudget(10_000_000),
    )
    server.open()
    yield server.address
    server.drain(0)


@pytest.fixture
def body():
    worker = testing.FakeWorker('w', messages.Resources(1, 1), 1)
    fake = testing.HttpWorker(worker, '127.0.0.1:0')
    fake.server.start()
    fake.server.close()
    return fake.report()


def test_a_config_does_not_wait_behind_reports(controller, address, body):
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


def test_an_unchanged_report_is_answered_while_other_reports_wait(
    controller, address, body
):
    controller.acknowledged.add('known')

    def report(name):
        return testing.call(
            f'http://{address}/instances/{name}', 'PUT', body
        ).status

    with concurrent.futures.ThreadPoolExecutor(WORKERS_COUNT) as threads:
        for number in range(_control_api.WAITING_REPORTS_MAX):
            threads.submit(report, f'w{number}')
        testing.wait_until(
            lambda: (
                controller.waiting_count == _control_api.WAITING_REPORTS_MAX
            )
        )
        reply = testing.call(f'http://{address}/instances/known', 'PUT', body)
        assert (reply.status, reply.body) == (200, b'{}')


def test_unchanged_reports_leave_room_for_news_and_for_leaves(
    controller, address, body
):
    names = [f'w{number}' for number in range(WORKERS_COUNT)]
    controller.unchanged.update(names)
    room = _control_api.WAITING_REPORTS_MAX - _control_api.WAITING_NEWS_MIN

    def call(name, method='PUT'):
        url = f'http://{address}/instances/{name}'
        return testing.call(url, method, body if method == 'PUT' else b'')

    with concurrent.futures.ThreadPoolExecutor(WORKERS_COUNT) as threads:
        replies = [
            threads.submit(call, name)
            for name in names[: _control_api.WAITING_REPORTS_MAX]
        ]
        testing.wait_until(
            lambda: (
                sum(one.done() for one in replies)
                == _control_api.WAITING_NEWS_MIN
            )
        )
        assert controller.waiting_count == room
        threads.submit(call, 'draining')
        threads.submit(call, 'leaving', 'DELETE')
        testing.wait_until(
            lambda: {'draining', 'leaving'} <= set(controller.asked)
        )


def test_a_shutdown_may_tell_its_incarnation(controller, address):
    url = f'http://{address}/instances/w'
    for body in (b'', b'{}', b'{"born": 1700000000000}'):
        testing.call(url, 'DELETE', body)
    assert controller.shutdowns == [('w', 0), ('w', 0), ('w', 1700000000000)]
    for body in (b'[', b'{"born": "1"}', b'{"born": 1e999}'):
        assert testing.call(url, 'DELETE', body).status == 400
    assert len(controller.shutdowns) == 3
