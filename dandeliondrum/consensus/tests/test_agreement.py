"""Tests of replication among three nodes."""

from dandeliondrum.consensus.tests import harness


def test_proposals_are_applied_in_order_on_all_nodes(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        commands = [b'%d' % number for number in range(200)]
        futures = [
            cluster.node(leader).propose(command) for command in commands
        ]
        for command, future in zip(commands, futures, strict=True):
            index, applied = future.result(harness.TIMEOUT_S).unwrap()
            assert applied == command
        cluster.wait_applied(commands)
        assert (
            cluster.node(leader).confirm_leadership().result(5).unwrap()
            is None
        )


def test_cell_continues_after_leader_stops(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        cluster.propose(leader, b'before').unwrap()
        cluster.stop(leader)
        successor = cluster.leader()
        cluster.propose(successor, b'after').unwrap()
        cluster.start(leader)
        cluster.wait_applied([b'before', b'after'])
