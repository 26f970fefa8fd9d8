"""The threads of a node: starts them, stops them, and clears up."""

import collections.abc
import contextlib
import os
import threading

from returns import result

from dandeliondrum.consensus import _applier
from dandeliondrum.consensus import _changes
from dandeliondrum.consensus import _election
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _room
from dandeliondrum.consensus import _start
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _steward
from dandeliondrum.consensus import _works
from dandeliondrum.consensus import _writer
from dandeliondrum import utils

# Eight tasks of the node itself, and one for each other member.
THREADS_COUNT = 24

OnFatal = collections.abc.Callable[[utils.InvariantError], object]


class Tasks:
    """Owns the threads of one node."""

    def __init__(
        self,
        options: _options.Options,
        machine: _interfaces.StateMachine,
        listener: _interfaces.Listener,
        on_fatal: OnFatal | None,
        files: _files.Files,
        metrics: _metrics.Metrics,
    ) -> None:
        self._options = options
        self._machine = machine
        self._listener = listener
        self._on_fatal = on_fatal
        self._files = files
        self._metrics = metrics
        self._state: _state.NodeState | None = None
        self._changes: _changes.Changes | None = None

    @property
    def started(self) -> bool:
        """Whether the files are open and the threads run."""
        return self._state is not None

    @property
    def state(self) -> _state.NodeState:
        """The shared state; RuntimeError before the start."""
        if self._state is None:
            raise RuntimeError('the node was not started')
        return self._state

    @property
    def changes(self) -> _changes.Changes:
        """The changes of members; RuntimeError before the start."""
        if self._changes is None:
            raise RuntimeError('the node was not started')
        return self._changes

    def open(self, resources: contextlib.ExitStack) -> None:
        """Read the files and start the threads; the stack then owns all.

        Raises StorageError or OSError when the files can't be used.
        """
        folder = self._options.data_folder
        resources.callback(os.close, _start.lock_folder(folder))
        opened = _start.open_files(self._options, self._files, self._metrics)
        resources.callback(opened.log.close)
        state = opened.state
        applier = _applier.Applier(state, self._machine, opened.snapshots)
        if opened.snapshot is not None:
            applier.restore(opened.snapshot)
        supervisor = utils.Supervisor(
            'consensus', THREADS_COUNT, self._end_fatally
        )
        writer = _writer.Writer(state, self._files, opened.snapshots, folder)
        changes = _changes.Changes(state)
        steward = _steward.Steward(
            state, opened.snapshots, supervisor, changes
        )
        resources.callback(self._drain, state, changes)
        resources.callback(supervisor.close)
        resources.callback(self._stop, state, steward, supervisor)
        self._state = state
        self._changes = changes
        room_watch = _room.RoomWatch(state, self._files)
        supervisor.run('room watch', room_watch.run)
        supervisor.run('writer', writer.run)
        supervisor.run('applier', applier.run)
        supervisor.run('election', _election.Election(state).run)
        supervisor.run('steward', steward.run)
        supervisor.run('outcomes', self._tell_outcomes)
        supervisor.run('listener', self._tell_listener)

    def _stop(
        self,
        state: _state.NodeState,
        steward: _steward.Steward,
        supervisor: utils.Supervisor,
    ) -> None:
        supervisor.stopping.set()
        with state.lock:
            state.closing = True
            state.become_follower()
            state.give_up_pending()
            state.wake_all()
        state.events.put(None)
        state.outcomes.put(None)
        steward.close()

    def _end_fatally(self, error: utils.InvariantError) -> None:
        state = self.state
        with state.lock:
            state.storage_failed = True
            state.become_follower()
            state.give_up_pending()
        if self._on_fatal is not None:
            self._on_fatal(error)

    def _drain(
        self, state: _state.NodeState, changes: _changes.Changes
    ) -> None:
        """Resolve what the stopped threads left behind."""
        changes.step()
        with state.lock:
            works = list(state.works)
            state.works.clear()
        for work in works:
            match work:
                case _works.Proposal(future=future):
                    error = state.error(
                        _errors.ProposeFailure.CLOSED, not_done=True
                    )
                    _works.settle(future, result.Failure(error))
                case _works.Stand(entered=entered):
                    _works.settle(entered, None)
                case _works.Found(future=future):
                    change_error = _errors.ChangeError(
                        _errors.ChangeFailure.CLOSED
                    )
                    _works.settle(future, result.Failure(change_error))
        with state.lock:
            state.give_up_pending()
        while not state.outcomes.empty():
            outcome = state.outcomes.get_nowait()
            if outcome is not None:
                _works.settle(outcome.future, outcome.value)

    def _tell_outcomes(self, _stopping: threading.Event) -> None:
        while (outcome := self.state.outcomes.get()) is not None:
            _works.settle(outcome.future, outcome.value)

    def _tell_listener(self, _stopping: threading.Event) -> None:
        while (event := self.state.events.get()) is not None:
            match event:
                case _works.Leading(term):
                    self._listener.on_leading(term)
                case _works.Following():
                    self._listener.on_following()
