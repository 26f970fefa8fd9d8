"""Reconstructs when and where attempts ran from workers' journals."""

import collections
import collections.abc
import dataclasses
import math

from dandeliondrum import messages
from dandeliondrum.testing import _history
from dandeliondrum import worker

LEASE_EXPIRED_REASON = 'lease'


@dataclasses.dataclass(frozen=True, eq=False)
class Run:
    """One execution of an attempt; ``until_ms`` is infinite without an end."""

    start: worker.Event
    until_ms: float

    @property
    def resources(self) -> messages.Resources:
        """The resources reserved for the attempt."""
        return self.start.resources or messages.Resources(0, 0)

    @property
    def location(self) -> str:
        """The attempt and its worker, for messages."""
        return f'{self.start.attempt_id} on {self.start.worker_id}'


def runs(history: _history.History, margin_ms: float) -> tuple[Run, ...]:
    """Return all runs, in the order of their starts.

    If a resumed worker ended an attempt because its lease had expired, the
    run counts as ended at the expiry, since a frozen process runs nothing.
    """
    events = sorted(history.worker_events, key=lambda event: event.at_ms)
    ends = _end_events(events)
    found = []
    for event in events:
        if event.kind is worker.EventKind.START:
            end = ends.get(_attempt_key(event))
            until_ms = _until_ms(event, end, events, history, margin_ms)
            found.append(Run(event, until_ms))
    return tuple(found)


@dataclasses.dataclass(frozen=True)
class ActiveRuns:
    """The runs in progress when one of them starts.

    ``total`` is the sum of their resources.
    """

    started: Run
    running: tuple[Run, ...]
    total: messages.Resources


def active_runs_at_starts(
    all_runs: collections.abc.Iterable[Run],
) -> collections.abc.Iterator[ActiveRuns]:
    """Yield the active runs at each start.

    A run that ends at the very time of the start is no longer active.
    """
    running: list[Run] = []
    total = messages.Resources(0, 0)
    for run in sorted(all_runs, key=lambda each: each.start.at_ms):
        now_ms = run.start.at_ms
        for ended in [each for each in running if each.until_ms <= now_ms]:
            running.remove(ended)
            total = total - ended.resources
        running.append(run)
        total = total + run.resources
        yield ActiveRuns(run, tuple(running), total)


def _attempt_key(event: worker.Event) -> tuple[str, str, str]:
    return (event.worker_id, event.incarnation, event.attempt_id)


def _end_events(
    events: collections.abc.Iterable[worker.Event],
) -> dict[tuple[str, str, str], worker.Event]:
    return {
        _attempt_key(event): event
        for event in events
        if event.kind is worker.EventKind.END
    }


def _until_ms(
    start: worker.Event,
    end: worker.Event | None,
    events: collections.abc.Sequence[worker.Event],
    history: _history.History,
    margin_ms: float,
) -> float:
    outages = [
        each
        for each in history.outages
        if each.name == start.worker_id and each.until_ms >= start.at_ms
    ]
    if end is None:
        return _lost_at_ms(start, events, outages)
    lease_expired = (
        end.reason == LEASE_EXPIRED_REASON and end.expired_ms is not None
    )
    if lease_expired and _was_frozen_until(end.at_ms, outages, margin_ms):
        return min(end.at_ms, end.expired_ms or end.at_ms)
    return end.at_ms


def _was_frozen_until(
    at_ms: float,
    outages: collections.abc.Iterable[_history.Outage],
    margin_ms: float,
) -> bool:
    return any(
        each.kind is _history.OutageKind.FROZEN
        and each.from_ms <= at_ms <= each.until_ms + margin_ms
        for each in outages
    )


def _lost_at_ms(
    start: worker.Event,
    events: collections.abc.Iterable[worker.Event],
    outages: collections.abc.Sequence[_history.Outage],
) -> float:
    """Return when an attempt without a recorded end stopped running.

    That is the kill or the next start of its worker, or the beginning of a
    freeze that lasted until then; infinity if there was none.
    """
    kills = [
        each.from_ms
        for each in outages
        if each.kind is _history.OutageKind.KILLED
    ]
    restarts = [
        event.at_ms
        for event in events
        if event.kind is worker.EventKind.BEGUN
        and event.worker_id == start.worker_id
        and event.at_ms > start.at_ms
    ]
    lost_ms = min([*kills, *restarts], default=math.inf)
    freezes = [
        each.from_ms
        for each in outages
        if each.kind is _history.OutageKind.FROZEN
        and each.from_ms > start.at_ms
        and each.until_ms >= lost_ms
    ]
    return min([lost_ms, *freezes])


def by_worker(
    all_runs: collections.abc.Iterable[Run],
) -> dict[messages.WorkerId, list[Run]]:
    """Group runs by worker."""
    grouped: dict[messages.WorkerId, list[Run]] = collections.defaultdict(list)
    for run in all_runs:
        grouped[run.start.worker_id].append(run)
    return grouped


def by_team(
    all_runs: collections.abc.Iterable[Run],
) -> dict[messages.TeamId, list[Run]]:
    """Group runs by team."""
    grouped: dict[messages.TeamId, list[Run]] = collections.defaultdict(list)
    for run in all_runs:
        grouped[run.start.team_id].append(run)
    return grouped


def by_task(
    all_runs: collections.abc.Iterable[Run],
) -> dict[messages.TaskId, list[Run]]:
    """Group runs by task."""
    grouped: dict[messages.TaskId, list[Run]] = collections.defaultdict(list)
    for run in all_runs:
        grouped[run.start.task_id].append(run)
    return grouped
