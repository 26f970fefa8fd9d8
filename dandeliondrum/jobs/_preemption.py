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
PREEMPTIBLE_RUN_NUMBER_MAX = 3
# A run with less than this left ends about as soon as it could be stopped.
SHORT_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptibleRun:
    """A run that can be stopped without losing work, and its resources.

    ``stopping`` is set if its stop has been ordered already. ``expected_ms``
    is the estimated duration of all of it.
    """

    task: _specs.TaskKey
    run: int
    worker_id: messages.WorkerId
    charge: messages.Resources
    priority: int
    stopping: bool = False
    expected_ms: int = 0


LeftMs = collections.abc.Callable[[PreemptibleRun], int]
RunsOf = collections.abc.Callable[
    [messages.WorkerId], collections.abc.Iterable[PreemptibleRun]
]


@dataclasses.dataclass(frozen=True, slots=True)
class CandidateWorker:
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
    for demands that have waited. ``left_ms`` returns the expected time to the
    end of a run, and is called only where runs are stopped. ``chosen`` holds
    the selected runs, and ``steps_with_capacity`` the steps for which workers
    were reserved in this round on which tasks fit, now or once runs have been
    stopped.
    """

    def __init__(
        self,
        runs_of: RunsOf = lambda _worker_id: (),
        left_ms: LeftMs = lambda run: run.expected_ms,
    ) -> None:
        self.chosen: list[PreemptibleRun] = []
        self.steps_with_capacity: set[
            tuple[_specs.JobId, _specs.StepIndex]
        ] = set()
        self._runs_of = runs_of
        self._left_ms = left_ms

    def select_runs(
        self,
        candidates: collections.abc.Iterable[CandidateWorker],
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
        chosen: list[PreemptibleRun] = []
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
        candidate: CandidateWorker,
        charge: messages.Resources,
        priority: int,
        wanted_count: int,
    ) -> tuple[int, list[PreemptibleRun]]:
        """Return how many tasks will fit, and the runs to stop for them."""
        if candidate.tasks_max is not None:
            wanted_count = min(wanted_count, candidate.tasks_max)
        free = candidate.free
        preemptible: list[PreemptibleRun] = []
        taken = {(run.task, run.run) for run in self.chosen}
        for run in self._runs_of(candidate.worker_id):
            if run.stopping or (run.task, run.run) in taken:
                free += run.charge
            elif run.priority > priority:
                preemptible.append(run)
        count = min(wanted_count, _fit_count(charge, free))
        if count < wanted_count:
            preemptible.sort(key=self._preference)
        chosen: list[PreemptibleRun] = []
        pending: list[PreemptibleRun] = []
        for run in preemptible:
            if count >= wanted_count:
                break
            free += run.charge
            pending.append(run)
            fit_count = _fit_count(charge, free)
            if fit_count > count:
                count = min(wanted_count, fit_count)
                chosen += pending
                pending = []
        return count, chosen

    def _preference(self, run: PreemptibleRun) -> tuple[int, int, int]:
        """Return the sort key of a run; the lowest is stopped first.

        Runs of the least urgent priority are stopped first, then those with
        more work left: one that ends soon makes room by itself. Times count
        as alike within a factor of two, so that few runs with much CPU are
        stopped rather than many.
        """
        left_class = (self._left_ms(run) // SHORT_MS).bit_length()
        return -run.priority, -left_class, -run.charge.cpu_millicores


def _fit_count(charge: messages.Resources, free: messages.Resources) -> int:
    """Return how many tasks may start; none while any amount is negative."""
    return _specs.tasks_that_fit(charge, free) if charge.fits_in(free) else 0
