"""State that the components of a leader share."""

import collections.abc
import concurrent.futures
import threading
import typing

from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller import _metrics
from dandeliondrum.controller import _observations
from dandeliondrum.controller import _options
from dandeliondrum.controller import _pending
from dandeliondrum.controller import _sessions
from dandeliondrum.controller import _state
from dandeliondrum import messages
from dandeliondrum import placement
from dandeliondrum import transport
from dandeliondrum import utils

# Delay of a call that the log can't confirm for now.
RETRY_AFTER_MS = 1_000

ProposalFuture = concurrent.futures.Future[
    result.Result[typing.Any, consensus.ProposeError]
]


class Context:
    """State, log, planner and sessions of one term of leadership.

    ``lock`` protects everything except the replicated state, which has a
    lock of its own. Code that needs both takes ``lock`` first. No code waits
    for the log while it holds ``lock``. It is held while a plan is made, so
    what heartbeats need is protected by the lock of the state instead.
    """

    def __init__(
        self,
        options: _options.Options,
        state: _state.CellState,
        node: consensus.Node,
        term: messages.Term,
        metrics: _metrics.Metrics,
    ) -> None:
        self.options = options
        self.metrics = metrics
        self.state = state
        self.node = node
        self.term = term
        self.lock = threading.RLock()
        self.planner = placement.Planner()
        self.sessions = _sessions.Sessions()
        self.documents = transport.DocumentSender(self._newest_rules)
        self.observations = _observations.Observations()
        self.pending = _pending.PendingTasks()
        # Deadlines of recorded tasks that are queued for another attempt
        # although no gateway waits for them. Until then a gateway may ask
        # for the task again.
        self.abandoned_deadlines_ms: dict[messages.TaskId, int] = {}
        # Refusals of tasks that waited, to be committed again.
        self.unrecorded_refusals: list[messages.Refusal] = []
        # Attempts that a worker or a gateway has reported as running since
        # this leader's term began. Protected by the lock of the state.
        self.started_attempts: set[messages.AttemptId] = set()
        self.work_available = threading.Event()
        metrics.pending.set_function(self._waiting_count)
        self.started_ms = utils.monotonic_ms()
        self._cell_time_base_ms = state.cell_time_ms

    def _waiting_count(self) -> float:
        """Return the number of tasks that no worker has started."""
        with self.lock, self.state.lock:
            unstarted_count = sum(
                attempt_id not in self.started_attempts
                and task_id not in self.pending
                for worker in self.state.workers.values()
                for attempt_id, task_id in worker.attempts.items()
            )
            return float(len(self.pending) + unstarted_count)

    def _newest_rules(self) -> tuple[messages.RulesVersion, str]:
        record = self.state.rules_record
        return record.version, record.text

    def now_ms(self) -> int:
        """Return the cell time in ms; see :mod:`messages`."""
        elapsed_ms = utils.monotonic_ms() - self.started_ms
        return self._cell_time_base_ms + elapsed_ms

    def propose(self, command: typing.Any) -> ProposalFuture:
        """Propose a command; the future holds the outcome of applying it."""
        return self.node.propose(messages.encode(command))

    def answer_if_confirmed(
        self, function: collections.abc.Callable[[], typing.Any]
    ) -> concurrent.futures.Future[typing.Any]:
        """Return a future of a reply that needs the leadership.

        ``function`` makes the reply once a quorum has confirmed the
        leadership; without that the reply is NotLeader. The contact with the
        quorum may be late for a moment only, and the log may accept nothing
        for now. NotLeader would then make the gateways search for a leader.
        """

        def answer(
            outcome: result.Result[typing.Any, consensus.ProposeError],
        ) -> typing.Any:
            if isinstance(outcome, result.Failure):
                return _unconfirmed_reply(outcome.failure())
            return function()

        return utils.map_future(self.node.confirm_leadership(), answer)

    def add_pending(self, entry: _pending.PendingEntry) -> typing.Any:
        """Add a task to the planner and return the planner's Result."""
        spec = entry.spec
        outcome = self.planner.add(
            placement.PendingTask(
                task_id=spec.task_id,
                team_id=spec.team_id,
                queue=spec.queue,
                task_class=spec.task_class,
                resources=spec.resources,
                submitted_ms=self.now_ms(),
                deadline_ms=entry.deadline_ms,
                expected_run_ms=spec.expected_run_ms,
                region=spec.region,
                gang_id=None if entry.is_retry else spec.gang_id,
                gang_size=1 if entry.is_retry else spec.gang_size,
                excluded_workers=entry.excluded_workers,
                preemptible=spec.idempotent,
                isolated=entry.isolated,
            )
        )
        if isinstance(outcome, result.Success):
            self.pending.add(entry)
            self.work_available.set()
        return outcome

    def drop_pending(self, task_id: messages.TaskId) -> bool:
        """Remove a waiting task from the planner; False if it is placed.

        A placed task stays pending until its assignment is committed or
        rejected.
        """
        if not self.planner.discard(task_id):
            return False
        self.pending.remove(task_id)
        return True


def _unconfirmed_reply(error: consensus.ProposeError) -> typing.Any:
    match error.failure:
        case (
            consensus.ProposeFailure.OVERLOADED
            | consensus.ProposeFailure.STORAGE_FULL
        ):
            return messages.CallFailed(
                str(error.failure.value), True, RETRY_AFTER_MS
            )
    return messages.NotLeader()
