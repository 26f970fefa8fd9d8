"""Tests of bootstrap, replaced disks and membership changes."""

import concurrent.futures
import shutil
import threading
import time

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.consensus import _bootstrap
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _log
from dandeliondrum.consensus import _membership_changes
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _records
from dandeliondrum.consensus.tests import harness
from dandeliondrum.consensus.tests import load
from dandeliondrum import messages
from dandeliondrum import utils


def voters(cluster, name):
    members = cluster.node(name).status().members
    return sorted(one.controller_id for one in members if one.voter)


def wait_voters(cluster, name, expected):
    harness.wait_for(
        lambda: voters(cluster, name) == sorted(expected), f'{expected}'
    )


def disk_of(cluster, leader, name):
    """Return a member's disk id according to the leader's membership."""
    members = cluster.node(leader).status().members
    return {one.controller_id: one.disk_id for one in members}[name]


def propose_many(cluster, name, first, last):
    commands = [b'%d' % number for number in range(first, last)]
    futures = [cluster.node(name).propose(command) for command in commands]
    for future in futures:
        future.result(harness.TIMEOUT_S).unwrap()
    return commands


def test_commands_do_not_wake_the_membership_managers(tmp_path, monkeypatch):
    process = _membership_changes.MembershipChanges.process
    processed_s = []

    def count(changes):
        processed_s.append(time.monotonic())
        process(changes)

    monkeypatch.setattr(
        _membership_changes.MembershipChanges, 'process', count
    )
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'first').unwrap()
        cluster.wait_applied([b'first'])
        began_s = time.monotonic()
        for _ in range(100):
            cluster.propose(leader, b'next').unwrap()
        ended_s = time.monotonic()
        woken_count = sum(began_s <= at_s <= ended_s for at_s in processed_s)
    # Each manager looks by itself after this interval.
    intervals = (ended_s - began_s) / (harness.ELECTION_MIN_MS / 1000)
    assert woken_count <= len(cluster.names) * (intervals + 2)


def test_empty_disks_found_no_cell_by_themselves(tmp_path):
    with harness.Cluster(
        tmp_path, election_min_ms=50, election_max_ms=100
    ) as cluster:
        cluster.start()
        time.sleep(1)
        assert [one.listener.events for one in cluster.running.values()] == [
            [],
            [],
            [],
        ]
        assert cluster.node('c1').status().term == 0


def test_a_cell_is_founded_once(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        members = [(name, 'unused:1') for name in cluster.names]
        for name in cluster.names:
            refused = cluster.node(name).bootstrap(members).failure()
            assert refused.failure is consensus.ChangeFailure.HAS_LOG
        assert cluster.leaders() == [leader]


def test_a_cell_is_not_founded_while_a_member_is_down(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.start('c1', 'c2')
        members = [(name, 'unused:1') for name in cluster.names]
        refused = cluster.node('c1').bootstrap(members).failure()
        assert refused.failure is consensus.ChangeFailure.UNREACHABLE
        # Votes of the failed attempt must not block a later one.
        cluster.start('c3')
        cluster.node('c2').bootstrap(members).unwrap()
        cluster.propose(cluster.leader(), b'one').unwrap()
        cluster.wait_applied([b'one'])


def test_a_cell_is_founded_on_disks_slower_than_an_election(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        disks = [harness.BlockingSync() for _ in cluster.names]
        cluster.files = dict(zip(cluster.names, disks, strict=True))
        cluster.start()
        disks[1].released.clear()
        members = [(name, 'unused:1') for name in cluster.names]
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            founding = executor.submit(
                cluster.node(cluster.names[0]).bootstrap, members
            )
            try:
                assert disks[1].waiting.wait(harness.TIMEOUT_S)
                time.sleep(2 * harness.ELECTION_MAX_MS / 1000)
                assert not founding.done()
            finally:
                disks[1].released.set()
            founding.result().unwrap()


def test_simultaneous_bootstraps_form_at_most_one_cell(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.start()
        members = [(name, 'unused:1') for name in cluster.names]
        with concurrent.futures.ThreadPoolExecutor() as executor:
            calls = [
                executor.submit(cluster.node(name).bootstrap, members)
                for name in cluster.names
            ]
        outcomes = [call.result() for call in calls]
        founded = [one for one in outcomes if one.value_or(True) is None]
        assert len(founded) <= 1
        if not founded:
            cluster.node('c1').bootstrap(members).unwrap()
        cluster.propose(cluster.leader(), b'one').unwrap()
        cluster.wait_applied([b'one'])


def _members(cluster):
    return [(name, 'unused:1') for name in cluster.names]


def _failure(outcome):
    return outcome.failure().failure


def test_a_cell_is_founded_by_a_majority_without_a_lost_member(tmp_path):
    """Regression test for review/9: no cell was ever founded."""
    with harness.Cluster(tmp_path) as cluster:
        cluster.start('c1', 'c2')
        members = _members(cluster)
        founder = cluster.node('c1')
        unreachable = consensus.ChangeFailure.UNREACHABLE
        assert _failure(founder.bootstrap(members)) is unreachable
        founder.bootstrap(members, by_majority=True).unwrap()
        assert cluster.leader() in ('c1', 'c2')
        cluster.start('c3')
        refused = cluster.node('c3').bootstrap(members, by_majority=True)
        assert _failure(refused) is consensus.ChangeFailure.HAS_LOG
        leader = cluster.node(cluster.leader())
        leader.add_member('c3', 'unused:1').result(harness.TIMEOUT_S).unwrap()
        cluster.propose(cluster.leader(), b'one').unwrap()
        cluster.wait_applied([b'one'])


def test_a_minority_founds_nothing(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        cluster.start('c1')
        outcome = cluster.node('c1').bootstrap(_members(cluster), True)
        assert _failure(outcome) is consensus.ChangeFailure.UNREACHABLE


def test_a_controller_whose_disk_may_have_been_lost_founds_no_cell(tmp_path):
    """Its empty disk does not tell that there is no cell."""
    with harness.Cluster(tmp_path) as cluster:
        cluster.start('c1')
        cluster.options['grants_founding'] = False
        cluster.start('c2')
        outcome = cluster.node('c1').bootstrap(_members(cluster), True)
        assert isinstance(outcome, result.Failure)


def test_simultaneous_bootstraps_by_majorities_serve_in_one_cell(tmp_path):
    for attempt in range(4):
        with harness.Cluster(tmp_path / str(attempt)) as cluster:
            cluster.start()
            members = _members(cluster)
            with concurrent.futures.ThreadPoolExecutor() as executor:
                for name in cluster.names:
                    executor.submit(
                        cluster.node(name).bootstrap, members, True
                    )
            # Of three attempts each may have one vote; or one has founded a
            # cell with a part of them, which elects its leader.
            harness.wait_for(
                lambda node=cluster.node('c1'), them=members, those=cluster: (
                    those.leaders()
                    or isinstance(node.bootstrap(them, True), result.Success)
                ),
                'a founded cell',
            )
            leader = cluster.leader()
            cluster.propose(leader, b'one').unwrap()
            for name in cluster.others(leader):
                assert isinstance(
                    cluster.propose(name, b'two'), result.Failure
                )


def test_a_founder_that_another_one_has_overtaken_commits_nothing(tmp_path):
    """It has all votes, but writes its first entry after the other one."""
    with harness.Cluster(tmp_path) as cluster:
        cluster.start()
        members = tuple(_members(cluster))
        state = cluster.node('c1')._threads.state
        votes = _bootstrap._request_all_votes(state, members, 1, True)
        assert all(vote.granted for vote in votes)
        cluster.isolate('c1')
        cluster.node('c2').bootstrap(members, by_majority=True).unwrap()
        cluster.propose(cluster.leader(['c2', 'c3']), b'one').unwrap()
        _bootstrap._write_first_entry(state, members, votes, 1, True).unwrap()
        assert not cluster.node('c1').propose(b'two').done()
        cluster.heal('c1')
        leader = cluster.node(cluster.leader(['c2', 'c3']))
        added = leader.add_member('c1', 'unused:1')
        added.result(harness.TIMEOUT_S).unwrap()
        cluster.wait_applied([b'one'])


def test_a_follower_catches_up_by_the_log(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        follower = cluster.others(leader)[0]
        cluster.stop(follower)
        commands = propose_many(cluster, leader, 0, 400)
        cluster.start(follower)
        cluster.wait_applied(commands)
        assert cluster.machine(follower).restored_count == 0


def test_a_follower_catches_up_by_a_snapshot(tmp_path):
    with harness.Cluster(tmp_path, snapshot_every_entries=50) as cluster:
        leader = cluster.bootstrap()
        follower = cluster.others(leader)[0]
        commands = propose_many(cluster, leader, 0, 10)
        cluster.stop(follower)
        for first in range(10, 410, 40):
            commands += propose_many(cluster, leader, first, first + 40)
        cluster.start(follower)
        cluster.wait_applied(commands)
        assert cluster.machine(follower).restored_count == 1
        log_files = list((tmp_path / leader).glob('log-*'))
        assert len(log_files) <= 3
        # The follower restarts from the received snapshot.
        cluster.stop(follower)
        cluster.start(follower)
        commands += propose_many(cluster, leader, 410, 420)
        cluster.wait_applied(commands)


def test_a_log_of_large_commands_is_cut_short_as_well(tmp_path, monkeypatch):
    monkeypatch.setattr(_options, 'SNAPSHOT_EVERY_BYTES', 100_000)
    with harness.Cluster(tmp_path, 1) as cluster:
        leader = cluster.bootstrap()
        for _ in range(40):
            cluster.propose(leader, b'x' * 10_000).unwrap()
        # Segments covered by the snapshot before the newest are deleted.
        harness.wait_for(lambda: folder_bytes(tmp_path / leader) < 300_000)


def folder_bytes(folder):
    return sum(path.stat().st_size for path in folder.glob('log-*'))


def test_a_large_snapshot_goes_in_parts(tmp_path):
    with harness.Cluster(tmp_path, snapshot_every_entries=8) as cluster:
        leader = cluster.bootstrap()
        follower = cluster.others(leader)[0]
        cluster.stop(follower)
        commands = [b'%07d' % number * 20_000 for number in range(30)]
        for command in commands:
            cluster.propose(leader, command).unwrap()
        cluster.start(follower)
        cluster.wait_applied(commands)


def test_a_voter_with_an_empty_disk_does_not_vote(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'kept').unwrap()
        emptied, other = cluster.others(leader)
        cluster.wait_applied([b'kept'])
        cluster.stop(emptied)
        term = cluster.node(other).status().term
        cluster.stop(leader)
        shutil.rmtree(tmp_path / emptied)
        cluster.start(emptied)
        # The other voter has the whole log, but an empty voter does not
        # count for a quorum.
        time.sleep(3 * harness.ELECTION_MAX_MS / 1000)
        assert cluster.leaders() == []
        assert cluster.node(other).status().term == term
        assert cluster.node(emptied).status().last_index == 0
        cluster.start(leader)
        cluster.wait_applied([b'kept'])
        wait_voters(cluster, cluster.leader(), cluster.names)


def test_a_voter_with_an_empty_disk_is_taken_in_again(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        commands = propose_many(cluster, leader, 0, 300)
        emptied, other = cluster.others(leader)
        former_disk_id = cluster.node(emptied).status().disk_id
        cluster.stop(emptied)
        shutil.rmtree(tmp_path / emptied)
        cluster.start(emptied)
        disk_id = cluster.node(emptied).status().disk_id
        assert disk_id != former_disk_id
        cluster.wait_applied(commands)
        harness.wait_for(lambda: disk_of(cluster, leader, emptied) == disk_id)
        wait_voters(cluster, leader, cluster.names)
        # The readmitted voter counts for the quorum, so that the other one
        # may be stopped.
        cluster.stop(other)
        cluster.propose(leader, b'after').unwrap()
        cluster.wait_applied([*commands, b'after'])


def test_a_voter_with_an_older_disk_is_taken_in_again(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        commands = propose_many(cluster, leader, 0, 20)
        older = cluster.others(leader)[0]
        cluster.wait_applied(commands)
        cluster.stop(older)
        shutil.copytree(tmp_path / older, tmp_path / 'copy')
        cluster.start(older)
        commands += propose_many(cluster, leader, 20, 40)
        cluster.wait_applied(commands)
        index = cluster.node(leader).status().last_index
        cluster.stop(older)
        shutil.rmtree(tmp_path / older)
        (tmp_path / 'copy').rename(tmp_path / older)
        cluster.start(older)
        # Demotion to learner and promotion to voter add two entries.
        harness.wait_for(
            lambda: cluster.node(leader).status().last_index >= index + 2
        )
        wait_voters(cluster, leader, cluster.names)
        cluster.wait_applied(commands)


def test_members_come_and_go_under_load(tmp_path):
    with harness.Cluster(tmp_path, extra=2) as cluster:
        leader = cluster.bootstrap()
        cluster.start(*cluster.extra_names)
        cluster.names = cluster.all_names
        with load.Proposers(cluster) as proposers:
            proposers.wait_for(20)
            node = cluster.node(leader)
            for name in cluster.extra_names:
                node.add_member(name, 'unused:1').result(30).unwrap()
            assert voters(cluster, leader) == cluster.all_names
            gone = cluster.others(leader)[0]
            node.remove_member(gone).result(30).unwrap()
            wait_voters(cluster, leader, cluster.others(gone))
            cluster.stop(gone)
            proposers.wait_for(20)
            cluster.stop(leader)
            proposers.wait_for(20)
        load.check_history(cluster, proposers)


def test_a_removal_that_would_lose_the_quorum_is_refused(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        down, other = cluster.others(leader)
        cluster.stop(down)
        harness.wait_for(lambda: silent_ms(cluster, leader, down) > 300)
        node = cluster.node(leader)
        refused = node.remove_member(other).result(30).failure()
        assert refused.failure is consensus.ChangeFailure.LOSES_QUORUM
        node.remove_member(down).result(30).unwrap()
        cluster.propose(leader, b'two').unwrap()


def silent_ms(cluster, leader, name):
    members = cluster.node(leader).status().members
    return {one.controller_id: one.silent_ms for one in members}[name]


def test_changes_that_make_no_sense_are_refused(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        follower = cluster.others(leader)[0]
        node = cluster.node(leader)
        changes = [
            node.add_member(follower, 'unused:1'),
            node.remove_member(messages.ControllerId('c9')),
            node.remove_member(leader),
            node.add_member(messages.ControllerId('c9'), '127.0.0.1:1'),
            cluster.node(follower).remove_member(leader),
            cluster.node(follower).transfer_leadership(),
            node.transfer_leadership(messages.ControllerId('c9')),
        ]
        assert [change.result(30).failure().failure for change in changes] == [
            consensus.ChangeFailure.ALREADY_MEMBER,
            consensus.ChangeFailure.UNKNOWN_MEMBER,
            consensus.ChangeFailure.IS_LEADER,
            consensus.ChangeFailure.UNREACHABLE,
            consensus.ChangeFailure.NOT_LEADING,
            consensus.ChangeFailure.NOT_LEADING,
            consensus.ChangeFailure.UNKNOWN_MEMBER,
        ]


def test_the_membership_survives_snapshots_and_restarts(tmp_path):
    with harness.Cluster(
        tmp_path, extra=1, snapshot_every_entries=10
    ) as cluster:
        leader = cluster.bootstrap()
        (added,) = cluster.extra_names
        cluster.start(added)
        node = cluster.node(leader)
        node.add_member(added, 'unused:1').result(30).unwrap()
        cluster.names = cluster.all_names
        commands = propose_many(cluster, leader, 0, 50)
        cluster.wait_applied(commands)
        for name in cluster.names:
            cluster.stop(name)
        cluster.start()
        assert voters(cluster, cluster.leader()) == cluster.names
        cluster.wait_applied(commands)


def test_a_learner_votes_only_once_there_is_room_for_a_voter(tmp_path):
    """More voters than intended would need more of them to answer."""
    with harness.Cluster(tmp_path, extra=1, voters_max=3) as cluster:
        leader = cluster.bootstrap()
        cluster.start('c4')
        node = cluster.node(leader)
        added = node.add_member('c4', 'unused:1', until_voter=False)
        added.result(harness.TIMEOUT_S).unwrap()
        cluster.propose(leader, b'one').unwrap()
        harness.wait_for(
            lambda: node.status().members[-1].match_index > 0, 'the state'
        )
        time.sleep(2 * harness.ELECTION_MIN_MS / 1000)
        assert voters(cluster, leader) == ['c1', 'c2', 'c3']
        removed = cluster.others(leader)[0]
        node.remove_member(removed).result(harness.TIMEOUT_S).unwrap()
        expected = {'c1', 'c2', 'c3', 'c4'} - {removed}
        wait_voters(cluster, leader, expected)


def wait_line(lines, event, **fields):
    """Wait for a log line with these fields and return it."""
    return harness.wait_for(
        lambda: next(
            (
                line
                for line in list(lines)
                if line['event'] == event and fields.items() <= line.items()
            ),
            None,
        ),
        event,
    )


def test_a_learner_whose_disk_stalls_is_reported_and_then_promoted(tmp_path):
    """Regression test for issue 44: why it waits was not logged."""
    disk = harness.BlockingSync()
    with harness.Cluster(tmp_path, extra=1) as cluster:
        leader = cluster.bootstrap()
        cluster.files = {'c4': disk}
        cluster.start('c4')
        disk.released.clear()
        try:
            with structlog.testing.capture_logs() as lines:
                added = cluster.node(leader).add_member('c4', 'unused:1')
                line = wait_line(lines, 'learner not promoted', member='c4')
        finally:
            disk.released.set()
        assert line['why'] == 'nothing stored'
        assert line['match_index'] == 0 < line['commit_index']
        added.result(harness.TIMEOUT_S).unwrap()
        assert voters(cluster, leader) == ['c1', 'c2', 'c3', 'c4']


def test_a_learner_without_room_is_reported_once(tmp_path, monkeypatch):
    monkeypatch.setattr(_membership_changes, 'LEARNER_LOG_DELAY_NS', 1)
    monkeypatch.setattr(_membership_changes, 'LEARNER_LOG_INTERVAL_NS', 1)
    with harness.Cluster(tmp_path, extra=1, voters_max=3) as cluster:
        leader = cluster.bootstrap()
        cluster.start('c4')
        with structlog.testing.capture_logs() as lines:
            added = cluster.node(leader).add_member(
                'c4', 'unused:1', until_voter=False
            )
            added.result(harness.TIMEOUT_S).unwrap()
            wait_line(lines, 'learner not promoted', why='no room')
            time.sleep(3 * harness.ELECTION_MIN_MS / 1000)
        reasons = [one.get('why') for one in lines]
        assert reasons.count('no room') == 1


def _peer_threads():
    return {
        thread.name.removeprefix('consensus: peer ')
        for thread in threading.enumerate()
        if thread.name.startswith('consensus: peer ')
    }


def test_each_of_many_members_is_served(tmp_path):
    """Members beyond a number of threads would never hear of the leader."""
    with harness.Cluster(tmp_path, 1) as cluster:
        cluster.bootstrap()
        cluster.stop('c1')
        names = [f'c{number}' for number in range(1, 31)]
        members = tuple(
            _messages.Member(name, '127.0.0.1:1', '') for name in names
        )
        log = _log.Log(_files.Files(), tmp_path / 'c1')
        log.append(
            [
                _records.make(
                    log.last_index + 1,
                    log.last_term,
                    _records.EntryKind.MEMBERSHIP,
                    messages.encode(_messages.Membership(members)),
                )
            ]
        )
        log.sync()
        log.close()
        cluster.start()
        harness.wait_for(
            lambda: _peer_threads() == {*names} - {'c1'}, 'all threads'
        )


def test_a_peer_without_a_thread_is_tried_again(tmp_path, monkeypatch):
    """A member that was recorded as served would never get a thread."""
    run, refused = utils.Supervisor.run, set()

    def refuse_once(supervisor, name, task):
        if name.startswith('peer ') and (supervisor, name) not in refused:
            refused.add((supervisor, name))
            raise RuntimeError("can't start new thread")
        run(supervisor, name, task)

    monkeypatch.setattr(utils.Supervisor, 'run', refuse_once)
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'kept').unwrap()
        cluster.wait_applied([b'kept'])
    assert refused
