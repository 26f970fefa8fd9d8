"""Lifecycle of the threads of a node."""

import collections.abc
import contextlib
import dataclasses
import threading

from returns import result
import structlog

from dandeliondrum.consensus import _applier
from dandeliondrum.consensus import _damaged_files
from dandeliondrum.consensus import _disk_space
from dandeliondrum.consensus import _election
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _membership_changes
from dandeliondrum.consensus import _membership_manager
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _recovery
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum.consensus import _writer
from dandeliondrum import messages
from dandeliondrum import utils

# A listener that fails once may have released a part of what it holds.
STOP_LEADING_ATTEMPTS_MAX = 3

_logger = structlog.get_logger()

OnFatal = collections.abc.Callable[[utils.InvariantError], object]


class NodeThreads:
    """Starts and stops the threads of one node."""

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
        self._membership_changes: (
            _membership_changes.MembershipChanges | None
        ) = None

    @property
    def started(self) -> bool:
        """Whether the files are open and the threads are running."""
        return self._state is not None

    @property
    def state(self) -> _state.NodeState:
        """The shared state; raises RuntimeError before the start."""
        if self._state is None:
            raise RuntimeError('the node was not started')
        return self._state

    @property
    def changes(self) -> _membership_changes.MembershipChanges:
        """The membership changes; raises RuntimeError before the start."""
        if self._membership_changes is None:
            raise RuntimeError('the node was not started')
        return self._membership_changes

    def open(self, resources: contextlib.ExitStack) -> None:
        """Open the files and start the threads.

        Cleanup callbacks are registered with ``resources``. Raises
        StorageError or OSError when the files can't be used.
        """
        folder = self._options.data_folder
        resources.enter_context(_recovery.lock_folder(self._files, folder))
        options = self._options
        if _damaged_files.exist(folder):
            options = dataclasses.replace(options, grants_founding=False)
        opened = _recovery.open_files(options, self._files, self._metrics)
        resources.callback(opened.log.close)
        state = opened.state
        applier = _applier.Applier(state, self._machine, opened.snapshots)
        if opened.snapshot is not None:
            applier.restore(opened.snapshot)
        supervisor = utils.Supervisor('consensus', self._handle_fatal_error)
        writer = _writer.Writer(state, self._files, opened.snapshots, folder)
        changes = _membership_changes.MembershipChanges(state)
        membership_manager = _membership_manager.MembershipManager(
            state, opened.snapshots, supervisor, changes
        )
        resources.callback(self._resolve_remaining, state, changes)
        resources.callback(supervisor.close)
        resources.callback(self._stop, state, membership_manager, supervisor)
        self._state = state
        self._membership_changes = changes
        disk_space_monitor = _disk_space.DiskSpaceMonitor(state, self._files)
        supervisor.run('disk space monitor', disk_space_monitor.run)
        supervisor.run('writer', writer.run)
        supervisor.run('applier', applier.run)
        supervisor.run('election', _election.Election(state).run)
        supervisor.run('membership manager', membership_manager.run)
        supervisor.run('resolver', self._run_resolver)
        supervisor.run('listener', self._run_listener)

    def _stop(
        self,
        state: _state.NodeState,
        membership_manager: _membership_manager.MembershipManager,
        supervisor: utils.Supervisor,
    ) -> None:
        supervisor.stopping.set()
        with state.lock:
            state.closing = True
            state.become_follower()
            state.fail_pending_proposals()
            state.notify_all_threads()
        state.role_events.put(None)
        state.resolutions.put(None)
        membership_manager.close()

    def _handle_fatal_error(self, error: utils.InvariantError) -> None:
        state = self.state
        with state.lock:
            state.storage_failed = True
            state.become_follower()
            state.fail_pending_proposals()
        if self._on_fatal is not None:
            self._on_fatal(error)

    def _resolve_remaining(
        self,
        state: _state.NodeState,
        changes: _membership_changes.MembershipChanges,
    ) -> None:
        """Resolve the futures that the stopped threads left pending."""
        changes.process()
        with state.lock:
            works = list(state.work_queue)
            state.work_queue.clear()
        for work in works:
            match work:
                case _work_items.Proposal(future=future):
                    error = state.make_propose_error(
                        _errors.ProposeFailure.CLOSED, never_committed=True
                    )
                    _work_items.resolve_future(future, result.Failure(error))
                case _work_items.StartElection(entered_term=entered):
                    _work_items.resolve_future(entered, None)
                case _work_items.BootstrapCell(future=future):
                    change_error = _errors.ChangeError(
                        _errors.ChangeFailure.CLOSED
                    )
                    _work_items.resolve_future(
                        future, result.Failure(change_error)
                    )
        with state.lock:
            state.fail_pending_proposals()
        while not state.resolutions.empty():
            outcome = state.resolutions.get_nowait()
            if outcome is not None:
                _work_items.resolve_future(outcome.future, outcome.value)

    def _run_resolver(self, _stopping: threading.Event) -> None:
        while (outcome := self.state.resolutions.get()) is not None:
            _work_items.resolve_future(outcome.future, outcome.value)

    def _start_leading(self, term: messages.Term) -> None:
        """Notify the listener; a failure is fatal.

        Otherwise this node would stay the leader and serve nobody.
        """
        try:
            self._listener.on_leading(term)
        except Exception as error:
            _logger.exception('could not start leading', term=term)
            raise utils.InvariantError(
                f'could not start leading in term {term}: {error!r}'
            ) from error

    def _stop_leading(self, stopping: threading.Event) -> None:
        """Notify the listener, again after a failure; the last one is fatal.

        Otherwise what the listener has opened to lead would stay open.
        """
        for number in range(1, STOP_LEADING_ATTEMPTS_MAX + 1):
            try:
                self._listener.on_following()
                return
            except Exception as error:
                _logger.exception('could not stop leading', attempt=number)
                if number == STOP_LEADING_ATTEMPTS_MAX:
                    raise utils.InvariantError(
                        f'could not stop leading: {error!r}'
                    ) from error
            stopping.wait(utils.RESTART_BACKOFF_MIN_MS / 1000)

    def _run_listener(self, stopping: threading.Event) -> None:
        while (event := self.state.role_events.get()) is not None:
            match event:
                case _work_items.StartedLeading(term):
                    self._start_leading(term)
                case _work_items.StoppedLeading():
                    self._stop_leading(stopping)
