"""The scheduling order of a round, derived from the replicated state."""

import collections
import collections.abc

import structlog

from dandeliondrum.jobs import _demands
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _term
from dandeliondrum.jobs import queueing

# Minimum interval between log lines about the contention of pools.
REPORT_INTERVAL_MS = 1_000
# Minimum interval between looks at contention, and between reads of what runs.
# Both take a fifth of a round with 250 waiting steps.
CONTENTION_INTERVAL_MS = 250
RUNNING_INTERVAL_MS = 250

_logger = structlog.get_logger()


class Ordering:
    """Orders the demands of each round and reports what decided the order.

    Not thread-safe: only the scheduler's thread uses it.
    """

    def __init__(self, term: _term.Term) -> None:
        self._term = term
        # Standings that differ from the neutral one.
        self._standings: dict[_planner.StepKey, queueing.Standing] = {}
        self._found_ms: int | None = None
        self._running: dict[str, queueing.Running] = {}
        self._running_ms: int | None = None
        self._reported: frozenset[str] = frozenset()
        self._reported_ms: int | None = None

    def order(
        self,
        demands: list[_planner.Demand],
        workers: list[_planner.AvailableWorker],
        unfit_steps: collections.abc.Container[_planner.StepKey],
        now_ms: int,
    ) -> list[_planner.Demand]:
        """Return the demands in scheduling order.

        Their standings are those of the last look at contention, if that was
        just before. ``unfit_steps`` can't run on the workers, so they compete
        with no other step. The caller holds the lock of the term.
        """
        if (
            self._found_ms is None
            or now_ms - self._found_ms >= CONTENTION_INTERVAL_MS
        ):
            self._found_ms = now_ms
            return self._find_standings(demands, workers, unfit_steps, now_ms)
        for demand in demands:
            demand.standing = self._standings.get(
                (demand.job_id, demand.step), queueing.NEUTRAL
            )
        return sorted(demands, key=queueing.sort_key)

    def clear(self) -> None:
        """Reset the gauges while nothing waits."""
        self._standings = {}
        self._found_ms = None
        self._record({}, collections.Counter())

    def _find_standings(
        self,
        demands: list[_planner.Demand],
        workers: list[_planner.AvailableWorker],
        unfit_steps: collections.abc.Container[_planner.StepKey],
        now_ms: int,
    ) -> list[_planner.Demand]:
        contended = queueing.contended_pools(
            (
                demand
                for demand in demands
                if (demand.job_id, demand.step) not in unfit_steps
            ),
            queueing.pool_rooms(workers),
        )
        contention = queueing.Contention()
        if contended:
            self._read_running(workers, now_ms)
            policy = self._term.state.policy
            contention = queueing.Contention(
                contended,
                self._running,
                {team.team_id: team.share for team in policy.teams},
            )
        ordered = queueing.order(demands, contention, now_ms)
        self._standings = {
            (demand.job_id, demand.step): demand.standing
            for demand in demands
            if demand.standing is not queueing.NEUTRAL
        }
        causes = collections.Counter(map(queueing.cause_of, demands))
        self._record(contended, causes)
        self._report(contended, causes, now_ms)
        return ordered

    def _record(
        self,
        contended: collections.abc.Collection[str],
        causes: collections.Counter[queueing.Cause],
    ) -> None:
        metrics = self._term.metrics
        metrics.contended_pools.set(len(contended))
        for cause in queueing.Cause:
            metrics.waiting_steps.labels(cause.name.lower()).set(causes[cause])

    def _read_running(
        self, workers: list[_planner.AvailableWorker], now_ms: int
    ) -> None:
        """Read what runs on the workers, unless that was done just before."""
        if (
            self._running_ms is not None
            and now_ms - self._running_ms < RUNNING_INTERVAL_MS
        ):
            return
        self._running_ms = now_ms
        peers, state = self._term.peers, self._term.state
        with state.lock:
            self._running = _demands.running_work(
                state,
                {
                    worker.worker_id: peers[worker.worker_id].orders
                    for worker in workers
                },
                now_ms,
            )

    def _report(
        self,
        contended: collections.abc.Mapping[str, queueing.PoolRoom],
        causes: collections.Counter[queueing.Cause],
        now_ms: int,
    ) -> None:
        """Log which pools came under contention or left it."""
        pools = frozenset(contended)
        if pools == self._reported or (
            self._reported_ms is not None
            and now_ms - self._reported_ms < REPORT_INTERVAL_MS
        ):
            return
        _logger.info(
            'contention changed',
            contended_pools=sorted(pools),
            ended_pools=sorted(self._reported - pools),
            free_cpu_millicores={
                pool: room.free.cpu_millicores
                for pool, room in sorted(contended.items())
            },
            waiting_steps={
                cause.name.lower(): count for cause, count in causes.items()
            },
        )
        self._reported, self._reported_ms = pools, now_ms
