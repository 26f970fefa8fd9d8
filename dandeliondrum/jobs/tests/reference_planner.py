"""Planner that looks at all workers for each task, as a reference."""

import collections.abc
import dataclasses

from dandeliondrum.jobs import _planner
from dandeliondrum.jobs import _preemption
from dandeliondrum.jobs import _specs
from dandeliondrum.jobs import queueing
from dandeliondrum import messages


class Preemption:
    """Selects the runs to stop in one planning round.

    ``runs_of`` returns the preemptible runs of a worker; it is called only
    for demands that have waited. ``chosen`` holds the selected runs, and
    ``steps_with_capacity`` the steps for which workers were reserved in this
    round on which tasks fit, now or once runs have been stopped.
    """

    def __init__(
        self, runs_of: _preemption.RunsOf = lambda _worker_id: ()
    ) -> None:
        self.chosen: list[_preemption.PreemptibleRun] = []
        self.steps_with_capacity: set[
            tuple[_specs.JobId, _specs.StepIndex]
        ] = set()
        self._runs_of = runs_of

    def select_runs(
        self,
        candidates: collections.abc.Iterable[_preemption.CandidateWorker],
        charge: messages.Resources,
        priority: int,
        tasks_count: int,
        is_gang: bool,
    ) -> set[messages.WorkerId]:
        """Select runs to stop so that ``tasks_count`` tasks fit.

        Only runs of a less urgent priority are selected. Returns the workers
        to reserve for the tasks. If the tasks must start together and would
        still not fit, nothing is stopped and the result is empty.
        """
        chosen: list[_preemption.PreemptibleRun] = []
        reserved_ids: set[messages.WorkerId] = set()
        left_count = tasks_count
        for candidate in candidates:
            if left_count <= 0:
                break
            fit_count, runs = self._select_on_worker(
                candidate, charge, priority, left_count
            )
            if fit_count:
                reserved_ids.add(candidate.worker_id)
            left_count -= fit_count
            chosen += runs
        if is_gang and left_count > 0:
            return set()
        self.chosen += chosen
        return reserved_ids

    def _select_on_worker(
        self,
        candidate: _preemption.CandidateWorker,
        charge: messages.Resources,
        priority: int,
        wanted_count: int,
    ) -> tuple[int, list[_preemption.PreemptibleRun]]:
        """Return how many tasks will fit, and the runs to stop for them."""
        if candidate.tasks_max is not None:
            wanted_count = min(wanted_count, candidate.tasks_max)
        free = candidate.free
        preemptible: list[_preemption.PreemptibleRun] = []
        taken = {(run.task, run.run) for run in self.chosen}
        for run in self._runs_of(candidate.worker_id):
            if run.stopping or (run.task, run.run) in taken:
                free += run.charge
            elif run.priority > priority:
                preemptible.append(run)
        preemptible.sort(
            key=lambda run: (-run.priority, -run.charge.cpu_millicores)
        )
        count = min(wanted_count, _specs.tasks_that_fit(charge, free))
        chosen: list[_preemption.PreemptibleRun] = []
        pending: list[_preemption.PreemptibleRun] = []
        for run in preemptible:
            if count >= wanted_count:
                break
            free += run.charge
            pending.append(run)
            fit_count = _specs.tasks_that_fit(charge, free)
            if fit_count > count:
                count = min(wanted_count, fit_count)
                chosen += pending
                pending = []
        return count, chosen


def plan(
    demands: collections.abc.Iterable[_planner.Demand],
    workers: collections.abc.Iterable[_planner.AvailableWorker],
    team_available: collections.abc.MutableMapping[
        messages.TeamId, messages.Resources
    ],
    preemption: Preemption | None = None,
    isolation: _planner.Isolation | None = None,
) -> list[tuple[_planner.Placement, ...]]:
    """Return groups of placements; each group is assigned as a whole.

    ``team_available`` holds the resources that each limited team may still
    use; teams that are not in it have no limit. It and the free resources of
    the workers are reduced by what is placed. ``preemption`` collects the runs
    to stop for demands that have waited; without it nothing is stopped.
    """
    preemption = preemption or Preemption()
    by_pool: dict[str, list[_planner.AvailableWorker]] = {}
    for worker in workers:
        by_pool.setdefault(worker.pool, []).append(worker)
    reservable_counts = {
        name: len(pool) // _planner.RESERVED_DIVISOR
        for name, pool in by_pool.items()
    }
    isolation = isolation or _planner.Isolation()
    isolable_counts = {}
    for name, pool in by_pool.items():
        kept = isolation.answering_counts.get(name, 0)
        silent = isolation.silent_counts.get(name, 0)
        quarter = max(
            1, (len(pool) + kept + silent) // _planner.ISOLATED_DIVISOR
        )
        isolable_counts[name] = quarter - max(kept, kept + silent - quarter)
    ordered = sorted(demands, key=queueing.sort_key)
    places = [n for n, demand in enumerate(ordered) if demand.isolated]
    by_crashes = sorted(places, key=lambda n: (ordered[n].crashes_count, n))
    moved = [ordered[n] for n in by_crashes]
    for place, demand in zip(places, moved, strict=True):
        ordered[place] = demand
    groups: list[tuple[_planner.Placement, ...]] = []
    placed_count = 0
    for demand in ordered:
        if placed_count >= _planner.PLACEMENTS_MAX:
            break
        pool = by_pool.get(demand.pool, [])
        if demand.isolated and (not pool or isolable_counts[demand.pool] <= 0):
            continue
        placement = _DemandPlacement(demand, pool, team_available)
        chosen = (
            placement.place_isolated()
            if demand.isolated
            else placement.place()
        )
        groups += chosen
        count = sum(len(group) for group in chosen)
        placed_count += count
        used_ids = {one.worker_id for group in chosen for one in group}
        for worker in pool:
            worker.is_empty &= worker.worker_id not in used_ids
        if demand.isolated:
            waited = demand.waited_ms >= _planner.RESERVE_AFTER_MS
            if not count and waited:
                count = placement.reserve(1, reservable_counts[demand.pool])
            if count:
                isolable_counts[demand.pool] -= 1
            continue
        left_count = min(
            len(demand.indexes) - count, placement.team_allows_count()
        )
        if left_count and demand.waited_ms >= _planner.RESERVE_AFTER_MS:
            if not demand.is_late and placement.preempt(
                left_count, preemption
            ):
                preemption.steps_with_capacity.add(
                    (demand.job_id, demand.step)
                )
            elif pool:
                reservable_counts[demand.pool] -= placement.reserve(
                    left_count, reservable_counts[demand.pool]
                )
    return groups


def wait_reason(
    demand: _planner.Demand,
    workers: collections.abc.Iterable[_planner.AvailableWorker],
    team_available: collections.abc.Mapping[
        messages.TeamId, messages.Resources
    ],
) -> _planner.WaitReason:
    """Return why a demand is still waiting after a planning round."""
    pool = [worker for worker in workers if worker.pool == demand.pool]
    if not pool:
        return _planner.WaitReason.NO_WORKER
    placement = _DemandPlacement(demand, pool, dict(team_available))
    if not placement.may_fit(only_granted=False):
        return _planner.WaitReason.UNFIT
    if not placement.candidates_count():
        unreserved = [
            dataclasses.replace(worker, reserved=False) for worker in pool
        ]
        others = _DemandPlacement(demand, unreserved, dict(team_available))
        return (
            _planner.WaitReason.RESERVED
            if others.candidates_count()
            else _planner.WaitReason.NO_GRANT
        )
    if not placement.team_allows():
        return _planner.WaitReason.TEAM_LIMIT
    if demand.isolated and placement.single_task_fits():
        return _planner.WaitReason.ISOLATION
    return (
        _planner.WaitReason.GANG
        if placement.single_task_fits()
        else _planner.WaitReason.NO_ROOM
    )


class _DemandPlacement:
    """Placement of one demand on the resources that are left."""

    def __init__(
        self,
        demand: _planner.Demand,
        workers: list[_planner.AvailableWorker],
        team_available: collections.abc.MutableMapping[
            messages.TeamId, messages.Resources
        ],
    ) -> None:
        self._demand = demand
        self._team_available = team_available
        self._charge = demand.spec.charged()
        self._counts = dict(demand.per_worker_counts)
        self._pool = workers
        # Workers whose ticket has to be renewed can be reserved as well.
        self._eligible = [
            worker for worker in workers if self._may_run(worker)
        ]
        self._workers = [
            worker for worker in self._eligible if self._may_start(worker)
        ]

    def place(self) -> list[tuple[_planner.Placement, ...]]:
        demand = self._demand
        if not demand.spec.gang:
            groups: list[tuple[_planner.Placement, ...]] = []
            for index in demand.indexes:
                worker = self._allocate() if self.team_allows() else None
                if worker is None:
                    break
                groups.append((self._placement(index, worker),))
            return groups
        return self._place_gang() if self.team_allows() else []

    def place_isolated(self) -> list[tuple[_planner.Placement, ...]]:
        """Place tasks on the best worker, one at a time while they fit."""
        demand = self._demand
        empty = [worker for worker in self._workers if worker.is_empty]
        empty.sort(
            key=lambda worker: (
                worker.worker_id in demand.avoided,
                worker.started_ms,
            )
        )
        others: list[_planner.AvailableWorker] = []
        if demand.may_share:
            others = [
                worker for worker in self._workers if not worker.is_empty
            ]
            others.sort(
                key=lambda worker: (
                    worker.worker_id in demand.avoided,
                    -worker.free.cpu_millicores,
                    worker.started_ms,
                )
            )
        groups: list[tuple[_planner.Placement, ...]] = []
        for worker in [*empty, *others]:
            for index in demand.indexes:
                if not (self.team_allows() and self._fits(worker)):
                    break
                self._take_on(worker)
                groups.append((self._placement(index, worker),))
            if groups:
                worker.reserved = True
                break
        return groups

    def reserve(self, tasks_count: int, reserved_max: int) -> int:
        """Reserve workers until the remaining tasks would fit on them.

        Otherwise small tasks would take every core that becomes free, and a
        large task or a gang would never start. The workers with the most free
        CPU come first, so the next round reserves the same ones.
        """
        reserved_count = 0
        if not self.may_fit():
            return 0
        for worker in self._by_free_cpu()[:reserved_max]:
            if tasks_count <= 0:
                break
            worker.reserved = True
            reserved_count += 1
            tasks_count -= self._room_when_empty(worker, self._counts)
        return reserved_count

    def may_fit(self, only_granted: bool = True) -> bool:
        """Return whether a task, or the whole gang, fits when all is empty."""
        demand = self._demand
        others = {} if not demand.spec.endless else self._counts
        rooms = [
            self._room_when_empty(worker, others)
            for worker in self._pool
            if not demand.spec.required_label
            or demand.spec.required_label in worker.labels
            if not only_granted
            or demand.granted is None
            or worker.worker_id in demand.granted
        ]
        return sum(rooms) >= (len(demand.indexes) if demand.spec.gang else 1)

    def _room_when_empty(
        self,
        worker: _planner.AvailableWorker,
        counts: collections.abc.Mapping[messages.WorkerId, int],
    ) -> int:
        room = _specs.tasks_that_fit(
            self._charge, worker.capacity - worker.endless_used
        )
        if self._demand.spec.per_worker_max:
            used = counts.get(worker.worker_id, 0)
            room = min(room, self._demand.spec.per_worker_max - used)
        return max(0, room)

    def preempt(self, tasks_count: int, preemption: Preemption) -> bool:
        """Reserve workers for the tasks, and preempt less urgent runs there.

        Workers on which tasks fit without stopping a run are reserved too.
        Returns whether any worker was reserved.
        """
        per_worker_max = self._demand.spec.per_worker_max
        candidates = [
            _preemption.CandidateWorker(
                worker.worker_id,
                worker.free,
                per_worker_max - self._counts.get(worker.worker_id, 0)
                if per_worker_max
                else None,
            )
            for worker in self._by_free_cpu()
        ]
        reserved_ids = preemption.select_runs(
            candidates,
            self._charge,
            self._demand.priority,
            tasks_count,
            self._demand.spec.gang,
        )
        for worker in self._eligible:
            worker.reserved = (
                worker.reserved or worker.worker_id in reserved_ids
            )
        return bool(reserved_ids)

    def _by_free_cpu(self) -> list[_planner.AvailableWorker]:
        """Return the workers that could run a task, most free CPU first."""
        if not self.team_allows():
            # Reserved resources would stay idle.
            return []
        eligible = [
            worker
            for worker in self._eligible
            if self._room_when_empty(worker, self._counts)
        ]
        eligible.sort(key=lambda worker: -worker.free.cpu_millicores)
        return eligible

    def candidates_count(self) -> int:
        """Return how many workers may start the demand now."""
        return len(self._workers)

    def single_task_fits(self) -> bool:
        """Return whether a single task would fit on any worker."""
        return any(self._fits(worker) for worker in self._workers)

    def _place_gang(self) -> list[tuple[_planner.Placement, ...]]:
        taken: list[_planner.AvailableWorker] = []
        for _ in self._demand.indexes:
            worker = self._allocate()
            if worker is None:
                for allocated in taken:
                    self._deallocate(allocated)
                return []
            taken.append(worker)
        pairs = zip(self._demand.indexes, taken, strict=True)
        return [
            tuple(self._placement(index, worker) for index, worker in pairs)
        ]

    def _may_run(self, worker: _planner.AvailableWorker) -> bool:
        demand = self._demand
        if worker.reserved:
            return False
        label = demand.spec.required_label
        if label and label not in worker.labels:
            return False
        return demand.granted is None or worker.worker_id in demand.granted

    def _may_start(self, worker: _planner.AvailableWorker) -> bool:
        tickets = self._demand.tickets
        return tickets is None or worker.worker_id in tickets

    def _allocate(self) -> _planner.AvailableWorker | None:
        fitting = [worker for worker in self._workers if self._fits(worker)]
        if not fitting:
            return None
        worker = min(fitting, key=self._rank)
        self._take_on(worker)
        return worker

    def _take_on(self, worker: _planner.AvailableWorker) -> None:
        worker.free -= self._charge
        self._count(worker, 1)
        self._update_team_available(self._demand.spec.resources, taken=True)

    def _deallocate(self, worker: _planner.AvailableWorker) -> None:
        worker.free += self._charge
        self._count(worker, -1)
        self._update_team_available(self._demand.spec.resources, taken=False)

    def _count(self, worker: _planner.AvailableWorker, change: int) -> None:
        counts = self._counts
        counts[worker.worker_id] = counts.get(worker.worker_id, 0) + change

    def _fits(self, worker: _planner.AvailableWorker) -> bool:
        per_worker_max = self._demand.spec.per_worker_max
        if (
            per_worker_max
            and self._counts.get(worker.worker_id, 0) >= per_worker_max
        ):
            return False
        return self._charge.fits_in(worker.free)

    def _rank(
        self, worker: _planner.AvailableWorker
    ) -> tuple[bool, int, bool, int]:
        """Return the sort key of a worker; the lowest is chosen.

        Prefers reliable workers, then the rack near the data, then the
        worker with the least free CPU, so that full workers are filled up.
        """
        spec = self._demand.spec
        return (
            worker.worker_id in self._demand.avoided,
            worker.penalty,
            bool(spec.near_rack) and worker.rack != spec.near_rack,
            worker.free.cpu_millicores,
        )

    def team_allows_count(self) -> int:
        """Return how many tasks the team's limit allows."""
        available = self._team_available.get(self._demand.team_id)
        if available is None:
            return _specs.ANY_NUMBER
        return _specs.tasks_that_fit(self._demand.spec.resources, available)

    def team_allows(self) -> bool:
        """Return whether the team's limit allows a task, or the whole gang."""
        demand = self._demand
        available = self._team_available.get(demand.team_id)
        if available is None:
            return True
        least_count = len(demand.indexes) if demand.spec.gang else 1
        fit_count = _specs.tasks_that_fit(demand.spec.resources, available)
        return fit_count >= least_count

    def _update_team_available(
        self, amount: messages.Resources, taken: bool
    ) -> None:
        available = self._team_available.get(self._demand.team_id)
        if available is not None:
            changed = available - amount if taken else available + amount
            self._team_available[self._demand.team_id] = changed

    def _placement(
        self, index: int, worker: _planner.AvailableWorker
    ) -> _planner.Placement:
        demand = self._demand
        tickets = demand.tickets or {}
        return _planner.Placement(
            _specs.TaskKey(demand.job_id, demand.step, index),
            worker.worker_id,
            tickets.get(worker.worker_id, ''),
        )
