"""The task that looks after the membership.

It keeps a task for each member and carries out changes.
"""

import threading

from dandeliondrum.consensus import _changes
from dandeliondrum.consensus import _peer
from dandeliondrum.consensus import _snapshot
from dandeliondrum.consensus import _state
from dandeliondrum import messages
from dandeliondrum import utils


class Steward:
    """Starts a peer's task when a member appears; changes who is one."""

    def __init__(
        self,
        state: _state.NodeState,
        snapshots: _snapshot.SnapshotStore,
        supervisor: utils.Supervisor,
        changes: _changes.Changes,
    ) -> None:
        self._state = state
        self._snapshots = snapshots
        self._supervisor = supervisor
        self._changes = changes
        self._running: dict[messages.ControllerId, _peer.Peer] = {}

    def run(self, stopping: threading.Event) -> None:
        """Look after the members until the node closes."""
        state = self._state
        while not stopping.is_set():
            self._changes.step()
            with state.lock:
                self._start_peers()
                state.steward_wakes.wait(state.options.election_min_ms / 1000)

    def close(self) -> None:
        """Give up the calls of all peers."""
        with self._state.lock:
            peers = list(self._running.values())
        for peer in peers:
            peer.close()

    def _start_peers(self) -> None:
        current = self._state.history.current
        for member in current.voters + current.learners:
            name = member.controller_id
            if name == self._state.me or name in self._running:
                continue
            peer = _peer.Peer(self._state, self._snapshots, name)
            self._running[name] = peer
            self._supervisor.run(f'peer {name}', self._task(name, peer))

    def _task(
        self, name: messages.ControllerId, peer: _peer.Peer
    ) -> utils.Task:
        def serve(stopping: threading.Event) -> None:
            peer.run(stopping)
            with self._state.lock:
                self._running.pop(name, None)
                self._state.steward_wakes.notify()

        return serve
