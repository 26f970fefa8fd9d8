"""Public interface of a node of the replicated log."""

import collections.abc
import concurrent.futures
import contextlib
import pathlib
import time
import typing

import prometheus_client
from returns import result

from dandeliondrum.consensus import _bootstrap
from dandeliondrum.consensus import _damaged_files
from dandeliondrum.consensus import _early_replies
from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _interfaces
from dandeliondrum.consensus import _membership
from dandeliondrum.consensus import _membership_changes
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _metrics
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _progress
from dandeliondrum.consensus import _records
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _status
from dandeliondrum.consensus import _threads
from dandeliondrum.consensus import _transfer
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils


def move_damaged_files(
    folder: pathlib.Path, files: _files.Files | None = None
) -> result.Result[pathlib.Path, _errors.StartError]:
    """Move the files of a data folder, so that a node can start without them.

    The node then no longer knows what it has voted and acknowledged: it must
    be taken into the cell again, as after the loss of its disk, and founds no
    cell. Returns the folder of the moved files, or a StartError when the data
    folder is in use or its files can't be moved.
    """
    try:
        return result.Success(
            _damaged_files.move(files or _files.Files(), folder)
        )
    except _errors.StorageError as error:
        return result.Failure(error.error)
    except OSError as error:
        return result.Failure(_errors.StartError(str(error), str(folder)))


class Node:
    """Replicates a state machine across the controllers of a cell.

    The owner runs the server that receives the requests of the other nodes,
    and passes on those that the node handles. Metrics are registered with
    ``registry``. ``on_fatal`` is called when a violated invariant has
    stopped the node.

    Example::

        node = consensus.Node(options, machine, listener, registry=registry)
        node.start().unwrap()

        def on_call(connection, message):
            if node.handles(message):
                return node.handle(connection, message)
            ...

        node.bootstrap([(ControllerId('c1'), '10.0.0.1:7000')]).unwrap()
        node.propose(b'command').result()
    """

    def __init__(
        self,
        options: _options.Options,
        machine: _interfaces.StateMachine,
        listener: _interfaces.Listener,
        on_fatal: _threads.OnFatal | None = None,
        files: _files.Files | None = None,
        registry: prometheus_client.CollectorRegistry | None = None,
    ) -> None:
        self._options = options
        self._threads = _threads.NodeThreads(
            options,
            machine,
            listener,
            on_fatal,
            files or _files.Files(),
            _metrics.Metrics(registry),
        )
        self._resources = contextlib.ExitStack()

    def start(self) -> result.Result[None, _errors.StartError]:
        """Load the files and join the cell.

        Returns a StartError when the files can't be used.
        """
        try:
            with contextlib.ExitStack() as opened:
                self._threads.open(opened)
                self._resources = opened.pop_all()
        except _errors.StorageError as error:
            return result.Failure(error.error)
        except OSError as error:
            name = error.filename or self._options.data_folder
            return result.Failure(
                _errors.StartError(
                    str(error), str(name), may_pass=utils.is_passing(error)
                )
            )
        return result.Success(None)

    def close(self) -> None:
        """Stop the node and resolve all pending futures."""
        self._resources.close()

    def handles(self, message: typing.Any) -> bool:
        """Return whether the message is a request between nodes."""
        return isinstance(message, _messages.REQUESTS)

    def handle(
        self, connection: transport.Connection, message: typing.Any
    ) -> concurrent.futures.Future[typing.Any]:
        """Queue a request of another node and return a future of its reply.

        A heartbeat is answered at once while the writer thread waits for the
        disk. It is queued nevertheless, for the commit index.
        """
        state = self._threads.state
        reply: concurrent.futures.Future[typing.Any]
        reply = concurrent.futures.Future()
        with state.lock:
            if isinstance(message, _messages.AppendEntries):
                if message.term == state.term and not state.is_leader():
                    # Recorded before the writer thread handles the request,
                    # so that a slow disk doesn't trigger an election.
                    state.record_leader_contact(message.leader_id)
                    early = _early_replies.reply_to_heartbeat(state, message)
                    if early is not None:
                        reply.set_result(early)
            state.enqueue_work(_work_items.PeerRequest(message, reply))
        return reply

    def propose(self, command: bytes) -> _work_items.ProposeFuture:
        """Replicate a command of up to COMMAND_BYTES_MAX bytes and apply it.

        The future holds the result of the state machine, or a ProposeError.
        """
        return self._propose(
            _work_items.Proposal(
                _records.EntryKind.COMMAND,
                command,
                concurrent.futures.Future(),
            )
        )

    def confirm_leadership(
        self,
    ) -> concurrent.futures.Future[result.Result[None, _errors.ProposeError]]:
        """Confirm that this node still led at the time of the call.

        The future succeeds once a quorum has answered requests sent after
        the call and all entries committed before it are applied, as for a
        linearizable read.
        """
        state = self._threads.state
        future: concurrent.futures.Future[typing.Any]
        future = concurrent.futures.Future()
        with state.lock:
            refusal = self._check_proposable(state)
            if refusal is None:
                asked_ns = time.monotonic_ns()
                state.heartbeat_requested_ns = asked_ns
                state.confirmations.append(
                    _progress.Confirmation(
                        asked_ns, state.commit_index, future
                    )
                )
                ready = state.take_ready_confirmations()
                state.wake_peers()
        if refusal is not None:
            future.set_result(result.Failure(refusal))
            return future
        for confirmation in ready:
            _work_items.resolve_future(
                confirmation.future, result.Success(None)
            )
        return future

    def is_leading(self) -> bool:
        """Return whether this node leads with a recently confirmed quorum."""
        if not self._threads.started:
            return False
        state = self._threads.state
        with state.lock:
            return state.has_recent_quorum()

    def status(self) -> _interfaces.NodeStatus:
        """Return the current state of the node, for monitoring."""
        state = self._threads.state
        with state.lock:
            return _status.read(state)

    def bootstrap(
        self,
        members: collections.abc.Iterable[tuple[messages.ControllerId, str]],
        by_majority: bool = False,
    ) -> _work_items.ChangeResult:
        """Bootstrap a cell with these voters, given as id and ``host:port``.

        This node must be one of them. All must be running with an empty
        disk; with ``by_majority`` it suffices that most of them are, and the
        others are left out. Blocks until the first entry is written or the
        attempt fails.
        """
        return _bootstrap.bootstrap_cell(
            self._threads.state, tuple(members), by_majority
        )

    def add_member(
        self,
        controller_id: messages.ControllerId,
        address: str,
        until_voter: bool = True,
    ) -> _work_items.ChangeFuture:
        """Add a controller; the future resolves once it is a voter.

        Without ``until_voter`` it resolves once the controller is a learner,
        which is promoted when it has caught up and there is room for a voter.
        """
        future: _work_items.ChangeFuture = concurrent.futures.Future()
        self._threads.changes.submit(
            _membership_changes.AddMember(
                controller_id, address, future, until_voter
            )
        )
        return future

    def remove_member(
        self, controller_id: messages.ControllerId
    ) -> _work_items.ChangeFuture:
        """Remove a controller.

        The leader can't remove itself; it has to transfer leadership first.
        """
        future: _work_items.ChangeFuture = concurrent.futures.Future()
        self._threads.changes.submit(
            _membership_changes.RemoveMember(controller_id, future)
        )
        return future

    def transfer_leadership(
        self, target: messages.ControllerId | None = None
    ) -> _work_items.ChangeFuture:
        """Transfer leadership to ``target``.

        The default is the reachable voter with enough disk space and the
        highest match index.

        New proposals are refused during the transfer, and earlier ones are
        completed first.
        """
        state = self._threads.state
        future: _work_items.ChangeFuture = concurrent.futures.Future()
        with state.lock:
            failure = self._begin_transfer(state, target, future)
        if failure is not None:
            future.set_result(result.Failure(_errors.ChangeError(failure)))
        return future

    def _begin_transfer(
        self,
        state: _state.NodeState,
        target: messages.ControllerId | None,
        future: _work_items.ChangeFuture,
    ) -> _errors.ChangeFailure | None:
        if not state.is_leader() or state.closing:
            return _errors.ChangeFailure.NOT_LEADING
        if state.transfer_target is not None:
            return _errors.ChangeFailure.CHANGE_IN_PROGRESS
        if target is not None:
            known = _membership.voter(state.history.current, target)
            if known is None or target == state.node_id:
                return _errors.ChangeFailure.UNKNOWN_MEMBER
        successor = target or _transfer.best_successor(state)
        if successor is None:
            return _errors.ChangeFailure.LOSES_QUORUM
        state.transfer_future = future
        _transfer.begin(state, successor)
        return None

    def _propose(
        self, proposal: _work_items.Proposal
    ) -> _work_items.ProposeFuture:
        state = self._threads.state
        with state.lock:
            refusal = self._check_proposable(state)
            size_bytes = len(proposal.payload)
            if refusal is None and size_bytes > _options.COMMAND_BYTES_MAX:
                refusal = state.make_propose_error(
                    _errors.ProposeFailure.TOO_LARGE, never_committed=True
                )
            if refusal is None:
                state.work_queue.append(proposal)
                state.queued_proposals_count += 1
                state.writer_condition.notify()
        if refusal is not None:
            proposal.future.set_result(result.Failure(refusal))
        return proposal.future

    def _check_proposable(
        self, state: _state.NodeState
    ) -> _errors.ProposeError | None:
        waiting_count = state.queued_proposals_count + len(state.pending)
        if state.closing:
            failure = _errors.ProposeFailure.CLOSED
        elif state.storage_failed:
            failure = _errors.ProposeFailure.STORAGE_FAILED
        elif state.is_leader() and state.storage_full:
            failure = _errors.ProposeFailure.STORAGE_FULL
        elif state.transfer_target is not None or not state.is_leader():
            failure = _errors.ProposeFailure.NOT_LEADING
        elif waiting_count >= _options.UNAPPLIED_PROPOSALS_MAX:
            failure = _errors.ProposeFailure.OVERLOADED
        else:
            return None
        return state.make_propose_error(failure, never_committed=True)
