"""Periodic check that some thread acts on each assigned run.

An accepted task must not be lost to a fault in the handling of its orders.
"""

import structlog

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import _workers
from dandeliondrum import messages

INTERVAL_MS = 5_000

_logger = structlog.get_logger()


class Audit:
    """Finds assigned runs whose end would never be recorded.

    Each one is logged as a warning and stopped, after which the lists of its
    worker settle it. What it finds is a fault of the leader.
    """

    def __init__(self, term: _term.Term, workers: _workers.Workers) -> None:
        self._term = term
        self._workers = workers
        # Workers without a peer at the last check. A worker that is being
        # added or removed has none for a moment.
        self._without_peer: set[messages.WorkerId] = set()

    def check(self) -> None:
        """Settle stuck runs and the runs of workers without a peer."""
        term = self._term
        with term.lock, term.state.lock:
            without_peer = set(term.state.workers.keys() - term.peers.keys())
        if without_peer & self._without_peer:
            for worker_id in self._workers.restore():
                _logger.warning('worker had no peer', worker=worker_id)
        self._without_peer = without_peer
        now_ms = _clock.elapsed_ms()
        for worker_id, task, run in self._assigned_runs():
            peer = term.peers.get(worker_id)
            if peer is None:
                continue
            cause = peer.orders.stuck_cause(task, run, now_ms)
            if cause:
                term.metrics.stuck.labels(cause).inc()
                _logger.warning(
                    'run stuck',
                    task=str(task),
                    run=run,
                    worker=worker_id,
                    why=cause,
                )
                peer.orders.stop(task, run)

    def _assigned_runs(
        self,
    ) -> list[tuple[messages.WorkerId, _specs.TaskKey, int]]:
        state = self._term.state
        with state.lock:
            return [
                (worker_id, task, run)
                for worker_id, worker in state.workers.items()
                for task, run in worker.runs.items()
            ]
