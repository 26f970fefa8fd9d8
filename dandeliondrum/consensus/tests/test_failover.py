"""Tests of leaders that are killed, isolated or transfer leadership."""

import collections
import concurrent.futures
import contextlib
import errno
import threading
import time

import pytest
from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _threads
from dandeliondrum.consensus.tests import harness
from dandeliondrum.consensus.tests import load

# Longer than the shortest election timeout of the tests that use it, and two
# of them longer than the longest.
SLOW_SYNC_MS = 700


def test_a_leader_killed_under_load_loses_nothing_acknowledged(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.bootstrap()
        listeners = [one.listener for one in cluster.running.values()]
        with load.Proposers(cluster) as proposers:
            for _ in range(2):
                proposers.wait_for(50)
                killed = cluster.leader()
                cluster.stop(killed)
                proposers.wait_for(50)
                cluster.start(killed)
                listeners.append(cluster.running[killed].listener)
        assert len(load.check_terms(listeners)) >= 3
        cluster.leader()
        load.check_history(cluster, proposers)


def test_a_leader_cut_off_stops_leading_before_another_is_elected(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        with load.LeadershipMonitor(cluster) as watch:
            cluster.isolate(leader)
            cluster.leader(among=cluster.others(leader))
            assert not cluster.node(leader).is_leading()
        assert watch.samples_count > 10
        assert not watch.overlapped


def test_what_a_deposed_leader_could_not_commit_is_overwritten(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'agreed').unwrap()
        cluster.isolate(leader)
        lost = cluster.node(leader).propose(b'lost')
        confirmed = cluster.node(leader).confirm_leadership()
        successor = cluster.leader(among=cluster.others(leader))
        cluster.propose(successor, b'kept').unwrap()
        cluster.heal(leader)
        cluster.wait_applied([b'agreed', b'kept'])
        error = lost.result(harness.TIMEOUT_S).failure()
        assert error.failure is consensus.ProposeFailure.DEPOSED
        assert confirmed.result(harness.TIMEOUT_S).failure()


def test_the_outcome_is_known_if_the_successor_is_heard_in_time(tmp_path):
    # A long election timeout leaves time to reconnect before the pending
    # proposal expires.
    with harness.Cluster(tmp_path, election_max_ms=2_000) as cluster:
        leader = cluster.bootstrap()
        cluster.isolate(leader)
        lost = cluster.node(leader).propose(b'lost')
        successor = cluster.leader(among=cluster.others(leader))
        cluster.heal(leader)
        error = lost.result(harness.TIMEOUT_S).failure()
        assert error.never_committed
        assert error.leader_id == successor


def test_a_follower_that_comes_back_does_not_depose_the_leader(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        term = cluster.node(leader).status().term
        follower = cluster.others(leader)[0]
        cluster.isolate(follower)
        # Long enough for the follower to time out and request pre-votes.
        time.sleep(2 * harness.ELECTION_MAX_MS / 1000)
        cluster.heal(follower)
        cluster.propose(leader, b'after').unwrap()
        cluster.wait_applied([b'after'])
        assert cluster.leaders() == [leader]
        assert cluster.node(leader).status().term == term


def test_followers_with_slow_disks_do_not_depose_the_leader(tmp_path):
    with harness.Cluster(
        tmp_path, election_min_ms=800, election_max_ms=1_000
    ) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        term = cluster.node(leader).status().term
        node = cluster.node(leader)
        disks = [cluster.files[name] for name in cluster.others(leader)]
        for disk in disks:
            disk.released.clear()
        try:
            futures = [node.propose(b'0')]
            for disk in disks:
                assert disk.waiting.wait(harness.TIMEOUT_S)
            # As many calls as may be in flight wait for the disks.
            futures += [node.propose(b'1'), node.propose(b'2')]
            time.sleep(2)
            assert not any(future.done() for future in futures)
            assert node.is_leading()
            node.confirm_leadership().result(harness.TIMEOUT_S).unwrap()
        finally:
            for disk in disks:
                disk.released.set()
        for future in futures:
            future.result(harness.TIMEOUT_S).unwrap()
        cluster.wait_applied([b'0', b'1', b'2'])
        assert node.status().term == term


class LateAnswers(harness.Cluster):
    """Cluster whose stalled followers answer some heartbeats late.

    Such a heartbeat has reached the writer before the stall. With each
    connection it is one of the first beside the calls in flight.
    """

    def on_call(self, name, node):
        handled_counts = collections.Counter()

        def handle(connection, message):
            reply = node.handle(connection, message)
            disk = self.files[name]
            if disk.waiting.is_set() and not disk.released.is_set():
                handled_counts[connection] += 1
                if handled_counts[connection] == LATE_POSITION:
                    return concurrent.futures.Future()
            return reply

        return handle


# The first two calls of a connection wait for the disk.
LATE_POSITION = 3


def test_followers_that_answer_one_heartbeat_late_do_not_depose_the_leader(
    tmp_path,
):
    """Regression test: later answers to heartbeats waited for that one."""
    with LateAnswers(
        tmp_path, heartbeat_ms=150, election_min_ms=800, election_max_ms=1_000
    ) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        disks = [cluster.files[name] for name in cluster.others(leader)]
        for disk in disks:
            disk.released.clear()
        try:
            node.propose(b'0')
            for disk in disks:
                assert disk.waiting.wait(harness.TIMEOUT_S)
            end_s = time.monotonic() + 3
            while time.monotonic() < end_s:
                time.sleep(0.01)
                assert node.is_leading()
        finally:
            for disk in disks:
                disk.released.set()
        cluster.wait_applied([b'0'])
        assert cluster.leaders() == [leader]


# The settings with which an operation follows soon, and the operation.
STALLS = {
    'new file': ({}, ('open_for_append', 'log-')),
    'name of a new file': ({}, ('sync_folder', '')),
    'compaction': ({'snapshot_every_entries': 3}, ('remove', 'log-')),
}


@contextlib.contextmanager
def stalled_disks(cluster, leader, monkeypatch):
    """Stall the disks of all but the leader, and wait until they are busy.

    Returns the number of the next command.
    """
    # Each entry begins a new file of the log.
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
    disks = [cluster.files[name] for name in cluster.others(leader)]
    for disk in disks:
        disk.released.clear()
    try:
        for number in range(100):
            cluster.node(leader).propose(b'%d' % number)
            time.sleep(0.05)
            if all(disk.waiting.is_set() for disk in disks):
                break
        assert all(disk.waiting.is_set() for disk in disks)
        yield number + 1
    finally:
        for disk in disks:
            disk.released.set()


@pytest.mark.parametrize('stall', STALLS)
def test_followers_that_wait_for_other_files_do_not_depose_the_leader(
    tmp_path, monkeypatch, stall
):
    """Regression test: followers answered only during a sync of the log."""
    options, operation = STALLS[stall]
    with harness.Cluster(
        tmp_path, election_min_ms=800, election_max_ms=1_000, **options
    ) as cluster:
        cluster.files = {
            name: harness.StallingFiles(operation) for name in cluster.names
        }
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        term = node.status().term
        with stalled_disks(cluster, leader, monkeypatch) as count:
            time.sleep(2.5)
            assert node.is_leading()
            node.confirm_leadership().result(harness.TIMEOUT_S).unwrap()
        commands = [b'%d' % number for number in range(count)]
        cluster.wait_applied(commands)
        assert node.status().term == term
        assert cluster.leaders() == [leader]


@pytest.mark.parametrize('stall', STALLS)
def test_followers_that_wait_for_other_files_too_long_depose_the_leader(
    tmp_path, monkeypatch, stall
):
    options, operation = STALLS[stall]
    with harness.Cluster(tmp_path, **options) as cluster:
        cluster.files = {
            name: harness.StallingFiles(operation) for name in cluster.names
        }
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        with stalled_disks(cluster, leader, monkeypatch):
            for name in cluster.others(leader):
                harness.wait_for(
                    lambda name=name: (
                        silent_ms(cluster, leader, name) > 1_000
                        or not cluster.leaders()
                    ),
                    f'the silence of {name}',
                )
            harness.wait_for(lambda: not node.is_leading(), 'no leader')
        cluster.propose(cluster.leader(), b'after').unwrap()


def test_a_leader_is_elected_on_disks_slower_than_an_election(tmp_path):
    with harness.Cluster(
        tmp_path, election_min_ms=600, election_max_ms=1_200
    ) as cluster:
        cluster.files = {name: harness.SlowSync() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        for disk in cluster.files.values():
            disk.delay_ms = SLOW_SYNC_MS
        cluster.stop(leader)
        cluster.propose(cluster.leader(), b'after').unwrap()
        cluster.wait_applied([b'before', b'after'])


def test_a_leader_whose_disk_stalls_is_replaced(tmp_path):
    """Regression test: nothing was committed until the disk went on."""
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        disk = cluster.files[leader]
        disk.released.clear()
        try:
            future = cluster.node(leader).propose(b'0')
            assert disk.waiting.wait(harness.TIMEOUT_S)
            successor = cluster.leader(among=cluster.others(leader))
            cluster.propose(successor, b'1').unwrap()
        finally:
            disk.released.set()
        # The entry may have been stored by the others before the stall.
        future.result(harness.TIMEOUT_S)
        assert cluster.machine(successor).commands[-1] == b'1'


class BlockingFolderSync(harness.BlockingSync):
    """Files that block, or fail then, when the name of one is synced."""

    fails = False

    def sync(self, descriptor):
        _files.Files.sync(self, descriptor)

    def sync_folder(self, folder):
        if not self.released.is_set():
            self.waiting.set()
        self.released.wait(harness.TIMEOUT_S)
        if self.fails:
            self.fails = False
            raise OSError(errno.EIO, 'the disk refuses')
        super().sync_folder(folder)


@pytest.mark.parametrize('fails', [False, True])
def test_a_leader_whose_disk_stalls_at_a_new_file_is_replaced(
    tmp_path, monkeypatch, fails
):
    """Regression test: only a sync of the log counted as a stall."""
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {name: BlockingFolderSync() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.propose(leader, b'0').unwrap()
        # The next entry begins a new file of the log.
        monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
        disk = cluster.files[leader]
        disk.released.clear()
        try:
            future = cluster.node(leader).propose(b'1')
            assert disk.waiting.wait(harness.TIMEOUT_S)
            successor = cluster.leader(among=cluster.others(leader))
            cluster.propose(successor, b'2').unwrap()
            # The writer fails what the step down has failed already.
            harness.wait_for(future.done, 'the failure')
            disk.fails = fails
        finally:
            disk.released.set()
        assert isinstance(future.result(harness.TIMEOUT_S), result.Failure)
        cluster.wait_applied([b'0', b'2'])


def test_a_leader_whose_disk_stalls_at_a_compaction_is_replaced(
    tmp_path, monkeypatch
):
    """Regression test: nothing was committed until the disk went on."""
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
    options, operation = STALLS['compaction']
    with harness.Cluster(tmp_path, **options) as cluster:
        cluster.files = {
            name: harness.StallingFiles(operation) for name in cluster.names
        }
        leader = cluster.bootstrap()
        disk = cluster.files[leader]
        disk.released.clear()
        try:
            node = cluster.node(leader)
            for _ in range(100):
                node.propose(b'before')
                if disk.waiting.wait(0.05):
                    break
            assert disk.waiting.is_set()
            successor = cluster.leader(among=cluster.others(leader))
            cluster.propose(successor, b'after').unwrap()
        finally:
            disk.released.set()
        assert cluster.machine(successor).commands[-1] == b'after'


def test_a_leader_that_compacts_slowly_is_not_replaced(tmp_path, monkeypatch):
    """Regression test: a compaction of 2.7 s cost it its role."""
    monkeypatch.setattr(_options, 'SEGMENT_BYTES_MAX', 1)
    options, operation = STALLS['compaction']
    with harness.Cluster(tmp_path, **options) as cluster:
        cluster.files = {
            name: harness.StallingFiles(operation) for name in cluster.names
        }
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        term = node.status().term
        disk = cluster.files[leader]
        disk.released.clear()
        try:
            for _ in range(100):
                node.propose(b'before')
                if disk.waiting.wait(0.05):
                    break
            assert disk.waiting.is_set()
            last = node.propose(b'last')
            time.sleep(3 * harness.ELECTION_MAX_MS / 1000)
        finally:
            disk.released.set()
        last.result(harness.TIMEOUT_S).unwrap()
        assert node.status().term == term
        assert cluster.leaders() == [leader]


def silent_ms(cluster, leader, name):
    """Return how long a member has been silent according to the leader."""
    members = cluster.node(leader).status().members
    (found,) = [one for one in members if one.controller_id == name]
    return found.silent_ms


def test_a_follower_whose_disk_hangs_is_not_taken_for_reachable(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.files = {
            name: harness.BlockingSync() for name in cluster.names
        }
        leader = cluster.bootstrap()
        hung = cluster.others(leader)[0]
        disk = cluster.files[hung]
        disk.released.clear()
        try:
            cluster.propose(leader, b'0').unwrap()
            assert disk.waiting.wait(harness.TIMEOUT_S)
            harness.wait_for(lambda: silent_ms(cluster, leader, hung) > 1_000)
            assert cluster.node(leader).is_leading()
        finally:
            disk.released.set()


def test_leadership_is_transferred_on_disks_slower_than_an_election(
    tmp_path,
):
    with harness.Cluster(
        tmp_path, election_min_ms=600, election_max_ms=1_200
    ) as cluster:
        cluster.files = {name: harness.SlowSync() for name in cluster.names}
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        for disk in cluster.files.values():
            disk.delay_ms = SLOW_SYNC_MS
        transfer = cluster.node(leader).transfer_leadership()
        transfer.result(harness.TIMEOUT_S).unwrap()
        cluster.leader(among=cluster.others(leader))


def test_all_come_back_after_a_restart(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        commands = [b'%d' % number for number in range(20)]
        for command in commands:
            cluster.propose(leader, command).unwrap()
        for _ in range(3):
            for name in cluster.names:
                cluster.stop(name)
            cluster.start()
            leader = cluster.leader()
            commands.append(b'once more')
            cluster.propose(leader, commands[-1]).unwrap()
            cluster.wait_applied(commands)


def test_leadership_is_handed_over_under_load(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        listeners = [one.listener for one in cluster.running.values()]
        with (
            load.Proposers(cluster) as proposers,
            load.LeadershipMonitor(cluster) as watch,
        ):
            for target in [*cluster.others(leader), None]:
                proposers.wait_for(20)
                former = cluster.leader()
                outcome = cluster.node(former).transfer_leadership(target)
                outcome.result(harness.TIMEOUT_S).unwrap()
                successor = cluster.leader(among=cluster.others(former))
                assert target in (successor, None)
        assert not watch.overlapped
        assert not proposers.unknown
        load.check_terms(listeners)
        load.check_history(cluster, proposers)


def test_a_transfer_to_a_voter_that_is_down_fails_and_the_leader_stays(
    tmp_path,
):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        target = cluster.others(leader)[0]
        cluster.stop(target)
        # After a failed call the target counts as unreachable, so that the
        # leader does not send it TimeoutNow.
        time.sleep(3 * harness.HEARTBEAT_MS / 1000)
        outcome = cluster.node(leader).transfer_leadership(target).result(30)
        assert outcome.failure().failure is consensus.ChangeFailure.TIMEOUT
        cluster.leader(among=[leader])
        cluster.propose(leader, b'after').unwrap()


def test_streams_that_go_silent_are_replaced(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.bootstrap()
        with load.Proposers(cluster) as proposers:
            for _ in range(2):
                proposers.wait_for(20)
                for forwarder in cluster.forwarders.values():
                    forwarder.silence()
            proposers.wait_for(20)
        cluster.leader()
        load.check_history(cluster, proposers)


def test_callbacks_may_propose(tmp_path):
    with harness.Cluster(tmp_path, 1) as cluster:
        (name,) = cluster.names
        chained = []
        done = threading.Event()

        def propose_next(future):
            assert future.result().unwrap()
            chained.append(future)
            if len(chained) == 50:
                done.set()
                return
            following = cluster.node(name).propose(b'%d' % len(chained))
            following.add_done_callback(propose_next)

        cluster.bootstrap()
        cluster.node(name).propose(b'0').add_done_callback(propose_next)
        assert done.wait(harness.TIMEOUT_S)


def test_closing_resolves_all_futures(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.isolate(leader)
        node = cluster.node(leader)
        before = node.status().last_index
        futures = [node.propose(b'%d' % number) for number in range(5)]
        # Proposals that are not in the log yet fail with never_committed.
        harness.wait_for(lambda: node.status().last_index > before)
        cluster.stop(leader)
        futures.append(node.propose(b'late'))
        errors = [future.result(1).failure() for future in futures]
        assert not errors[0].never_committed
        assert errors[-1].never_committed


@pytest.mark.parametrize('count', [1, 5])
def test_cells_of_other_sizes_commit(tmp_path, count):
    with harness.Cluster(tmp_path, count) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'one').unwrap()
        cluster.wait_applied([b'one'])


def test_after_a_restart_of_all_the_start_of_the_process_counts(tmp_path):
    """The first election timeout is counted from the start of the process.

    Regression: after a power failure the cell had no leader for 0.8 s, since
    the timeout was counted from the start of the node. A process can't have
    heard from a leader before its node started.
    """
    times = {'election_min_ms': 8_000, 'election_max_ms': 8_100}
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'kept').unwrap()
        for name in cluster.names:
            cluster.stop(name)
        began_ns = time.monotonic_ns()
        cluster.options = {**times, 'started_ns': began_ns - 8_000 * 10**6}
        cluster.start()
        leader = cluster.leader()
        assert time.monotonic_ns() - began_ns < 5_000 * 10**6
        cluster.wait_applied([b'kept'])


def test_a_node_that_can_not_start_leading_leaves_the_lead_to_another(
    tmp_path, monkeypatch
):
    failed = []
    on_leading = harness.Listener.on_leading

    def fail_once(listener, term):
        if not failed:
            failed.append(listener)
            raise RuntimeError("can't start new thread")
        on_leading(listener, term)

    monkeypatch.setattr(harness.Listener, 'on_leading', fail_once)
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        assert cluster.running[leader].listener is not failed[0]
        cluster.propose(leader, b'served').unwrap()


@pytest.mark.parametrize('failures_count', [1, 2, 3])
def test_a_listener_that_can_not_stop_leading_is_called_again(
    tmp_path, monkeypatch, failures_count
):
    """What it has opened to lead would stay open otherwise."""
    errors = [OSError(number) for number in range(failures_count)]
    fatal = []
    on_following = harness.Listener.on_following

    def fail(listener):
        if errors:
            raise errors.pop()
        on_following(listener)

    monkeypatch.setattr(harness.Listener, 'on_following', fail)
    monkeypatch.setattr(
        _threads.NodeThreads,
        '_handle_fatal_error',
        lambda _threads, error: fatal.append(error),
    )
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        listener = cluster.running[leader].listener
        with structlog.testing.capture_logs() as lines:
            cluster.isolate(leader)
            harness.wait_for(
                lambda: fatal or listener.events[-1] is None,
                'the end of the leadership',
            )
        assert not errors
        assert len(fatal) == (failures_count == 3)
        failed = [
            line for line in lines if line['event'] == 'could not stop leading'
        ]
        assert len(failed) == failures_count
        cluster.heal(leader)
        cluster.propose(cluster.leader(), b'served').unwrap()


def test_missing_votes_tell_how_the_calls_failed(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.bootstrap()
        stopped, silent, candidate = cluster.names
        cluster.stop(stopped)
        with structlog.testing.capture_logs() as lines:
            cluster.isolate(silent)
            line = harness.wait_for(
                lambda: next(
                    (
                        line
                        for line in list(lines)
                        if line['event'] == 'votes missing'
                        and len(line.get('failures', ())) == 2
                        and line['granted'] == []
                        and silent in line['refusals']
                        and candidate not in line['refusals']
                    ),
                    None,
                ),
                'a lost ballot',
            )
    assert line['failures'][silent].startswith('timeout')
    assert not line['failures'][stopped].startswith('timeout')
