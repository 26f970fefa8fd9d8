"""A node of the replicated log."""

import collections.abc
import concurrent.futures
import contextlib
import time
import typing

import prometheus_client
from returns import result

from dandeliondrum.consensus import _changes
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _founding
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _status
from dandeliondrum.consensus import _tasks
from dandeliondrum.consensus import _transfer
from dandeliondrum.consensus import _works
from dandeliondrum import messages
from dandeliondrum import transport


class Node:
    """Keeps a state machine in step with those of the other controllers.

    The owner has the server on which the other nodes call this one, and
    passes on what the node handles. Metrics go into the owner's registry.
    ``on_fatal`` is called when a broken invariant has stopped the node.

    Example::

        node = consensus.Node(options, machine, listener, registry=registry)
        node.start().unwrap()

        def on_call(connection, message):
            if node.handles(message):
                return node.handle(connection, message)
            ...

        node.form([(ControllerId('c1'), '10.0.0.1:7000')]).unwrap()
        node.propose(b'command').result()
    """

    def __init__(
        self,
        options: _options.Options,
        machine: _interfaces.StateMachine,
        listener: _interfaces.Listener,
        on_fatal: _tasks.OnFatal | None = None,
        files: _files.Files | None = None,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._options = options
        self._tasks = _tasks.Tasks(
            options,
            machine,
            listener,
            on_fatal,
            files or _files.Files(),
            _metrics.Metrics(registry),
        )
        self._resources = contextlib.ExitStack()

    def start(self) -> result.Result[None, _errors.StartError]:
        """Read the files and take part from then on."""
        with contextlib.ExitStack() as opened:
            try:
                self._tasks.open(opened)
            except _errors.StorageError as error:
                return result.Failure(error.error)
            except OSError as error:
                name = error.filename or self._options.data_folder
                return result.Failure(
                    _errors.StartError(str(error), str(name))
                )
            self._resources = opened.pop_all()
        return result.Success(None)

    def close(self) -> None:
        """Take no further part; all futures that wait are resolved."""
        self._resources.close()

    def handles(self, message: typing.Any) -> bool:
        """Whether the message is one between nodes."""
        return isinstance(message, _messages.REQUESTS)

    def handle(
        self, connection: transport.Connection, message: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        """Return a future of the reply to another node's message."""
        state = self._tasks.state
        reply: concurrent.futures.Future[typing.Any]
        reply = concurrent.futures.Future()
        with state.lock:
            if isinstance(message, _messages.AppendEntries):
                if message.term == state.term and not state.leads():
                    # A slow disk must not make the leader seem silent.
                    state.hear_leader(message.leader_id)
            state.put(_works.Incoming(message, reply))
        return reply

    def propose(self, command: bytes) -> _works.ProposeFuture:
        """Have a command agreed on and applied.

        The future holds what the state machine returned, or a ProposeError.
        """
        return self._propose(
            _works.Proposal(
                _records.EntryKind.COMMAND,
                command,
                concurrent.futures.Future(),
            )
        )

    def confirm(
        self,
    ) -> concurrent.futures.Future[result.Result[None, _errors.ProposeError]]:
        """Make sure that no later leader had taken over before this call.

        The future succeeds once a quorum has answered calls sent after this
        one, and all that was committed before it is applied.
        """
        state = self._tasks.state
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        with state.lock:
            refusal = self._refusal(state)
            if refusal is None:
                asked_ns = time.monotonic_ns()
                state.hurry_ns = asked_ns
                state.confirmations.append(
                    _progress.Confirmation(
                        asked_ns, state.commit_index, future
                    )
                )
                ready = state.settle_confirmations()
                state.peers_wake.notify_all()
        if refusal is not None:
            future.set_result(result.Failure(refusal))
            return future
        for confirmation in ready:
            _works.settle(confirmation.future, result.Success(None))
        return future

    def leading(self) -> bool:
        """Whether a quorum followed this node within the last while."""
        if not self._tasks.started:
            return False
        state = self._tasks.state
        with state.lock:
            return state.quorum_is_fresh()

    def status(self) -> _interfaces.NodeStatus:
        """Return a reading of the node's state."""
        state = self._tasks.state
        with state.lock:
            return _status.read(state)

    def form(
        self,
        members: collections.abc.Iterable[tuple[messages.ControllerId, str]],
    ) -> _works.ChangeResult:
        """Found a cell with these voters and addresses; this is one of them.

        All must be up, and the disk of each must be empty.
        """
        return _founding.found(self._tasks.state, tuple(members))

    def add_member(
        self, controller_id: messages.ControllerId, address: str
    ) -> _works.ChangeFuture:
        """Take in a controller; the future resolves once it votes."""
        future: _works.ChangeFuture = concurrent.futures.Future()
        self._tasks.changes.ask(
            _changes.AddMember(controller_id, address, future)
        )
        return future

    def remove_member(
        self, controller_id: messages.ControllerId
    ) -> _works.ChangeFuture:
        """Take a controller out; the leader itself has to transfer first."""
        future: _works.ChangeFuture = concurrent.futures.Future()
        self._tasks.changes.ask(_changes.RemoveMember(controller_id, future))
        return future

    def transfer(
        self, target: messages.ControllerId | None = None
    ) -> _works.ChangeFuture:
        """Let another voter lead; by default the one that is best off.

        Proposals are refused from then on. What was proposed before is
        finished first.
        """
        state = self._tasks.state
        future: _works.ChangeFuture = concurrent.futures.Future()
        with state.lock:
            failure = self._begin_transfer(state, target, future)
        if failure is not None:
            future.set_result(result.Failure(_errors.ChangeError(failure)))
        return future

    def _begin_transfer(
        self,
        state: _state.NodeState,
        target: messages.ControllerId | None,
        future: _works.ChangeFuture,
    ) -> _errors.ChangeFailure | None:
        if not state.leads() or state.closing:
            return _errors.ChangeFailure.NOT_LEADING
        if state.transfer_target is not None:
            return _errors.ChangeFailure.CHANGE_IN_PROGRESS
        if target is not None:
            known = _membership.voter(state.history.current, target)
            if known is None or target == state.me:
                return _errors.ChangeFailure.UNKNOWN_MEMBER
        successor = target or _transfer.best_successor(state)
        if successor is None:
            return _errors.ChangeFailure.LOSES_QUORUM
        state.transfer_future = future
        _transfer.begin(state, successor)
        return None

    def _propose(self, proposal: _works.Proposal) -> _works.ProposeFuture:
        state = self._tasks.state
        with state.lock:
            refusal = self._refusal(state)
            size_bytes = len(proposal.payload)
            if refusal is None and size_bytes > _options.COMMAND_BYTES_MAX:
                refusal = state.error(
                    _errors.ProposeFailure.TOO_LARGE, not_done=True
                )
            if refusal is None:
                state.works.append(proposal)
                state.proposals_waiting += 1
                state.writer_wakes.notify()
        if refusal is not None:
            proposal.future.set_result(result.Failure(refusal))
        return proposal.future

    def _refusal(self, state: _state.NodeState) -> _errors.ProposeError | None:
        waiting_count = state.proposals_waiting + len(state.pending)
        if state.closing:
            failure = _errors.ProposeFailure.CLOSED
        elif state.storage_failed:
            failure = _errors.ProposeFailure.STORAGE_FAILED
        elif state.leads() and state.storage_full:
            failure = _errors.ProposeFailure.STORAGE_FULL
        elif state.transfer_target is not None or not state.leads():
            failure = _errors.ProposeFailure.NOT_LEADING
        elif waiting_count >= _options.PROPOSALS_WAITING_MAX:
            failure = _errors.ProposeFailure.OVERLOADED
        else:
            return None
        return state.error(failure, not_done=True)
