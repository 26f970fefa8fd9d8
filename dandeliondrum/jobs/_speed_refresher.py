"""Thread that computes the speeds of workers during one term."""

import threading

from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import speeds

# It takes 25 ms of processor time for 352 workers with 12 samples each, about
# a hundredth of the interval, apart from the rounds of planning.
REFRESH_INTERVAL_MS = 2_000


class SpeedRefresher:
    """Computes and reports the speeds of workers at regular intervals."""

    def __init__(self, term: _term.Term) -> None:
        self._term = term

    def run(self, stopping: threading.Event) -> None:
        """Refresh the speeds until ``stopping`` is set."""
        while not stopping.wait(REFRESH_INTERVAL_MS / 1000):
            self.refresh()

    def refresh(self) -> None:
        """Compute the speeds and report changes of tiers."""
        term = self._term
        with term.state.lock:
            pool_by_worker = {
                worker_id: worker.facts.pool
                for worker_id, worker in term.state.workers.items()
            }
        changes = term.speeds.refresh(pool_by_worker, _clock.elapsed_ms())
        for name, worker_ids in changes.items():
            speeds.log_change(name, term.speeds.pool(name), worker_ids)
        for name, pool in term.speeds.pools.items():
            term.metrics.record_speeds(name, pool)
