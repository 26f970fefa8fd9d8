"""Stops work that can wait, so that a demand that goes first finds room.

Answers the load of a full fleet in which a gang would have to wait until
enough small tasks of less urgent queues have ended by themselves. Only runs
that save their progress when they are stopped make room, so that no work is
thrown away.
"""

import collections.abc
import dataclasses

from dandeliondrum.jobs import _specs
from dandeliondrum import messages

# A task that was started so often is not stopped again: it would never end.
RUNS_MAX = 3


@dataclasses.dataclass(frozen=True, slots=True)
class YieldingRun:
    """A run that can be stopped without loss, and what it takes.

    ``stopping`` is set where that has been ordered already.
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
    """A worker that a demand may use, and what is free on it.

    ``tasks_max`` is how many more of its tasks may go there; None stands for
    any number.
    """

    worker_id: messages.WorkerId
    free: messages.Resources
    tasks_max: int | None = None


class Preemption:
    """Chooses the runs to stop in one round of planning.

    ``runs_of`` returns the runs of a worker that can yield; it is asked only
    for demands that wait. What was chosen is in ``chosen``; ``served`` are
    the steps that will fit once all that is being stopped has ended.
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
        """Choose runs so that so many tasks fit on these workers.

        Returns the workers whose room is meant for them. Where the tasks
        must start together and would not fit even then, nothing is stopped
        and none is returned. Only runs of a less urgent priority yield.
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
        """Return how many tasks will fit, and what is stopped for that."""
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
