"""Preemption of less urgent runs for demands with a higher priority.

On a full fleet a gang would otherwise have to wait until enough small tasks
of less urgent queues have ended. Only runs that save a checkpoint when they
are stopped are preempted, so that no work is lost.
"""

import collections.abc
import dataclasses

from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# A task with more runs than this is not preempted, so that it can finish.
RUNS_MAX = 3


@dataclasses.dataclass(frozen=True, slots=True)
class YieldingRun:
    """A run that can be stopped without losing work, and its resources.

    ``stopping`` is set if its stop has been ordered already.
    """

    task: _specs.TaskKey
    run: int
    worker_id: messages.WorkerId
    charge: messages.Resources
    priority: int
    stopping: bool = False


RunsOf = collections.abc.Callable[
    [messages.WorkerId], collections.abc.Iterable[YieldingRun]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A worker that a demand may use, and its free resources.

    ``tasks_max`` is how many more tasks of the demand may be placed there;
    None means that there is no limit.
    """

    worker_id: messages.WorkerId
    free: messages.Resources
    tasks_max: int | None = None


class Preemption:
    """Selects the runs to stop in one planning round.

    ``runs_of`` returns the preemptible runs of a worker; it is called only
    for demands that have waited. ``chosen`` holds the selected runs, and
    ``served`` the steps for which workers are reserved until the runs that
    are being stopped have ended.
    """

    def __init__(self, runs_of: RunsOf = lambda _worker_id: ()) -> None:
        self.chosen: list[YieldingRun] = []
        self.served: set[tuple[_specs.JobId, _specs.StepIndex]] = set()
        self._runs_of = runs_of

    def make_room(
        self,
        places: collections.abc.Iterable[Place],
        charge: messages.Resources,
        priority: int,
        tasks_count: int,
        together: bool,
    ) -> set[messages.WorkerId]:
        """Select runs to stop so that ``tasks_count`` tasks fit.

        Only runs of a less urgent priority are selected. Returns the workers
        to reserve for the tasks. If the tasks must start together and would
        still not fit, nothing is stopped and the result is empty.
        """
        chosen: list[YieldingRun] = []
        kept: set[messages.WorkerId] = set()
        left_count = tasks_count
        for place in places:
            if left_count <= 0:
                break
            fit_count, runs = self._on_one(place, charge, priority, left_count)
            if fit_count:
                kept.add(place.worker_id)
            left_count -= fit_count
            chosen += runs
        if together and left_count > 0:
            return set()
        self.chosen += chosen
        return kept

    def _on_one(
        self,
        place: Place,
        charge: messages.Resources,
        priority: int,
        wanted_count: int,
    ) -> tuple[int, list[YieldingRun]]:
        """Return how many tasks will fit, and the runs to stop for them."""
        if place.tasks_max is not None:
            wanted_count = min(wanted_count, place.tasks_max)
        free = place.free
        able: list[YieldingRun] = []
        taken = {(one.task, one.run) for one in self.chosen}
        for one in self._runs_of(place.worker_id):
            if one.stopping or (one.task, one.run) in taken:
                free += one.charge
            elif one.priority > priority:
                able.append(one)
        able.sort(key=lambda one: (-one.priority, -one.charge.cpu_millicores))
        count = min(wanted_count, _specs.tasks_that_fit(charge, free))
        chosen: list[YieldingRun] = []
        pending: list[YieldingRun] = []
        for one in able:
            if count >= wanted_count:
                break
            free += one.charge
            pending.append(one)
            fit_count = _specs.tasks_that_fit(charge, free)
            if fit_count > count:
                count = min(wanted_count, fit_count)
                chosen += pending
                pending = []
        return count, chosen
