"""From the lists of workers to the inputs of the planner."""

from prometheus_client import exposition
import pytest
import structlog

from dandeliondrum import jobs
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _scheduler
from dandeliondrum.jobs import _speed_refresher
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_scheduler
from dandeliondrum import messages
from dandeliondrum import utils

WORKERS = [f'w{number}' for number in range(8)]
SLOW = WORKERS[:2]
RUN_MS = 2_000
STARTED_MS = 1


class Leader:
    """A leader that reads the lists of workers of which two are slow."""

    def __init__(self, monkeypatch):
        self.now_ms = 0
        monkeypatch.setattr(_clock, 'elapsed_ms', lambda: self.now_ms)
        self.machine = helpers.Machine(WORKERS)
        self.term = helpers.new_term(helpers.LocalNode(self.machine))
        for worker_id in WORKERS:
            peer = test_scheduler.ReadyPeer(helpers.facts(worker_id))
            peer.facts_are_former = lambda: False
            self.term.peers[peer.facts.worker_id] = peer
        self.workers = _workers.Workers(self.term, utils.Supervisor('test'))
        self.scheduler = _scheduler.Scheduler(self.term)
        self.refresher = _speed_refresher.SpeedRefresher(self.term)

    def run_job(self, name):
        """Run a task on each worker until it is listed as done."""
        spec = helpers.step(len(WORKERS), expected_run_ms=RUN_MS)
        self.machine(_commands.SubmitJob(helpers.job(name, spec)))
        keys = {
            worker_id: jobs.TaskKey(jobs.JobId(name), 0, index)
            for index, worker_id in enumerate(WORKERS)
        }
        for worker_id, key in keys.items():
            assert self.machine.assign(str(key), worker_id=worker_id)
        for step in range(1, 11):
            self.now_ms += 500
            for worker_id, key in keys.items():
                rate = 0.55 if worker_id in SLOW else 1.2
                self.list(worker_id, key, 100 * 500 * step * rate / RUN_MS)
        for key in keys.values():
            self.machine.end(str(key))

    def list(self, worker_id, key, percent):
        runs = (jobs.RunListing(key, 1, '', percent),)
        ends = ()
        if percent >= 100:
            end = jobs.RunEnd(key, 1, jobs.RunOutcome.DONE)
            runs, ends = (), (jobs.EndListing(1, end),)
        self.workers.misplaced(
            messages.WorkerId(worker_id),
            jobs.WorkerListing(self.now_ms, STARTED_MS, runs, ends),
        )

    def planned_speeds(self):
        """Return the speeds of the workers of the next round."""
        inputs = self.scheduler._read_inputs(_scheduler._LockTimes())
        return {one.worker_id: one.speed for one in inputs.workers}


@pytest.fixture
def leader(monkeypatch):
    return Leader(monkeypatch)


def test_slow_workers_are_known_to_the_next_round(leader):
    for number in range(6):
        leader.run_job(f'j{number}')
    with structlog.testing.capture_logs() as logs:
        leader.refresher.refresh()
    leader.machine(_commands.SubmitJob(helpers.job('next', helpers.step())))
    speeds = leader.planned_speeds()
    assert {one for one, speed in speeds.items() if speed < 1} == set(SLOW)
    assert speeds['w0'] == pytest.approx(0.55 / 1.2, abs=0.1)
    line = logs[0]
    assert line['event'] == 'worker speeds changed'
    assert (line['uneven'], line['slow_count']) == (True, 2)
    assert line['changed']['w0'].startswith('slow 0.')
    text = exposition.generate_latest(leader.term.metrics.registry).decode()
    gauge = 'dandeliondrum_jobs_workers_by_speed{pool="pool",tier="slow"}'
    assert f'{gauge} 2.0' in text


def test_a_change_is_logged_once(leader):
    for number in range(6):
        leader.run_job(f'j{number}')
    leader.refresher.refresh()
    with structlog.testing.capture_logs() as logs:
        leader.refresher.refresh()
    assert logs == []


def test_a_demand_knows_how_long_it_may_wait(leader):
    # Without that it would wait for fast workers for ever, or not at all.
    leader.scheduler._read_inputs(_scheduler._LockTimes())
    spec = helpers.step(expected_run_ms=RUN_MS)
    leader.machine(_commands.SubmitJob(helpers.job('j', spec)))
    (demand,) = leader.scheduler._read_inputs(_scheduler._LockTimes()).demands
    assert demand.slack_left_ms == demand.slack_ms > 0
    leader.now_ms += demand.slack_ms + 1
    (demand,) = leader.scheduler._read_inputs(_scheduler._LockTimes()).demands
    assert demand.slack_left_ms == -1 and demand.is_late


def test_the_progress_of_a_run_counts_for_what_is_left(leader):
    spec = helpers.step(expected_run_ms=RUN_MS, checkpointing=True)
    leader.machine(_commands.SubmitJob(helpers.job('j', spec)))
    assert leader.machine.assign('j.0.0.0', worker_id='w3')
    key = jobs.parse_task_key('j.0.0.0')
    leader.list('w3', key, 75)
    peers = leader.term.peers
    peers['w3'].orders.mark_listed(key, 1, '')
    (run,) = leader.scheduler._preemptible_runs(peers, 'w3')
    assert leader.scheduler._left_ms(run) == RUN_MS / 4
