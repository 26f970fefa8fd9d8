"""What the parts of a leader share."""

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
from dandeliondrum import utils

Proposed = concurrent.futures.Future[
    result.Result[typing.Any, consensus.ProposeError]
]


class Context:
    """State, log, planner and sessions of one term of leadership.

    ``lock`` protects everything but the replicated state. Whoever needs
    both takes ``lock`` first. Nobody waits for the log while holding it.
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
        self.observations = _observations.Observations()
        self.pending = _pending.Pending()
        # Tasks on record that wait for another attempt while no gateway
        # does: until when one may still ask for them.
        self.unwanted: dict[messages.TaskId, int] = {}
        self.work = threading.Event()
        metrics.pending.set_function(lambda: float(len(self.pending)))
        self.started_ms = utils.monotonic_ms()
        self._cell_time_base_ms = state.cell_time_ms

    def now_ms(self) -> int:
        """Return the cell's own time; see :mod:`messages`."""
        elapsed_ms = utils.monotonic_ms() - self.started_ms
        return self._cell_time_base_ms + elapsed_ms

    def propose(self, command: typing.Any) -> Proposed:
        """Propose a command; the future holds what applying it gave."""
        return self.node.propose(messages.encode(command))

    def add_pending(self, entry: _pending.PendingEntry) -> typing.Any:
        """Hand a task to the planner; the planner's Result is returned."""
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
            )
        )
        if isinstance(outcome, result.Success):
            self.pending.add(entry)
            self.work.set()
        return outcome

    def drop_pending(self, task_id: messages.TaskId) -> bool:
        """Take a task back from the planner; False when it is placed.

        A task that is placed stays on the books until the log has spoken
        about its assignment.
        """
        if not self.planner.discard(task_id):
            return False
        self.pending.remove(task_id)
        return True
