"""Which of the runs of a crashed worker are suspected of the crash."""

import collections.abc
import dataclasses

from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _specs

# A run is starting until the worker has listed it for this long.
STARTING_MS = 1_000

Run = tuple[_specs.TaskKey, int]


@dataclasses.dataclass(frozen=True, slots=True)
class AssignedRun:
    """A run that was assigned to a worker when the worker crashed.

    ``may_have_started`` is false if no start order can have arrived. A run
    that is starting may have been listed, for less than ``STARTING_MS``.
    """

    task: _specs.TaskKey
    run: int
    may_have_started: bool
    is_starting: bool
    is_listed: bool
    is_suspect: bool


def read_run(
    task: _specs.TaskKey,
    run: int,
    orders: _orders.OrderBook,
    answered_ms: int,
    is_suspect: bool,
) -> AssignedRun:
    """Return a run as the worker's last answer at ``answered_ms`` shows it.

    A run that an earlier leader started is not regarded as starting. The
    caller holds the lock of the order book.
    """
    order = orders.get(task, run)
    if order is None:
        return AssignedRun(task, run, True, False, False, is_suspect)
    listed_ms = orders.listed_ms(task, run, answered_ms)
    is_sent = order.sends_count > 0
    is_starting = is_sent and (listed_ms is None or listed_ms < STARTING_MS)
    is_listed = listed_ms is not None
    return AssignedRun(
        task, run, is_sent or is_listed, is_starting, is_listed, is_suspect
    )


def suspicions(
    runs: collections.abc.Iterable[AssignedRun],
) -> dict[Run, _commands.Suspicion]:
    """Return the suspicion against each run that may have started.

    Suspects that are starting clear all others. Runs that the worker has
    never listed are suspected more than runs that have survived a listing.
    """
    possible = [run for run in runs if run.may_have_started]
    if len({run.task.job_id for run in possible}) == 1:
        return {
            (run.task, run.run): _commands.Suspicion.ALONE for run in possible
        }
    starting = [run for run in possible if run.is_starting]
    starting_suspects = [run for run in starting if run.is_suspect]
    unlisted = [run for run in starting if not run.is_listed]
    rivals = unlisted or starting
    blamed = starting_suspects or rivals
    others = (
        _commands.Suspicion.NONE
        if starting_suspects
        else _commands.Suspicion.SHARED
    )
    suspicion = (
        _commands.Suspicion.SOLE
        if len({run.task.job_id for run in (*blamed, *rivals)}) == 1
        else _commands.Suspicion.STARTING
    )
    found = {(run.task, run.run): others for run in possible}
    for run in blamed:
        found[run.task, run.run] = suspicion
    return found
