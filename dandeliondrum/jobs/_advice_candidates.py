"""Workers of a planning round as candidates for calls to the adviser."""

import collections
import collections.abc

from dandeliondrum.jobs import _advice
from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _policy
from dandeliondrum.jobs import _specs
from dandeliondrum import messages


# Workers of one speed.
_Part = tuple[float, list[_planner.AvailableWorker]]


class CandidateWorkers:
    """The usable workers of each pool, sorted once for all demands.

    Those that the last round kept free for some demand come behind all
    others, and slower ones behind faster ones.
    """

    def __init__(
        self,
        workers: collections.abc.Iterable[_planner.AvailableWorker],
        reserved_ids: collections.abc.Set[messages.WorkerId] = frozenset(),
    ) -> None:
        self._by_pool: dict[str, list[_planner.AvailableWorker]] = {}
        for worker in workers:
            self._by_pool.setdefault(worker.pool, []).append(worker)
        self._reserved_ids = reserved_ids
        # The workers that are not reserved, and those that are, each by
        # speed.
        self._sorted: dict[str, tuple[_Part, ...]] = {}
        self._capacities: dict[str, set[messages.Resources]] = {}

    def select(
        self,
        demand: _planner.Demand,
        only_with_capacity: bool,
        expects_capacity: bool = False,
        first_call_max: int | None = None,
    ) -> list[_advice.Candidate]:
        """Return the candidates for a demand, the most free CPU first.

        Faster workers come before slower ones, whatever CPU is free there.
        Those that are too slow for the demand count as having no capacity.
        ``only_with_capacity`` leaves out those without sufficient resources.
        With ``expects_capacity`` all workers count as having capacity. With
        ``first_call_max``, workers that would not be among that many in a
        first call may be missing: it prefers those with capacity.
        """
        label = demand.spec.required_label
        charge = demand.spec.charged()
        cpu, memory = charge.cpu_millicores, charge.memory_mb
        accelerators = charge.accelerators_count
        least_speed = demand.least_speed
        only_with_capacity = only_with_capacity and not expects_capacity
        found: list[_advice.Candidate] = []
        with_capacity_count = 0
        for speed, part in self._sorted_workers(demand.pool):
            is_fast_enough = speed >= least_speed
            if only_with_capacity and not is_fast_enough:
                continue
            for worker in part:
                free = worker.free
                if only_with_capacity and free.cpu_millicores < cpu:
                    break
                if first_call_max is not None and (
                    with_capacity_count >= first_call_max
                    or (
                        free.cpu_millicores < cpu
                        and len(found) >= first_call_max
                        and not expects_capacity
                    )
                ):
                    break
                if label and label not in worker.labels:
                    continue
                has_capacity = (
                    is_fast_enough
                    and not _is_at_limit(demand, worker.worker_id)
                    and (
                        expects_capacity
                        or (
                            cpu <= free.cpu_millicores
                            and memory <= free.memory_mb
                            and accelerators <= free.accelerators_count
                        )
                    )
                )
                with_capacity_count += has_capacity
                if has_capacity or not only_with_capacity:
                    found.append(
                        _advice.Candidate(worker.worker_id, has_capacity)
                    )
        return found

    def count_needed(self, demand: _planner.Demand) -> int:
        """Return how many empty workers would hold the waiting tasks."""
        charge = demand.spec.charged()
        tasks_per_worker = max(
            (
                _specs.tasks_that_fit(charge, capacity)
                for capacity in self._capacities_of(demand.pool)
            ),
            default=1,
        )
        per_worker_max = demand.spec.per_worker_max
        if per_worker_max:
            tasks_per_worker = min(tasks_per_worker, per_worker_max)
        return -(-len(demand.indexes) // max(1, tasks_per_worker))

    def _sorted_workers(self, pool: str) -> tuple[_Part, ...]:
        parts = self._sorted.get(pool)
        if parts is None:
            workers = sorted(
                self._by_pool.get(pool, ()),
                key=lambda one: (-one.free.cpu_millicores, one.worker_id),
            )
            by_part: dict[tuple[bool, float], list[_planner.AvailableWorker]]
            by_part = collections.defaultdict(list)
            for one in workers:
                is_reserved = one.worker_id in self._reserved_ids
                by_part[is_reserved, -one.speed].append(one)
            parts = self._sorted[pool] = tuple(
                (-key[1], by_part[key]) for key in sorted(by_part)
            )
        return parts

    def _capacities_of(self, pool: str) -> set[messages.Resources]:
        known = self._capacities.get(pool)
        if known is None:
            known = {worker.capacity for worker in self._by_pool.get(pool, ())}
            self._capacities[pool] = known
        return known


def workers_for_call(
    advice: _advice.GrantCache,
    name: str,
    demand: _planner.Demand,
    policy: _policy.AdvicePolicy,
    candidate_workers: CandidateWorkers,
    now_ms: int,
    expects_capacity: bool = False,
) -> tuple[messages.WorkerId, ...]:
    """Return the workers to include in a call about a step, if any."""
    if not advice.may_call(name, now_ms):
        return ()
    is_first_call = advice.is_unknown(name)
    is_gang = demand.spec.gang
    gang_policy = policy if is_gang else None
    if not is_first_call and (
        not is_gang or advice.is_valid_for(name, now_ms, policy)
    ):
        # A call is made only if there is such a worker.
        included = advice.select_workers(
            name,
            candidate_workers.select(demand, True, expects_capacity),
            now_ms,
            1 if is_gang else candidate_workers.count_needed(demand),
            gang_policy,
        )
        if not is_gang or not included:
            return included
    needed_count = candidate_workers.count_needed(demand)
    first_call_max = (
        _advice.first_call_max(needed_count) if is_first_call else None
    )
    return advice.select_workers(
        name,
        candidate_workers.select(
            demand, False, expects_capacity, first_call_max
        ),
        now_ms,
        needed_count if is_first_call else 1,
        gang_policy,
    )


def _is_at_limit(
    demand: _planner.Demand, worker_id: messages.WorkerId
) -> bool:
    """Return whether the step may run no more tasks on the worker."""
    per_worker_max = demand.spec.per_worker_max
    count = demand.per_worker_counts.get(worker_id, 0)
    return bool(per_worker_max) and count >= per_worker_max
