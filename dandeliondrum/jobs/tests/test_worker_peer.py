"""Management of one worker, tested with an in-memory worker."""

import contextlib
import dataclasses
import threading
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _order_sender
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import utils

TIMEOUT_S = 20


@dataclasses.dataclass
class FakeRecording:
    """Ends that are committed if ``recorded``, refused if it is False."""

    recorded: bool | None = None

    def wait(self, timeout_s):
        return self.recorded


class FakeLeader:
    """Leader that records ends in a local state machine, without a log."""

    def __init__(self, worker, lease_ms=1_000):
        self.machine = helpers.Machine(())
        self.machine(_commands.PutWorker(worker.facts))
        self.worker = worker
        self.acting = True
        self.outcomes = []
        self.gone_ids = []
        self.started_ids = set()
        self.crashed_ids = []
        self.refusals = []
        self.withheld_runs = []
        self.lease_ms = lease_ms
        self.log_refuses = False
        self.stopping = threading.Event()
        self.peer = self.open_peer(messages.Term(1))

    def open_peer(self, term):
        return _worker_peer.WorkerPeer(
            self.worker.facts,
            term,
            testing.FakeFleet([self.worker]),
            self,
            _worker_peer.PeerOptions(self.lease_ms, self.lease_ms),
        )

    def submit(self, name, *steps):
        self.machine(_commands.SubmitJob(helpers.job(name, *steps)))

    def start(self, task, run=1):
        key = jobs.parse_task_key(task)
        self.peer.orders.plan(key, _orders.Order(run, 'payload', '', ''))
        assert self.machine.assign(task, run, self.worker.facts.worker_id)
        self.peer.orders.dispatch(key)

    def may_act(self):
        return self.acting

    def record(self, ends):
        if self.log_refuses:
            return False
        with self.machine.state.lock:
            self.machine(_commands.EndRuns(ends))
            self.outcomes += [
                (str(end.task), end.run, end.outcome.name) for end in ends
            ]
        return True

    def started(self, job_ids):
        self.started_ids.update(job_ids)

    def begin_record(self, ends):
        return FakeRecording(self.record(ends))

    def confirm(self, runs):
        self.machine(_commands.EndRuns((), (), tuple(runs)))

    def confirmed(self, tasks):
        state = self.machine.state
        with state.lock:
            return {
                key
                for key in tasks
                if state.jobs[key.job_id].task(key).is_confirmed
            }

    def assigned(self, worker_id):
        with self.machine.state.lock:
            return dict(self.machine.state.workers[worker_id].runs)

    def fits(self, facts):
        with self.machine.state.lock:
            used = self.machine.state.workers[facts.worker_id].used
            return used.fits_in(facts.capacity)

    def is_evacuated(self, facts):
        return self.machine.state.is_evacuated(facts)

    def withheld(self, worker_id, task, run):
        self.withheld_runs.append((str(task), run))

    def suspects(self, tasks):
        with self.machine.state.lock:
            return self.machine.state.suspects.intersection(tasks)

    def worker_crashed(self, worker_id, ends):
        self.crashed_ids.append(worker_id)

    def obsolete(self, runs):
        state = self.machine.state
        with state.lock:
            return [
                (key, run)
                for key, run in runs
                if _workers._is_obsolete(state.jobs[key.job_id], key, run)
            ]

    def misplaced(self, worker_id, lists):
        """Return nothing; progress is tested elsewhere."""
        return []

    def refused(self, worker_id, task, reason, was_late):
        self.refusals.append(reason)

    def worker_replaced(self, worker_id, started_ms):
        self.gone_ids.append(worker_id)

    def request_round(self):
        """Do nothing; there is no scheduler."""


@contextlib.contextmanager
def serving(leader, peer=None):
    peer = peer or leader.peer
    threads = [
        threading.Thread(target=task, args=(leader.stopping,))
        for task in (peer.watch, *2 * (peer.sender.run,))
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        leader.stopping.set()
        peer.close()
        for thread in threads:
            thread.join()
        leader.stopping.clear()


@pytest.fixture
def worker():
    return testing.FakeWorker('w1', messages.Resources(4_000, 100), 50)


def test_a_run_is_started_and_its_end_recorded(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def test_a_start_carried_out_late_does_not_run_twice(worker):
    worker.run_ms = 400
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
        worker.delays_starts = False
        testing.wait_until(worker.running)
        worker.carry_out_late_starts()
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )
        worker.carry_out_late_starts()
    assert worker.starts == [('j.0.0.0', 1)]


def test_a_start_that_is_never_answered_is_fenced_off_before_another(worker):
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: ('j.0.0.0', 1, 'LOST') in leader.outcomes)
        worker.carry_out_late_starts()
    assert worker.starts == []


def test_a_silent_worker_keeps_its_runs_until_the_lease_is_over(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker, lease_ms=600)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.silent = True
        testing.wait_until(lambda: leader.outcomes)
        assert worker.running() == {}
    assert leader.outcomes == [('j.0.0.0', 1, 'LAPSED')]


def test_a_new_leader_finds_runs_that_were_not_listed(worker):
    """A run that was assigned but never started is recorded as lost."""
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    assert leader.machine.assign('j.0.0.0')
    with serving(leader):
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_start_of_an_earlier_leader_is_fenced_off(worker):
    """The order arrives after the next leader has recorded the run as lost."""
    earlier = FakeLeader(worker)
    earlier.submit('j', helpers.step())
    with serving(earlier):
        testing.wait_until(earlier.peer.usable)
        worker.delays_starts = True
        earlier.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
    earlier.peer = earlier.open_peer(messages.Term(2))
    with serving(earlier):
        testing.wait_until(lambda: earlier.outcomes)
        worker.carry_out_late_starts()
    assert worker.starts == []
    assert earlier.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_worker_that_restarts_under_the_same_id_loses_its_runs(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.restart()
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'CRASHED')]


def test_a_late_start_to_a_restarted_worker_is_fenced_off(worker):
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.delays_starts = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: worker.late_starts)
        worker.restart()
        testing.wait_until(lambda: leader.outcomes)
        worker.carry_out_late_starts()
    assert leader.outcomes == [('j.0.0.0', 1, 'CRASHED')]
    assert worker.starts == []


class _MuteFleet(testing.FakeFleet):
    """Its calls are carried out, but not answered while it is ``mute``."""

    def __init__(self, workers):
        super().__init__(workers)
        self.mute = False
        # Becomes mute once lists of this incarnation were read.
        self.mute_from_ms = None

    def renew(self, request):
        outcome = super().renew(request)
        if self.mute:
            return jobs.Unanswered(True, 'mute')
        self.mute = outcome.started_ms == self.mute_from_ms
        return outcome

    def start(self, order):
        outcome = super().start(order)
        return jobs.Unanswered(True, 'mute') if self.mute else outcome


def test_a_restarted_worker_gets_no_lease_on_its_former_clock(worker):
    """Such a lease lasts longer than the leader waits for it to expire."""
    worker.run_ms = 60_000
    worker._started_s -= 100
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    fleet = leader.peer._state.port = _MuteFleet([worker])
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        fleet.mute_from_ms = worker.facts.started_ms + 1
        worker.restart()
        testing.wait_until(lambda: fleet.mute)
        testing.wait_until(lambda: not leader.peer._state.is_responding)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
        assert worker.starts == []


def test_an_end_after_a_restart_is_not_acknowledged_unread(worker):
    """The numbers of ends start anew, so old numbers name unread ends."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step(2))
    port = testing.FakeFleet([worker])
    is_cut = threading.Event()

    def renew(request):
        if is_cut.is_set():
            return jobs.Unanswered(False, 'link cut')
        return worker.renew(request)

    port.renew = renew
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes and not worker._ends)
        is_cut.set()
        worker.restart()
        leader.start('j.0.0.1')
        testing.wait_until(
            lambda: len(worker.starts) == 2 and not worker.running()
        )
        is_cut.clear()
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )
    assert leader.outcomes[-1] == ('j.0.0.1', 1, 'DONE')


def test_ends_are_acknowledged_only_right_after_they_were_read(worker):
    """A read that is not answered may be carried out after a restart."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    port = testing.FakeFleet([worker])
    acknowledged = []

    def renew(request):
        acknowledged.append(request.acknowledged_number)
        if acknowledged[-1] and acknowledged.count(1) == 1:
            return jobs.Unanswered(True, 'request lost')
        return worker.renew(request)

    port.renew = renew
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes and not worker._ends)
        reads_count = len(acknowledged)
        testing.wait_until(lambda: len(acknowledged) > reads_count)
    first = acknowledged.index(1)
    assert acknowledged[first : first + 4] == [1, 0, 1, 0]
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def run(leader, task):
    """Start a run at the worker and wait for its end."""
    worker = leader.worker
    key = jobs.parse_task_key(task)
    assert leader.machine.assign(task, 1, worker.facts.worker_id)
    order = jobs.StartOrder(
        worker.facts, leader.peer._state.token, key, 1, '', 60_000, '', ''
    )
    assert isinstance(worker.start(order), jobs.Accepted)
    testing.wait_until(lambda: not worker.running())


def test_ends_of_a_reported_restart_are_not_acknowledged_unread(worker):
    """The restart is known from the worker's report before the next read."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step(2))
    peer = leader.peer
    assert peer._read_once()
    assert peer._read_once()
    run(leader, 'j.0.0.0')
    assert peer._read_once()
    worker.restart()
    peer.facts = worker.facts
    run(leader, 'j.0.0.1')
    assert peer._read_once()
    assert peer._read_once()
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE'), ('j.0.0.1', 1, 'DONE')]


def test_ends_are_not_acknowledged_to_a_restart_reported_meanwhile(worker):
    """The restart is reported while the log commits the ends."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    requests = _record_reads(leader)
    peer, record = leader.peer, leader.record

    def restart_meanwhile(ends):
        worker.restart()
        peer.facts = worker.facts
        return record(ends)

    leader.record = restart_meanwhile
    assert peer._read_once()
    assert peer._read_once()
    run(leader, 'j.0.0.0')
    assert peer._read_once()
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]
    assert peer._read_once()
    assert [request.acknowledged_number for request in requests] == 4 * [0]


class PendingLog:
    """Log that commits ends when the test says so."""

    def __init__(self, leader):
        self.batches = []
        self.recordings = []
        self._record = leader.record
        leader.begin_record = self._begin_record

    def _begin_record(self, ends):
        self.batches.append(ends)
        self.recordings.append(FakeRecording())
        return self.recordings[-1]

    def commit(self, index):
        """Commit a batch."""
        self.recordings[index].recorded = self._record(self.batches[index])


def test_ends_are_not_acknowledged_before_they_are_committed(worker):
    leader = FakeLeader(worker, lease_ms=60)
    leader.submit('j', helpers.step(2))
    requests = _record_reads(leader)
    log, peer = PendingLog(leader), leader.peer
    assert peer._read_once()
    assert peer._read_once()
    run(leader, 'j.0.0.0')
    assert peer._read_once()
    run(leader, 'j.0.0.1')
    assert peer._read_once()
    assert [len(ends) for ends in log.batches] == [1]
    log.commit(0)
    assert peer._read_once()
    assert [request.acknowledged_number for request in requests] == 5 * [0]
    assert peer._read_once()
    assert requests[-1].acknowledged_number == 1
    assert [len(ends) for ends in log.batches] == [1, 1]
    log.commit(1)
    assert peer._read_once()
    assert peer._read_once()
    assert requests[-1].acknowledged_number == 2
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE'), ('j.0.0.1', 1, 'DONE')]


def test_ends_that_the_log_refuses_late_are_recorded_again(worker):
    leader = FakeLeader(worker, lease_ms=60)
    leader.submit('j', helpers.step())
    log, peer = PendingLog(leader), leader.peer
    assert peer._read_once()
    assert peer._read_once()
    run(leader, 'j.0.0.0')
    assert peer._read_once()
    log.recordings[0].recorded = False
    assert not peer._read_once()
    assert peer._read_once()
    log.commit(1)
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def test_ends_committed_after_a_restart_acknowledge_none_of_the_new(worker):
    """The ends of the new incarnation have the numbers of the old ones."""
    leader = FakeLeader(worker, lease_ms=60)
    leader.submit('j', helpers.step(2))
    requests = _record_reads(leader)
    log, peer = PendingLog(leader), leader.peer
    assert peer._read_once()
    assert peer._read_once()
    run(leader, 'j.0.0.0')
    assert peer._read_once()
    worker.restart()
    run(leader, 'j.0.0.1')
    assert peer._read_once()
    log.commit(0)
    assert peer._read_once()
    assert peer._read_once()
    assert [request.acknowledged_number for request in requests] == 6 * [0]
    log.commit(1)
    assert peer._read_once()
    assert peer._read_once()
    assert requests[-1].acknowledged_number == 1
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE'), ('j.0.0.1', 1, 'DONE')]


def test_another_incarnation_at_the_address_ends_all_runs(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.replaced = True
        testing.wait_until(lambda: leader.gone_ids)
    assert leader.outcomes == [('j.0.0.0', 1, 'CRASHED')]
    assert leader.gone_ids == ['w1']


def test_runs_of_a_cancelled_job_are_stopped(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        leader.machine(_commands.CancelJob('j'))
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'STOPPED')]


def test_an_unassigned_run_is_stopped_before_the_worker_is_used(worker):
    """Guards against overload: such a run uses unaccounted resources."""
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    key = jobs.parse_task_key('j.0.0.0')
    worker.start(jobs.StartOrder(worker.facts, 0, key, 7, '', 60_000, '', ''))
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        assert worker.running() == {}


def test_a_leader_that_may_not_act_sends_nothing(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        time.sleep(0.3)
        assert worker.starts == []
        leader.acting = True
        testing.wait_until(lambda: worker.starts)


def test_a_start_that_was_planned_before_a_drain_is_not_sent(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        leader.peer.facts = dataclasses.replace(
            worker.facts, phase=jobs.WorkerPhase.DRAINING
        )
        leader.acting = True
        testing.wait_until(lambda: leader.outcomes)
    assert worker.starts == []
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


SMALL = messages.Resources(500, 100)


def test_a_start_that_was_planned_before_a_shrink_is_not_sent(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        leader.peer.facts = dataclasses.replace(worker.facts, capacity=SMALL)
        leader.acting = True
        testing.wait_until(lambda: leader.outcomes)
    assert worker.starts == []
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_start_is_not_sent_again_after_a_shrink(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    fleet = leader.peer._state.port
    sent = []

    def shrink(order):
        sent.append(order)
        leader.peer.facts = dataclasses.replace(worker.facts, capacity=SMALL)
        return jobs.Unanswered(True, 'no answer')

    fleet.start = shrink
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
    assert len(sent) == 1
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    # A start that is carried out late is refused.
    worker.start(sent[0])
    assert worker.starts == []


def _evacuate(leader):
    domain = leader.worker.facts.failure_domain
    leader.machine(_commands.EvacuateDomain(domain))


def test_a_start_that_was_planned_before_an_evacuation_is_not_sent(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.acting = False
        leader.start('j.0.0.0')
        _evacuate(leader)
        leader.acting = True
        testing.wait_until(lambda: leader.outcomes)
    assert worker.starts == []
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert leader.withheld_runs == [('j.0.0.0', 1)]


def test_a_start_without_an_answer_is_not_sent_again_after_an_evacuation(
    worker,
):
    """A lost order, resent up to three times, would start a task there."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    fleet = leader.peer._state.port
    sent = []

    def evacuate(order):
        sent.append(order)
        if len(sent) == 1:
            _evacuate(leader)
        return jobs.Unanswered(True, 'no answer')

    fleet.start = evacuate
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
    assert len(sent) == 1
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert leader.withheld_runs == [('j.0.0.0', 1)]
    # A start that is carried out late is refused.
    worker.start(sent[0])
    assert worker.starts == []


def test_a_run_whose_start_was_not_answered_goes_on_after_an_evacuation(
    worker,
):
    """The stop for an unanswered start must not end a run that has begun."""
    worker.run_ms = 400
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    fleet = leader.peer._state.port

    def start_and_evacuate(order):
        worker.start(order)
        _evacuate(leader)
        return jobs.Unanswered(True, 'answer lost')

    fleet.start = start_and_evacuate
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
    assert worker.starts == [('j.0.0.0', 1)]
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def test_a_gang_that_has_not_started_completely_is_given_up_whole(worker):
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step(2, gang=True))
    keys = [jobs.parse_task_key(f'j.0.0.{index}') for index in (0, 1)]
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        for key in keys:
            leader.peer.orders.plan(key, _orders.Order(1, 'payload', '', ''))
        assignments = tuple(
            _commands.RunAssignment(key, 1, worker.facts.worker_id)
            for key in keys
        )
        assert leader.machine(_commands.AssignRuns((assignments,))) == (True,)
        leader.peer.orders.dispatch(keys[0])
        testing.wait_until(worker.running)
        _evacuate(leader)
        leader.peer.orders.dispatch(keys[1])
        testing.wait_until(lambda: len(leader.outcomes) == 2)
    assert worker.starts == [('j.0.0.0', 1)]
    assert worker.running() == {}
    assert sorted(leader.outcomes) == [
        ('j.0.0.0', 1, 'STOPPED'),
        ('j.0.0.1', 1, 'LOST'),
    ]


def test_a_run_that_began_before_a_shrink_goes_on(worker):
    worker.run_ms = 400
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        leader.peer.facts = dataclasses.replace(worker.facts, capacity=SMALL)
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'DONE')]


def test_a_worker_that_left_is_used_again_after_a_restart(worker):
    leader = FakeLeader(worker)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.peer.leave()
        assert not leader.peer.usable()
        worker.restart()
        leader.peer.facts = worker.facts
        testing.wait_until(leader.peer.usable)


def test_a_restarted_worker_is_not_used_with_the_facts_of_before(worker):
    """Regression test: it may have started again with fewer resources."""
    leader = FakeLeader(worker)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.restart()
        reads = _record_reads(leader)
        testing.wait_until(lambda: len(reads) >= 3)
        assert not leader.peer.usable()
        leader.peer.facts = worker.facts
        assert leader.peer.usable()


def test_a_worker_that_reports_its_restart_is_used_once_it_is_read(worker):
    leader = FakeLeader(worker)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        worker.silent = True
        worker.restart()
        leader.peer.facts = worker.facts
        assert not leader.peer.usable()
        worker.silent = False
        testing.wait_until(leader.peer.usable)


def test_an_order_without_an_answer_does_not_hold_up_another(worker):
    """One of two starts hangs until the other one has run."""
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step(2))
    answered = threading.Event()
    port = testing.FakeFleet([worker])

    def start(order):
        if order.task.index == 0:
            answered.wait(TIMEOUT_S)
        return worker.start(order)

    port.start = start
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        leader.start('j.0.0.1')
        try:
            testing.wait_until(
                lambda: ('j.0.0.1', 1, 'DONE') in leader.outcomes
            )
        finally:
            answered.set()


def _after_an_unanswered_start(worker):
    """Return a peer with an unanswered start order, and its task key.

    The threads of the peer are stopped.
    """
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    leader.start('j.0.0.0')
    leader.stopping.set()
    leader.peer._state.is_responding = True
    key = jobs.parse_task_key('j.0.0.0')
    assert leader.peer.orders.next(0) == key
    worker.delays_starts = True
    leader.peer.sender._send_start(key, leader.stopping)
    worker.delays_starts = False
    return leader.peer, key


class StopCountingWorker(testing.FakeWorker):
    """Worker that counts the stop orders sent to it."""

    stops_count = 0

    def stop(self, order):
        self.stops_count += 1
        return super().stop(order)


def test_a_stop_that_fails_at_once_is_not_sent_in_a_tight_loop():
    worker = StopCountingWorker('w1', messages.Resources(4_000, 100), 5_000)
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        worker.silent = True
        leader.peer.orders.stop(jobs.parse_task_key('j.0.0.0'), 1)
        time.sleep(0.5)
        assert 1 <= worker.stops_count <= 7
        worker.silent = False
        testing.wait_until(lambda: not worker.running())


def test_a_start_is_not_sent_again_after_a_stop(worker):
    """Regression test: a task stayed assigned forever (violation LOST).

    The repeated start was refused because of the stop. As a stop had just
    been sent, no further stop followed and nothing settled the order.
    """
    peer, key = _after_an_unanswered_start(worker)
    peer.orders.stop(key, 1)
    peer.sender._send_stop(key, 1)
    peer.sender._send_start(key, threading.Event())
    assert peer.orders.is_lost(key, 1, read=1)


def test_a_stop_while_a_start_is_under_way_settles_it(worker):
    """The stop is answered before the start is found to be unanswered."""
    peer, key = _after_an_unanswered_start(worker)
    peer.orders.stop(key, 1)
    peer.sender._send_stop(key, 1)
    order = peer.orders.get(key, 1)
    peer.sender._handle_unanswered_start(key, order, True, 'no answer')
    assert peer.orders.is_lost(key, 1, read=1)


def test_a_run_that_is_stopped_before_its_start_is_sent_never_starts(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    leader.start('j.0.0.0')
    key = jobs.parse_task_key('j.0.0.0')
    leader.peer.orders.stop(key, 1)
    leader.peer.sender._send_start(key, leader.stopping)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert worker.starts == []


def test_a_stop_that_is_settled_just_before_the_start_is_sent_counts(worker):
    """The stop is settled during the checks that precede the start."""
    peer, key = _after_an_unanswered_start(worker)
    leader = peer._events

    def stop_meanwhile(runs):
        peer.orders.stop(key, 1)
        peer.sender._send_stop(key, 1)
        return []

    leader.obsolete = stop_meanwhile
    peer.sender._send_start(key, leader.stopping)
    assert peer.orders.is_lost(key, 1, read=1)


def test_a_refused_start_is_settled_although_the_log_refuses_its_end(worker):
    """Regression test: such a task stayed assigned forever."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    port = testing.FakeFleet([worker])
    port.start = lambda order: jobs.Refused(jobs.Refusal.NO_ROOM)
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.log_refuses = True
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.refusals)
        leader.log_refuses = False
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_start_that_is_not_sent_is_settled_if_the_log_refuses(worker):
    """Regression test: such a task stayed assigned forever."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    leader.peer.facts = dataclasses.replace(
        worker.facts, phase=jobs.WorkerPhase.DRAINING
    )
    leader.start('j.0.0.0')
    key = leader.peer.orders.next(0)
    leader.log_refuses = True
    leader.peer.sender._send_start(key, leader.stopping)
    leader.log_refuses = False
    with serving(leader):
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


def test_a_stop_that_an_unhealthy_worker_refuses_is_sent_again(worker):
    """An unhealthy worker has done nothing, so the start may still arrive."""
    peer, key = _after_an_unanswered_start(worker)
    port = testing.FakeFleet([worker])
    port.stop = lambda order: jobs.Refused(jobs.Refusal.UNHEALTHY)
    peer._state.port = port
    peer.orders.stop(key, 1)
    assert peer.orders.next(0) == _orders.Stop(key, 1)
    peer.sender._send_stop(key, 1)
    assert not peer.orders.is_lost(key, 1, read=1)
    queued = [peer.orders.next(0) for _ in range(2)]
    assert _orders.Stop(key, 1) in queued


def test_a_stop_to_a_worker_that_refuses_connections_is_not_a_busy_loop(
    worker,
):
    stops = []

    def refuse(order):
        stops.append(order)
        return jobs.Unanswered(False, 'connection refused')

    leader = FakeLeader(worker, lease_ms=60_000)
    port = testing.FakeFleet([worker])
    port.stop = refuse
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.peer.orders.stop(jobs.parse_task_key('j.0.0.0'), 1)
        time.sleep(0.5)
    assert 1 <= len(stops) <= 10


def test_orders_are_kept_when_the_log_refuses_the_ends_of_a_worker(worker):
    """Regression test: a task stayed assigned forever.

    The worker was silent for longer than its lease and answers again.
    """
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    leader.start('j.0.0.0')
    leader.peer._state.lease._expiry_ms = 0
    leader.log_refuses = True
    assert not leader.peer._state.record_lapse()
    leader.log_refuses = False
    with serving(leader):
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )


def test_a_run_that_is_dispatched_while_its_worker_lapses_is_settled(worker):
    """Regression test: a task stayed assigned forever."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    assigned = leader.assigned

    def assign_meanwhile(worker_id):
        runs = assigned(worker_id)
        leader.assigned = assigned
        leader.start('j.0.0.0')
        return runs

    leader.assigned = assign_meanwhile
    assert leader.peer._state.record_lapse()
    with serving(leader):
        testing.wait_until(
            lambda: leader.machine.phase('j') is jobs.JobPhase.DONE
        )


def test_a_late_answer_from_a_former_address_does_not_remove_the_worker(
    worker,
):
    """The worker has started again elsewhere, under the same id."""
    leader = FakeLeader(worker)
    called = threading.Event()
    answered = threading.Event()
    port = testing.FakeFleet([worker])
    first_renew = port.renew

    def renew(request):
        if request.worker.address == 'former:1':
            called.set()
            answered.wait(TIMEOUT_S)
            return jobs.WorkerReplaced()
        return first_renew(request)

    port.renew = renew
    leader.peer._state.port = port
    leader.peer.facts = dataclasses.replace(worker.facts, address='former:1')
    with serving(leader):
        called.wait(TIMEOUT_S)
        worker.restart()
        leader.peer.facts = worker.facts
        answered.set()
        testing.wait_until(leader.peer.usable)
    assert leader.gone_ids == []


def test_runs_of_a_worker_that_refuses_its_lease_end_with_the_lease(worker):
    """Regression test: such tasks stayed assigned forever."""
    worker.run_ms = 60_000
    leader = FakeLeader(worker, lease_ms=600)
    leader.submit('j', helpers.step())
    port = testing.FakeFleet([worker])
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        port.renew = lambda request: jobs.Refused(jobs.Refusal.UNHEALTHY)
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LAPSED')]


def test_a_start_that_can_not_be_sent_is_given_up(worker):
    """Regression test: the task waited for as long as the worker answered."""
    leader = FakeLeader(worker, lease_ms=60_000)
    leader.submit('j', helpers.step())
    port = testing.FakeFleet([worker])
    port.start = lambda order: jobs.Unanswered(False, 'no connection')
    leader.peer._state.port = port
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]


@contextlib.contextmanager
def serving_with_tasks(*leaders):
    """Serve the workers with the threads of one supervisor, as a leader."""
    supervisor = utils.Supervisor('test')
    names = []

    def run(name, task):
        names.append(name)
        supervisor.run(name, task)

    for leader in leaders:
        leader.peer.sender.start_with(run)
        supervisor.run('lists', leader.peer.watch)
    try:
        yield names
    finally:
        supervisor.stopping.set()
        for leader in leaders:
            leader.peer.close()
        supervisor.close()


def test_a_worker_without_orders_needs_no_thread_for_them(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step(2))
    with serving_with_tasks(leader) as names:
        testing.wait_until(leader.peer.usable)
        assert names == []
        for index in range(2):
            leader.start(f'j.0.0.{index}')
            count = index + 1
            testing.wait_until(lambda: len(leader.outcomes) == count)
            testing.wait_until(lambda: not leader.peer.sender._tasks_count)
    assert names == 2 * ['orders to w1']


def test_orders_are_sent_after_threads_were_refused(worker):
    """A refused task must not count as one that sends orders."""
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step(_order_sender.ORDERS_MAX + 1))
    with serving_with_tasks(leader):
        testing.wait_until(leader.peer.usable)
        run = leader.peer._state.orders.on_queued

        def refuse(_name, _task):
            raise RuntimeError("can't start new thread")

        leader.peer.sender.start_with(refuse)
        for index in range(_order_sender.ORDERS_MAX):
            with pytest.raises(RuntimeError):
                leader.start(f'j.0.0.{index}')
        leader.peer._state.orders.on_queued = run
        leader.start(f'j.0.0.{_order_sender.ORDERS_MAX}')
        count = _order_sender.ORDERS_MAX + 1
        testing.wait_until(lambda: len(leader.outcomes) == count)


def test_hanging_orders_hold_up_neither_their_worker_nor_another(worker):
    """All but one of the orders to a worker hang until the others have run."""
    other = testing.FakeWorker('w2', messages.Resources(4_000, 100), 50)
    leaders = [FakeLeader(worker), FakeLeader(other)]
    hanging = _order_sender.ORDERS_MAX - 1
    answered = threading.Event()
    port = testing.FakeFleet([worker])

    def start(order):
        if order.task.index < hanging:
            answered.wait(TIMEOUT_S)
        return worker.start(order)

    port.start = start
    leaders[0].peer._state.port = port
    for leader in leaders:
        leader.submit('j', helpers.step(hanging + 1))
    with serving_with_tasks(*leaders):
        for leader in leaders:
            testing.wait_until(leader.peer.usable)
            for index in range(hanging + 1):
                leader.start(f'j.0.0.{index}')
        last = (f'j.0.0.{hanging}', 1, 'DONE')
        try:
            testing.wait_until(lambda: last in leaders[0].outcomes)
            testing.wait_until(lambda: len(leaders[1].outcomes) == hanging + 1)
        finally:
            answered.set()


def test_no_order_is_sent_to_a_worker_after_its_end(worker):
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    with serving_with_tasks(leader) as names:
        testing.wait_until(leader.peer.usable)
        leader.peer.close()
        leader.start('j.0.0.0')
    assert names == []
    assert worker.starts == []


def test_a_stop_that_fails_at_once_is_not_sent_without_a_pause(worker):
    """Regression test: a worker whose port is closed kept a processor busy."""
    worker.run_ms = 60_000
    leader = FakeLeader(worker)
    leader.submit('j', helpers.step())
    sent = []
    port = testing.FakeFleet([worker])

    def stop(order):
        sent.append(order)
        return jobs.Unanswered(False, 'connection refused')

    port.stop = stop
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(worker.running)
        leader.peer._state.port = port
        leader.peer.orders.stop(jobs.parse_task_key('j.0.0.0'), 1)
        time.sleep(0.5)
        assert 2 <= len(sent) <= 10


def _record_reads(leader):
    """Return a list to which the reads of the worker's lists are added."""
    requests = []
    port = testing.FakeFleet([leader.worker])

    def renew(request):
        requests.append(request)
        return leader.worker.renew(request)

    port.renew = renew
    leader.peer._state.port = port
    return requests


def test_a_worker_without_runs_is_read_rarely_and_stays_usable(worker):
    leader = FakeLeader(worker)
    requests = _record_reads(leader)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        time.sleep(2.1)
        assert leader.peer.usable()
    assert 2 <= len(requests) <= 4
    assert {request.wait_ms for request in requests} == {0}


def test_a_start_ends_the_pause_between_reads_of_an_idle_worker(worker):
    """The end of the first run after a pause is not reported late."""
    leader = FakeLeader(worker, lease_ms=6_000)
    leader.submit('j', helpers.step())
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        testing.wait_until(lambda: leader.peer._is_idle)
        begin_s = time.monotonic()
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
        elapsed_ms = (time.monotonic() - begin_s) * 1_000
    assert elapsed_ms < 700


def test_the_last_ends_of_a_worker_are_acknowledged_without_a_pause(worker):
    """A worker that restarts before that numbers its ends anew."""
    leader = FakeLeader(worker, lease_ms=6_000)
    leader.submit('j', helpers.step())
    requests = _record_reads(leader)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start('j.0.0.0')
        testing.wait_until(lambda: leader.outcomes)
        begin_s = time.monotonic()
        testing.wait_until(
            lambda: any(request.acknowledged_number for request in requests)
        )
        elapsed_ms = (time.monotonic() - begin_s) * 1_000
    assert elapsed_ms < _worker_peer.IDLE_READ_INTERVAL_MS / 2


def test_an_idle_worker_that_stops_answering_is_noticed(worker):
    leader = FakeLeader(worker)
    with serving(leader):
        testing.wait_until(leader.peer.usable)
        testing.wait_until(lambda: leader.peer._is_idle)
        begin_s = time.monotonic()
        worker.silent = True
        testing.wait_until(lambda: not leader.peer.usable())
        elapsed_ms = (time.monotonic() - begin_s) * 1_000
    assert elapsed_ms < _worker_peer.IDLE_READ_INTERVAL_MS + 400
