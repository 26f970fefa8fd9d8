"""State shared by the components of the leader during one term."""

import concurrent.futures
import queue
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _admission
from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _health
from dandeliondrum.jobs import _leader_load
from dandeliondrum.jobs import _leader_options
from dandeliondrum.jobs import _metrics
from dandeliondrum.jobs import _port
from dandeliondrum.jobs import _progress
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _state
from dandeliondrum.jobs import _worker_peer
from dandeliondrum.jobs import speeds
from dandeliondrum import messages
from dandeliondrum import transport

# Longer than an election, after which a pending proposal has failed.
PROPOSE_TIMEOUT_MS = 5_000
CONFIRM_TIMEOUT_MS = 1_000

_logger = structlog.get_logger()

Proposed = concurrent.futures.Future[
    result.Result[typing.Any, consensus.ProposeError]
]


class Term:
    """State, log, workers and sessions of one term of leadership.

    ``lock`` protects the fields that are not replicated. Code that also needs
    the lock of the replicated state acquires ``lock`` first.
    """

    def __init__(
        self,
        options: _leader_options.LeaderOptions,
        number: messages.Term,
        state: _state.JobsState,
        node: consensus.Node,
        port: _port.WorkerPort,
        adviser_client: _adviser_client.AdviserClient,
        metrics: _metrics.Metrics,
    ) -> None:
        self.options = options
        self.number = number
        self.state = state
        self.node = node
        self.port = port
        self.adviser_client = adviser_client
        self.metrics = metrics
        self.load = _leader_load.LeaderLoad(metrics)
        self.lock = threading.RLock()
        self.round_requested = threading.Event()
        # Jobs that were accepted since the scheduler last looked; None only
        # wakes it.
        self.new_jobs: queue.SimpleQueue[_specs.JobId | None] = (
            queue.SimpleQueue()
        )
        self.peers: dict[messages.WorkerId, _worker_peer.WorkerPeer] = {}
        self.admission = _admission.Admission()
        self.health = _health.Health(
            lambda: len(self.peers), self._alike_workers
        )
        self.speeds = speeds.SpeedTable()
        self.progress = _progress.Progress(self.speeds)
        self.advice = _advice.GrantCache()
        self.adviser_clients = _advice.AdviserClientPool()
        self.sessions: transport.SessionTable[transport.Session] = (
            transport.SessionTable()
        )
        self.failed_on: dict[
            tuple[_specs.JobId, int], set[messages.WorkerId]
        ] = {}
        # Queue and acceptance time of jobs that were accepted in this term
        # and have not started yet.
        self.accepted_ms: dict[
            _specs.JobId, tuple[messages.QueueName, int]
        ] = {}
        # Jobs with a step that the usable workers can't run, and why; replaced
        # as a whole by each round.
        self.unfit_reasons: dict[_specs.JobId, str] = {}
        self._suspension = _clock.SuspensionDetector()
        self._suspension_lock = threading.Lock()

    def _alike_workers(
        self, worker_id: messages.WorkerId
    ) -> list[messages.WorkerId]:
        """Return the workers of the same pool and kind, on any rack."""
        peer = self.peers.get(worker_id)
        if peer is None:
            return []
        kind = _kind(peer.facts)
        return [
            other_id
            for other_id, other in list(self.peers.items())
            if _kind(other.facts) == kind
        ]

    def may_act(self) -> bool:
        """Return whether this process is certain to be the leader.

        After a suspension of the VM a quorum has to confirm it, since another
        leader may have been elected in the meantime.
        """
        if not self.node.is_leading():
            return False
        if not self._suspension.suspended():
            return True
        with self._suspension_lock:
            if not self._suspension.suspended():
                return True
            return self._confirm_lead()

    def _confirm_lead(self) -> bool:
        suspended_ms = self._suspension.suspended_ms()
        try:
            outcome = self.node.confirm_leadership().result(
                CONFIRM_TIMEOUT_MS / 1000
            )
        except concurrent.futures.TimeoutError:
            return False
        confirmed = isinstance(outcome, result.Success)
        _logger.warning(
            'suspended', suspended_ms=suspended_ms, still_leading=confirmed
        )
        if confirmed:
            self._suspension.reset()
        return confirmed

    def propose(self, command: typing.Any) -> Proposed:
        """Propose a command; return a future of its result."""
        encoded = messages.encode(command)
        proposed_s = time.monotonic()
        commit_id = self.admission.begin_commit(_clock.elapsed_ms())

        def finish(_: Proposed) -> None:
            self.admission.end_commit(commit_id, _clock.elapsed_ms())
            self.load.record_command(time.monotonic() - proposed_s)

        try:
            proposed = self.node.propose(encoded)
        except BaseException:
            self.admission.end_commit(commit_id, _clock.elapsed_ms())
            raise
        proposed.add_done_callback(finish)
        return proposed

    def commit(
        self, command: typing.Any
    ) -> result.Result[typing.Any, consensus.ProposeError | str]:
        """Propose a command and wait until it is applied."""
        try:
            return self.propose(command).result(PROPOSE_TIMEOUT_MS / 1000)
        except concurrent.futures.TimeoutError:
            return result.Failure('command not applied in time')


def _kind(facts: _commands.WorkerFacts) -> tuple[str, frozenset[str]]:
    return facts.pool, frozenset(facts.labels) - {facts.rack}
