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
_Place = tuple[int, float, _planner.AvailableWorker]


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
        # Position in the sorted order, speed and worker, by pool and id.
        self._places: dict[str, dict[messages.WorkerId, _Place]] = {}

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
        is_limited = demand.spec.per_worker_max > 0
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
                    and (
                        expects_capacity
                        or (
                            cpu <= free.cpu_millicores
                            and memory <= free.memory_mb
                            and accelerators <= free.accelerators_count
                        )
                    )
                    and not (
                        is_limited and _is_at_limit(demand, worker.worker_id)
                    )
                )
                with_capacity_count += has_capacity
                if has_capacity or not only_with_capacity:
                    found.append(
                        _advice.Candidate(worker.worker_id, has_capacity)
                    )
        return found

    def select_granted(
        self,
        demand: _planner.Demand,
        granted: collections.abc.Iterable[messages.WorkerId],
        expects_capacity: bool = False,
    ) -> list[messages.WorkerId]:
        """Return the granted workers that have capacity, in order.

        Calls about steps that wait in vain are considered in each round, so
        this looks at the granted workers only.
        """
        places = self._places_of(demand.pool)
        has_capacity = _capacity_test(demand, expects_capacity)
        found = []
        for worker_id in granted:
            place = places.get(worker_id)
            if place is not None and has_capacity(place[1], place[2]):
                found.append((place[0], worker_id))
        return [worker_id for _, worker_id in sorted(found)]

    def select_new(
        self,
        demand: _planner.Demand,
        known: collections.abc.Set[messages.WorkerId],
        limit: int,
        expects_capacity: bool = False,
    ) -> list[messages.WorkerId]:
        """Return the first workers with capacity that are not ``known``."""
        cpu = demand.spec.charged().cpu_millicores
        has_capacity = _capacity_test(demand, expects_capacity)
        found: list[messages.WorkerId] = []
        for speed, part in self._sorted_workers(demand.pool):
            for worker in part:
                if len(found) >= limit:
                    return found
                if not expects_capacity and worker.free.cpu_millicores < cpu:
                    break
                if worker.worker_id not in known and has_capacity(
                    speed, worker
                ):
                    found.append(worker.worker_id)
        return found

    def _places_of(self, pool: str) -> dict[messages.WorkerId, _Place]:
        places = self._places.get(pool)
        if places is None:
            places = self._places[pool] = {}
            for speed, part in self._sorted_workers(pool):
                for worker in part:
                    places[worker.worker_id] = (len(places), speed, worker)
        return places

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
    if not is_first_call and not is_gang:
        return _workers_for_renewal(
            advice, name, demand, candidate_workers, now_ms, expects_capacity
        )
    if not is_first_call and advice.is_valid_for(name, now_ms, policy):
        # A call is made only if there is such a worker.
        included = advice.select_workers(
            name,
            candidate_workers.select(demand, True, expects_capacity),
            now_ms,
            1,
            policy,
        )
        if not included:
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
        policy if is_gang else None,
    )


def _workers_for_renewal(
    advice: _advice.GrantCache,
    name: str,
    demand: _planner.Demand,
    candidate_workers: CandidateWorkers,
    now_ms: int,
    expects_capacity: bool,
) -> tuple[messages.WorkerId, ...]:
    """Return the workers to include in a later call about a step.

    The candidates are those from which ``select_workers`` would choose among
    all that have capacity.
    """
    granted = candidate_workers.select_granted(
        demand, advice.granted(name), expects_capacity
    )
    if advice.is_sufficient(name, granted, now_ms):
        return ()
    needed_count = candidate_workers.count_needed(demand)
    new = candidate_workers.select_new(
        demand,
        advice.answered_about(name),
        _advice.later_call_max(needed_count),
        expects_capacity,
    )
    return advice.select_workers(
        name,
        [_advice.Candidate(one, True) for one in (*granted, *new)],
        now_ms,
        needed_count,
    )


def _capacity_test(
    demand: _planner.Demand, expects_capacity: bool
) -> collections.abc.Callable[[float, _planner.AvailableWorker], bool]:
    """Return a function that tells whether a worker has room for a task.

    Its arguments are the worker's speed and the worker.
    """
    label = demand.spec.required_label
    charge = demand.spec.charged()
    least_speed = demand.least_speed

    def test(speed: float, worker: _planner.AvailableWorker) -> bool:
        return (
            speed >= least_speed
            and (not label or label in worker.labels)
            and not _is_at_limit(demand, worker.worker_id)
            and (expects_capacity or charge.fits_in(worker.free))
        )

    return test


def _is_at_limit(
    demand: _planner.Demand, worker_id: messages.WorkerId
) -> bool:
    """Return whether the step may run no more tasks on the worker."""
    per_worker_max = demand.spec.per_worker_max
    count = demand.per_worker_counts.get(worker_id, 0)
    return bool(per_worker_max) and count >= per_worker_max
