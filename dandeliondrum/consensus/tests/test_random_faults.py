"""Random faults with fixed seeds, checked against proposal results."""

import random
import shutil

import pytest

from dandeliondrum.consensus.tests import harness
from dandeliondrum.consensus.tests import load

STEPS_COUNT = 8


class Faults:
    """Injects one random fault at a time and reverts it."""

    def __init__(self, cluster, seed):
        self._cluster = cluster
        self._random = random.Random(seed)
        self.listeners = [one.listener for one in cluster.running.values()]

    def step(self, proposers):
        victim = self._random.choice(self._cluster.names)
        fault = self._random.choice(
            [
                self._kill,
                self._isolate,
                self._wipe_disk,
                self._transfer,
                self._restart_all,
            ]
        )
        fault(victim, proposers)
        self._cluster.leader()
        proposers.wait_for(5)

    def _kill(self, victim, proposers):
        self._cluster.stop(victim)
        proposers.wait_for(5)
        self._restart(victim)

    def _isolate(self, victim, proposers):
        self._cluster.isolate(victim)
        proposers.wait_for(5)
        self._cluster.heal(victim)

    def _wipe_disk(self, victim, proposers):
        """Delete a node's disk once all nodes have caught up."""
        self._catch_up()
        self._cluster.stop(victim)
        shutil.rmtree(self._cluster.folder / victim)
        self._restart(victim)
        proposers.wait_for(5)
        self._wait_all_voting()

    def _transfer(self, _victim, _proposers):
        leader = self._cluster.leader()
        self._cluster.node(leader).transfer_leadership().result(
            harness.TIMEOUT_S
        )

    def _restart_all(self, _victim, _proposers):
        for name in self._cluster.names:
            self._cluster.stop(name)
        for name in self._cluster.names:
            self._restart(name)

    def _restart(self, name):
        self._cluster.start(name)
        self.listeners.append(self._cluster.running[name].listener)

    def _catch_up(self):
        self._wait_all_voting()
        index = max(
            one.node.status().commit_index
            for one in self._cluster.running.values()
        )
        for one in self._cluster.running.values():
            harness.wait_for(
                lambda one=one: one.node.status().applied_index >= index
            )

    def _is_voting(self, member):
        """Return whether the member is a voter with its current disk."""
        running = self._cluster.running[member.controller_id]
        disk_id = running.node.status().disk_id
        return member.voter and member.disk_id == disk_id

    def _wait_all_voting(self):
        def all_vote():
            for name in self._cluster.leaders():
                members = self._cluster.node(name).status().members
                return all(self._is_voting(member) for member in members)
            return False

        harness.wait_for(all_vote, 'all to vote')


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_random_faults_neither_lose_nor_duplicate_commands(tmp_path, seed):
    with harness.Cluster(tmp_path, snapshot_every_entries=100) as cluster:
        cluster.bootstrap()
        faults = Faults(cluster, seed)
        with load.Proposers(cluster) as proposers:
            for _ in range(STEPS_COUNT):
                faults.step(proposers)
        cluster.leader()
        load.check_terms(faults.listeners)
        load.check_history(cluster, proposers)
