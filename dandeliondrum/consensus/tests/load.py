"""Load generators for tests with faults, and checks of the result."""

import threading

from dandeliondrum.consensus.tests import harness


class LeadershipMonitor:
    """Detects whether two nodes report to be leading at the same time."""

    def __init__(self, cluster):
        self._nodes = [one.node for one in cluster.running.values()]
        self._stop = threading.Event()
        self.samples_count = 0
        self.overlapped = False
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        self._thread.join()

    def _watch(self):
        while not self._stop.wait(0.001):
            leading = [node for node in self._nodes if node.is_leading()]
            # Ask the first node again, since it may have stopped leading
            # before the second one was asked.
            self.overlapped |= len(leading) > 1 and leading[0].is_leading()
            self.samples_count += 1


class Proposers:
    """Threads that propose to the current leader, each command once.

    Commands are padded to ``command_bytes``. A thread pauses for ``pause_s``
    after each command.
    """

    def __init__(self, cluster, count=4, command_bytes=0, pause_s=0.001):
        self._cluster = cluster
        self._command_bytes = command_bytes
        self._pause_s = pause_s
        self._stop = threading.Event()
        self.acknowledged = []
        self.never_committed = []
        self.unknown = []
        self._threads = [
            threading.Thread(target=self._propose_on, args=(number,))
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, count):
        goal = len(self.acknowledged) + count
        harness.wait_for(
            lambda: len(self.acknowledged) >= goal, 'acknowledgements'
        )

    def _propose_on(self, number):
        sequence = 0
        while not self._stop.is_set():
            for name in list(self._cluster.names):
                running = self._cluster.running.get(name)
                if running is None or not running.node.is_leading():
                    continue
                sequence += 1
                command = b'%d/%d' % (number, sequence)
                command = command.ljust(self._command_bytes, b'.')
                outcome = running.node.propose(command).result(
                    harness.TIMEOUT_S
                )
                if outcome.value_or(None):
                    self.acknowledged.append(command)
                elif outcome.failure().never_committed:
                    self.never_committed.append(command)
                else:
                    self.unknown.append(command)
            self._stop.wait(self._pause_s)


def check_history(cluster, proposers):
    """Check what the state machines applied against the proposals' results.

    All machines must have the same commands, each applied at most once.
    Acknowledged commands must be applied, and refused ones must not.
    """
    last_index = max(
        one.node.status().last_index for one in cluster.running.values()
    )
    for name, one in cluster.running.items():
        harness.wait_for(
            lambda one=one: one.node.status().applied_index >= last_index,
            f'{name} up to date',
        )
    machines = [one.machine for one in cluster.running.values()]
    for machine in machines:
        assert machine.commands == machines[0].commands
    applied = machines[0].commands
    assert len(set(applied)) == len(applied)
    assert set(proposers.acknowledged) <= set(applied)
    assert not set(proposers.never_committed) & set(applied)


def check_terms(listeners):
    """Check that each term had at most one leader, and return the terms."""
    terms = [
        event
        for listener in listeners
        for event in listener.events
        if event is not None
    ]
    assert len(set(terms)) == len(terms)
    return terms
