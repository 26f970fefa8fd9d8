"""A call to a former incarnation that reaches the next one is accounted for.

The next incarnation has seen no token, and the end of a lease on the clock of
the former one is far in the future on its own. So it may start a run, and keep
it for the longest lease that it accepts, before the leader has read its lists.
"""

import threading
import time

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _lease
from dandeliondrum.jobs import _order_sender
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs.tests import helpers
from dandeliondrum.jobs.tests import test_worker_peer
from dandeliondrum import messages
from dandeliondrum import testing

LEASE_MS = 300
LEASE_MAX_MS = 1_500
LATE_CALL_MAX_MS = 1_000
KEY = jobs.parse_task_key('j.0.0.0')
RUN = ('j.0.0.0', 1)
LAPSED = ('j.0.0.0', 1, 'LAPSED')


class _Fleet(testing.FakeFleet):
    """A link to one worker that fails as a test tells.

    While ``reads_fail``, reads reach nobody; while ``reads_hang``, they are
    not answered before ``released`` is set. While ``starts_kept``, starts
    are kept for the next incarnation, unanswered; ``deliver`` carries them
    out. ``is_cut`` cuts the worker off. ``reads_left`` is the number of reads
    that are answered before that, None for any.
    """

    def __init__(self, worker):
        super().__init__([worker])
        self.worker = worker
        self.reads_fail = False
        self.reads_hang = False
        self.is_hanging = False
        self.released = threading.Event()
        self.starts_kept = False
        self.is_cut = False
        self.reads_left = None
        self.kept = []
        self.sent = []
        self.reads = []

    def renew(self, request):
        if self.reads_hang:
            self.is_hanging = True
            self.released.wait(test_worker_peer.TIMEOUT_S)
            return jobs.Unanswered(False, 'cut')
        if self.reads_left == 0:
            self.is_cut = True
        if self.reads_fail or self.is_cut:
            return jobs.Unanswered(False, 'cut')
        if self.reads_left is not None:
            self.reads_left -= 1
        self.reads.append(request)
        return super().renew(request)

    def start(self, order):
        self.sent.append(order)
        if self.is_cut:
            return jobs.Unanswered(False, 'cut')
        if self.starts_kept:
            self.kept.append(order)
            return jobs.Unanswered(True, 'kept')
        return super().start(order)

    def stop(self, order):
        if self.is_cut or self.reads_fail:
            return jobs.Unanswered(False, 'cut')
        return super().stop(order)

    def deliver(self):
        for order in self.kept:
            self.worker.start(order)


class _Leader(test_worker_peer.FakeLeader):
    """A leader whose leases are shorter than the worker accepts."""

    def __init__(self, worker):
        super().__init__(worker, LEASE_MS)
        self.submit('j', helpers.step())

    def open_peer(self, term):
        peer = _worker_peer.WorkerPeer(
            self.worker.facts,
            term,
            testing.FakeFleet([self.worker]),
            self,
            _worker_peer.PeerOptions(LEASE_MS, LEASE_MAX_MS),
        )
        self.fleet = peer._state.port = _Fleet(self.worker)
        return peer

    def age_lease(self):
        """Forget the leases of before the term, as if it had begun long ago.

        Also those of the reads with which the peer begins.
        """
        with self.peer._state.lock:
            self.peer._state.lease._expiry_ms = 0
            self.peer._state.lease._arrival_ms = 0

    def start_kept(self):
        """Send a start that is kept for the next incarnation."""
        self.fleet.starts_kept = True
        self.start('j.0.0.0')
        testing.wait_until(lambda: self.fleet.kept)

    def lapses(self):
        """Wait for the lapse; return whether the run has ended by then."""
        testing.wait_until(lambda: self.outcomes)
        assert self.outcomes == [LAPSED]
        return 'j.0.0.0' not in self.worker.running()


@pytest.fixture
def worker():
    worker = testing.FakeWorker(
        'w1', messages.Resources(4_000, 100), 60_000, LEASE_MAX_MS
    )
    # Its clock is far ahead of that of its next incarnation.
    worker._started_s -= 100
    return worker


@pytest.fixture
def leader(worker, monkeypatch):
    monkeypatch.setattr(_lease, 'LATE_CALL_MAX_MS', LATE_CALL_MAX_MS)
    leader = _Leader(worker)
    with test_worker_peer.serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.age_lease()
        yield leader
        leader.fleet.released.set()


def test_a_start_that_an_unread_incarnation_accepted_holds_the_longest_lease(
    leader, worker
):
    """Regression test for review/7: the task was run on another worker, too.

    The worker starts again between two reads, accepts the start, and is cut
    off before it is read.
    """
    leader.fleet.reads_hang = True
    testing.wait_until(lambda: leader.fleet.is_hanging)
    worker.restart()
    leader.start('j.0.0.0')
    testing.wait_until(lambda: worker.starts)
    leader.fleet.is_cut = True
    leader.fleet.released.set()
    assert leader.lapses()


def test_a_start_that_is_kept_for_an_unread_incarnation_holds_a_late_lease(
    leader, worker
):
    """Regression test for review/7: the start arrives seconds late."""
    leader.start_kept()
    leader.fleet.is_cut = True
    testing.wait_until(lambda: not leader.peer._state.is_responding)
    worker.restart()
    leader.fleet.deliver()
    assert worker.starts == [RUN]
    assert leader.lapses()


@pytest.mark.parametrize('reads_count', [1, 2])
def test_an_incarnation_that_is_read_has_the_longest_lease(
    reads_count, leader, worker
):
    """Regression test for review/7: the worker is cut off once it was read.

    The first read tells that it has started again, the second fences off the
    calls to the former incarnation.
    """
    leader.start_kept()
    leader.fleet.reads_fail = True
    testing.wait_until(lambda: not leader.peer._state.is_responding)
    worker.restart()
    leader.fleet.deliver()
    leader.fleet.reads_left = reads_count
    leader.fleet.reads_fail = False
    testing.wait_until(lambda: leader.fleet.is_cut)
    assert leader.lapses()


def test_a_new_leader_counts_on_late_calls_of_the_former_one(worker):
    """Regression test for review/7: it has read no lists of the worker."""
    leader = _Leader(worker)
    with test_worker_peer.serving(leader):
        testing.wait_until(leader.peer.usable)
        leader.start_kept()
    kept = leader.fleet
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(_lease, 'LATE_CALL_MAX_MS', LATE_CALL_MAX_MS)
        leader.peer = leader.open_peer(messages.Term(2))
    leader.fleet.is_cut = True
    with test_worker_peer.serving(leader):
        time.sleep(0.8 * LATE_CALL_MAX_MS / 1000)
        worker.restart()
        kept.deliver()
        assert worker.starts == [RUN]
        assert leader.lapses()


@pytest.mark.parametrize('is_listed', [True, False])
@pytest.mark.parametrize('is_confirmed', [True, False])
def test_a_new_leader_does_not_wait_for_late_starts_of_confirmed_runs(
    is_confirmed, is_listed, worker
):
    """Else a task that lasts would not run for that time (LOST)."""
    leader = _Leader(worker)
    assert leader.machine.assign('j.0.0.0')
    if is_confirmed:
        leader.confirm([(KEY, 1)])
    if is_listed:
        leader.peer.orders.mark_listed(KEY, 1, '')
    state = leader.peer._state
    state.lease._expiry_ms = 1
    assert state.record_lapse()
    assert bool(leader.outcomes) == is_confirmed


def test_a_run_that_is_listed_lapses_with_the_last_lease(leader, worker):
    leader.start('j.0.0.0')
    testing.wait_until(lambda: leader.peer.orders.is_listed(KEY, 1))
    assert not leader.peer._state.may_start_unread(KEY, 1)


def test_a_run_is_confirmed_once_no_late_start_is_left(leader, worker):
    leader.start('j.0.0.0')
    task = leader.machine.task
    testing.wait_until(lambda: task('j.0.0.0').is_confirmed)


def test_a_start_is_sent_again_only_after_a_read(leader):
    """The worker may have started again since the start was sent."""
    fleet = leader.fleet
    fleet.reads_hang = True
    testing.wait_until(lambda: fleet.is_hanging)
    fleet.starts_kept = True
    leader.start('j.0.0.0')
    testing.wait_until(lambda: fleet.kept)
    time.sleep(5 * _order_sender.RETRY_DELAY_MS / 1000)
    assert len(fleet.sent) == 1
    fleet.starts_kept = False
    reads_count = len(fleet.reads)
    fleet.reads_hang = False
    fleet.released.set()
    testing.wait_until(lambda: len(fleet.sent) == 2)
    assert len(fleet.reads) > reads_count


def test_no_start_is_sent_to_a_worker_that_does_not_answer(leader):
    leader.fleet.reads_fail = True
    testing.wait_until(lambda: not leader.peer._state.is_responding)
    leader.start('j.0.0.0')
    testing.wait_until(lambda: leader.outcomes)
    assert leader.outcomes == [('j.0.0.0', 1, 'LOST')]
    assert not leader.fleet.sent


def test_ends_are_not_acknowledged_while_a_late_start_may_arrive(
    leader, worker
):
    """The next incarnation would forget the end of the run that it starts."""
    leader.submit('k', helpers.step())
    leader.submit('l', helpers.step())
    leader.start_kept()
    leader.fleet.starts_kept = False
    worker.run_ms = 1
    reads_count = len(leader.fleet.reads)
    leader.start('k.0.0.0')
    testing.wait_until(lambda: ('k.0.0.0', 1, 'DONE') in leader.outcomes)
    orders = leader.peer.orders
    while orders.awaits_late_start():
        reads = leader.fleet.reads[reads_count:]
        late = orders.awaits_late_start()
        assert not late or not any(one.acknowledged_number for one in reads)
    testing.wait_until(
        lambda: any(
            one.acknowledged_number for one in leader.fleet.reads[reads_count:]
        )
    )


def test_lapses_of_runs_at_different_times_blame_the_same_runs(worker):
    """A run that lapses last was not alone on the worker when it crashed."""
    leader = _Leader(worker)
    leader.submit('k', helpers.step())
    for name in ('j.0.0.0', 'k.0.0.0'):
        key = jobs.parse_task_key(name)
        order = _orders.Order(1, '', '', '')
        leader.peer.orders.plan(key, order)
        assert leader.machine.assign(name)
        leader.peer.orders.mark_listed(key, 1, '')
    state = leader.peer._state
    late = state.orders.get(KEY, 1)
    late.may_start_until_ms = 1 << 40
    state.lease._expiry_ms = 1
    both = dict.fromkeys(state._crash_ends())
    assert state.record_lapse()
    assert [outcome[0] for outcome in leader.outcomes] == ['k.0.0.0']
    (left,) = state._crash_ends()
    assert left in both


def test_confirmations_are_kept_until_the_next_run():
    machine = helpers.Machine(('w1',))
    machine(_commands.SubmitJob(helpers.job('j', helpers.step())))
    assert machine.assign('j.0.0.0')
    machine(_commands.EndRuns((), (), ((KEY, 2),)))
    assert not machine.task('j.0.0.0').is_confirmed
    machine(_commands.EndRuns((), (), ((KEY, 1),)))
    assert machine.task('j.0.0.0').is_confirmed
    copy = _state.JobsState(machine.state._decode_policy)
    copy.restore(machine.state.snapshot())
    assert copy.jobs['j'].task(KEY).is_confirmed
    machine(
        _commands.EndRuns(
            (_commands.RunEnd(KEY, 1, _commands.RunOutcome.LAPSED),)
        )
    )
    assert machine.assign('j.0.0.0', 2)
    assert not machine.task('j.0.0.0').is_confirmed
