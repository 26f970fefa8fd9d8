"""Confirmations of leadership whose callbacks take long."""

import threading

from dandeliondrum.consensus.tests import harness

CALLBACKS_COUNT = 4
# Several election timeouts.
BLOCKED_S = 2.0


def test_slow_callbacks_of_confirmations_do_not_depose_the_leader(tmp_path):
    with harness.Cluster(tmp_path) as cluster:
        leader = cluster.bootstrap()
        node = cluster.node(leader)
        term = node.status().term
        released, blocked = threading.Event(), threading.Semaphore(0)
        own_thread = threading.get_ident()

        def block(_):
            if threading.get_ident() != own_thread:
                blocked.release()
                released.wait(harness.TIMEOUT_S)

        for _ in range(CALLBACKS_COUNT):
            node.confirm_leadership().add_done_callback(block)
            blocked.acquire(timeout=0.2)
        try:
            released.wait(BLOCKED_S)
            assert node.is_leading()
            assert node.status().term == term
            node.propose(b'x').result(1).unwrap()
        finally:
            released.set()
