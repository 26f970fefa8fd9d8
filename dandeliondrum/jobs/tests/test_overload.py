"""A cell beyond its capacity: it refuses new work and keeps the rest."""

import concurrent.futures
import contextlib
import dataclasses
import functools
import itertools
import multiprocessing
import threading
import time

import pytest
from returns import result

from dandeliondrum.consensus import _options
from dandeliondrum import jobs
from dandeliondrum.jobs import _admission
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_cell
from dandeliondrum import testing

GATEWAYS_COUNT = 2
CALLERS_PER_GATEWAY = 32
# A leader that needs this long for a command is overloaded by the callers.
SLOW_COMMAND_MS = 30
OVERLOAD_MS = 7_000
# The time that a gateway has to answer a caller.
CALLER_BUDGET_MS = 2_850
REFUSAL_MAX_MS = 1_000
# Within this time urgent work starts; before that it is accepted.
START_MAX_MS = 1_300
# Time in which a leader has to notice an overload and work off its backlog.
ONSET_MS = 3_500
DOCUMENT_TIMEOUT_MS = 2_500
DOCUMENT_ACK_MAX_MS = 6_000
DOCUMENT_IN_FORCE_MAX_MS = 3_000
REPORT_TIMEOUT_MS = 900
RECOVERY_MAX_MS = 3_000
FEW_CALLERS = 4
TURNS_COUNT = 8
TURN_MS = 250
# All controllers share one interpreter, which would delay their heartbeats.
ELECTION_MIN_MS = 1_500


class SlowLeader:
    """Delays and counts the commands that the leader of a cell applies."""

    def __init__(self, controller):
        self.command_ms = 0
        self.commands_count = 0
        self._apply = controller.state.apply
        controller.state.apply = self._apply_slowly

    def _apply_slowly(self, index, command):
        if self.command_ms:
            time.sleep(self.command_ms / 1000)
        self.commands_count += 1
        return self._apply(index, command)


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job that a caller submitted, and the outcome.

    ``commands_count`` is the number of commands that the leader applied in
    the meantime.
    """

    name: str
    began_s: float
    took_ms: float
    commands_count: int
    outcome: result.Result

    def accepted(self):
        return isinstance(self.outcome, result.Success)

    def refusal(self):
        return None if self.accepted() else self.outcome.failure()


class Callers:
    """Callers that submit one job after the other to a gateway each.

    A caller that was refused returns after its Retry-After.
    """

    def __init__(self, gateways, callers_count, leader):
        self.submissions = []
        self._leader = leader
        self._stopping = threading.Event()
        self._threads = concurrent.futures.ThreadPoolExecutor(callers_count)
        self._names = itertools.count()
        self._prefix = f'{id(self):x}'
        self._futures = [
            self._threads.submit(self._run, gateways[number % len(gateways)])
            for number in range(callers_count)
        ]

    def stop(self):
        self._stopping.set()
        self._threads.shutdown()
        for future in self._futures:
            future.result()

    def _run(self, gateway):
        while not self._stopping.is_set():
            name = f'{self._prefix}-{next(self._names)}'
            spec = helpers.job(name, helpers.step(), submitted_ms=1)
            began_s = time.monotonic()
            began_count = self._leader.commands_count
            outcome = gateway.submit(spec, CALLER_BUDGET_MS)
            submission = Submission(
                name,
                began_s,
                (time.monotonic() - began_s) * 1000,
                self._leader.commands_count - began_count,
                outcome,
            )
            self.submissions.append(submission)
            refusal = submission.refusal()
            if refusal is not None:
                self._stopping.wait(refusal.retry_after_ms / 1000)


class Operator:
    """Changes the document again and again, and waits until it is in force."""

    def __init__(self, cell):
        self.ack_ms = []
        self.in_force_ms = []
        self._cell = cell

    def run(self, stopping):
        for version in itertools.count(2):
            if stopping.is_set():
                return
            controllers = itertools.cycle(self._cell.controllers.values())
            began_s = time.monotonic()
            while isinstance(
                next(controllers).change_document(
                    version, helpers.document(version), DOCUMENT_TIMEOUT_MS
                ),
                result.Failure,
            ):
                time.sleep(0.05)
            acked_s = time.monotonic()
            self.ack_ms.append((acked_s - began_s) * 1000)
            testing.wait_until(
                functools.partial(self._in_force, version),
                2 * DOCUMENT_IN_FORCE_MAX_MS,
            )
            self.in_force_ms.append((time.monotonic() - acked_s) * 1000)
            stopping.wait(0.2)

    def _in_force(self, version):
        return self._cell.gateway.policy.version >= version


class Reporters:
    """Reports the unchanged workers to each controller in turn."""

    def __init__(self, cell):
        self.failed = []
        self.answered_count = 0
        self._cell = cell

    def run(self, stopping):
        for sequence in itertools.count(100):
            for controller in self._cell.controllers.values():
                for worker in self._cell.fleet:
                    if stopping.is_set():
                        return
                    outcome = controller.report_worker(
                        jobs.WorkerReport(worker.facts, sequence),
                        REPORT_TIMEOUT_MS,
                    )
                    if isinstance(outcome, result.Failure):
                        self.failed.append(outcome.failure())
                    else:
                        self.answered_count += 1
            stopping.wait(0.05)


@pytest.fixture
def cell(tmp_path):
    with contextlib.ExitStack() as resources:
        cell = test_cell.Cell(tmp_path, resources, ELECTION_MIN_MS)
        cell.open()
        yield cell


@contextlib.contextmanager
def in_background(*functions):
    """Run functions in threads until the context ends."""
    stopping = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(len(functions)) as threads:
        with contextlib.ExitStack() as resources:
            resources.callback(stopping.set)
            futures = [threads.submit(one, stopping) for one in functions]
            yield
        for future in futures:
            future.result()


class JobRate:
    """Measures how many jobs a second a few callers can submit to a cell."""

    def __init__(self, gateways, leader):
        self.submissions = []
        self._gateways = gateways
        self._leader = leader

    def measure(self, duration_ms):
        began_s = time.monotonic()
        callers = Callers(self._gateways, FEW_CALLERS, self._leader)
        time.sleep(duration_ms / 1000)
        callers.stop()
        self.submissions += callers.submissions
        assert not [one for one in callers.submissions if not one.accepted()]
        return len(callers.submissions) / (time.monotonic() - began_s)


class ControlCell:
    """A cell of another process, which is never overloaded.

    Its rate shows what the machine allows at the moment.
    """

    def __init__(self, folder, resources):
        folder.mkdir()
        spawn = multiprocessing.get_context('spawn')
        self._requests, served = spawn.Pipe()
        process = spawn.Process(target=serve_rates, args=(folder, served))
        process.start()
        resources.callback(process.join)
        resources.callback(self._requests.send, None)

    def measure(self, duration_ms):
        self._requests.send(duration_ms)
        return self._requests.recv()


def serve_rates(folder, requests):
    """Open a cell and answer each duration with the rate measured then."""
    with contextlib.ExitStack() as resources:
        log = resources.enter_context((folder / 'log').open('w'))
        resources.enter_context(contextlib.redirect_stdout(log))
        cell = test_cell.Cell(folder, resources, ELECTION_MIN_MS)
        cell.open()
        job_rate = JobRate(open_gateways(cell), slow_leader(cell))
        while (duration_ms := requests.recv()) is not None:
            requests.send(job_rate.measure(duration_ms))


def relative_rate(job_rate, control):
    """Return the rate of a cell relative to that of the control cell.

    They are measured in turns, since the load of the machine may change.
    """
    rates = [
        (job_rate.measure(TURN_MS), control.measure(TURN_MS))
        for _ in range(TURNS_COUNT)
    ]
    print('rates of the cell and of the control cell', rates)
    own, control_rate = (sum(column) for column in zip(*rates, strict=True))
    return own / control_rate


def open_gateways(cell):
    gateways = [cell.gateway] + [
        cell.new_gateway(f'g{number}')
        for number in range(2, GATEWAYS_COUNT + 1)
    ]
    testing.wait_until(lambda: all(one.has_leader() for one in gateways))
    return gateways


def slow_leader(cell):
    return SlowLeader(cell.controllers[cell.wait_leader()])


@pytest.fixture
def control(tmp_path):
    with contextlib.ExitStack() as resources:
        yield ControlCell(tmp_path / 'control', resources)


def test_an_overloaded_leader_refuses_new_jobs_and_keeps_accepted_ones(
    cell, control
):
    gateways = open_gateways(cell)
    leader = cell.wait_leader()
    slow = SlowLeader(cell.controllers[leader])
    old_rate = relative_rate(JobRate(gateways, slow), control)

    operator, reporters = Operator(cell), Reporters(cell)
    slow.command_ms = SLOW_COMMAND_MS
    with in_background(operator.run, reporters.run):
        began_s = time.monotonic()
        callers = Callers(gateways, GATEWAYS_COUNT * CALLERS_PER_GATEWAY, slow)
        time.sleep(OVERLOAD_MS / 1000)
        callers.stop()
    slow.command_ms = 0
    ended_s = time.monotonic()

    assert cell.leader() == leader
    accepted = [one for one in callers.submissions if one.accepted()]
    refusals = [one for one in callers.submissions if not one.accepted()]
    assert accepted and refusals
    assert all(one.refusal().not_done for one in refusals)
    assert all(one.refusal().retry_after_ms >= 1_000 for one in refusals)
    assert max(one.took_ms for one in refusals) < REFUSAL_MAX_MS
    later_counts = [
        one.commands_count
        for one in accepted
        if one.began_s > began_s + ONSET_MS / 1000
    ]
    # In commands, since on a busy machine each takes longer than intended.
    assert later_counts
    assert max(later_counts) * SLOW_COMMAND_MS < START_MAX_MS
    # Delays that are no commands are bounded, too.
    assert max(one.took_ms for one in accepted) < CALLER_BUDGET_MS
    assert max(operator.ack_ms) < DOCUMENT_ACK_MAX_MS
    assert max(operator.in_force_ms) < DOCUMENT_IN_FORCE_MAX_MS
    assert reporters.failed == [] and reporters.answered_count

    for one in accepted:
        cell.wait_done(one.name)
    starts = {task for task, _ in cell.starts()}
    assert not any(f'{one.name}.0.0.0' in starts for one in refusals)
    left_s = ended_s + RECOVERY_MAX_MS / 1000 - time.monotonic()
    time.sleep(max(0, left_s))
    job_rate = JobRate(gateways, slow)
    new_rate = relative_rate(job_rate, control)
    assert new_rate > old_rate / 2
    for one in job_rate.submissions:
        cell.wait_done(one.name)


def test_a_repeated_submission_is_not_refused_in_an_overload(
    cell, monkeypatch
):
    """Its job may run, which a refusal would deny."""
    cell.submit('j', helpers.step())
    monkeypatch.setattr(
        _admission.Admission, 'retry_after_ms', lambda *_: 1_500
    )
    cell.submit('j', helpers.step())
    spec = helpers.job('k', helpers.step())
    refusal = cell.gateway.submit(spec, CALLER_BUDGET_MS).failure()
    assert refusal.not_done and refusal.retry_after_ms == 1_500
    cell.wait_done('j')
    assert [task for task, _ in cell.starts()] == ['j.0.0.0']


def test_a_gateway_does_not_refuse_a_job_that_was_accepted(cell, monkeypatch):
    cell.submit('j', helpers.step())
    monkeypatch.setattr(
        _admission.Admission, 'retry_after_ms', lambda *_: 1_500
    )
    spec = helpers.job('k', helpers.step())
    assert isinstance(
        cell.gateway.submit(spec, CALLER_BUDGET_MS), result.Failure
    )
    again = helpers.job('j', helpers.step())
    assert isinstance(
        cell.gateway.submit(again, CALLER_BUDGET_MS), result.Success
    )


def test_a_full_log_queue_does_not_close_the_streams_to_gateways(
    cell, monkeypatch
):
    monkeypatch.setattr(_options, 'UNAPPLIED_PROPOSALS_MAX', 0)
    spec = helpers.job('j', helpers.step())
    refusal = cell.gateway.submit(spec, CALLER_BUDGET_MS).failure()
    assert refusal.not_done and refusal.retry_after_ms == 1_000
    assert cell.gateway.has_leader()
    query = cell.gateway.query('j', helpers.TEAM, CALLER_BUDGET_MS)
    assert query.failure().retry_after_ms == 1_000
    assert cell.gateway.has_leader()
