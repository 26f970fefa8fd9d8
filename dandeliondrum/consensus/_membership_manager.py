"""Thread that runs a task per member and processes membership changes."""

import threading

from dandeliondrum.consensus import _membership_changes
from dandeliondrum.consensus import _peer
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum import messages
from dandeliondrum import utils


class MembershipManager:
    """Starts a task for each new member and processes membership changes."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        supervisor: utils.Supervisor,
        changes: _membership_changes.MembershipChanges,
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._supervisor = supervisor
        self._membership_changes = changes
        self._peers: dict[messages.ControllerId, _peer.Peer] = {}

    def run(self, stopping: threading.Event) -> None:
        """Process changes and start peer tasks until the node closes."""
        state = self._state
        while not stopping.is_set():
            self._membership_changes.process()
            with state.lock:
                self._start_peers()
                state.membership_condition.wait(
                    state.options.election_min_ms / 1000
                )

    def close(self) -> None:
        """Close the connections to all peers, which ends their calls."""
        with self._state.lock:
            peers = list(self._peers.values())
        for peer in peers:
            peer.close()

    def _start_peers(self) -> None:
        current = self._state.history.current
        for member in current.voters + current.learners:
            name = member.controller_id
            if name == self._state.node_id or name in self._peers:
                continue
            peer = _peer.Peer(self._state, self._snapshots, name)
            # The task waits for the lock. A peer that gets no thread is not
            # recorded: the manager fails, and tries again when it restarts.
            self._supervisor.run(f'peer {name}', self._peer_task(name, peer))
            self._peers[name] = peer
            self._state.add_peer(name)

    def _peer_task(
        self, name: messages.ControllerId, peer: _peer.Peer
    ) -> utils.Task:
        def serve(stopping: threading.Event) -> None:
            peer.run(stopping)
            with self._state.lock:
                self._peers.pop(name, None)
                self._state.remove_peer(name)
                self._state.membership_condition.notify()

        return serve
