"""What a run came to, worked out from workers' journals and callers' records.

Nothing here asks the scheduler.
"""

import collections
import collections.abc
import dataclasses
import statistics

from dandeliondrum.embedded import _fleets
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

PERCENTILES = 100
DURABLE_KINDS = (testing.SendingKind.DURABLE, testing.SendingKind.GANG)

WaitsMs = dict[messages.TaskClass, list[float]]


@dataclasses.dataclass(frozen=True)
class Period:
    """A stretch of the monotonic clock."""

    from_ms: float
    until_ms: float

    @property
    def length_ms(self) -> float:
        """How long it is."""
        return self.until_ms - self.from_ms

    def overlap_ms(self, run: testing.Run) -> float:
        """Return for how much of the period a run went on."""
        begun_ms = max(run.start.at_ms, self.from_ms)
        return max(0.0, min(run.until_ms, self.until_ms) - begun_ms)


@dataclasses.dataclass(frozen=True)
class TeamFigures:
    """A team's part of the fleet's processors, in use and granted."""

    team_id: messages.TeamId
    share: int
    used_ratio: float
    granted_ratio: float

    @property
    def error_ratio(self) -> float:
        """How far the use is from the grant."""
        return abs(self.used_ratio - self.granted_ratio)


def waits_ms(
    history: testing.History, runs: collections.abc.Iterable[testing.Run]
) -> WaitsMs:
    """Return, by class, the times from sending to the first start."""
    sent_ms: dict[messages.TaskId, float] = {}
    for sending in history.sendings:
        sent_ms.setdefault(sending.task_id, sending.at_ms)
    found: WaitsMs = collections.defaultdict(list)
    for run in runs:
        at_ms = sent_ms.pop(run.start.task_id, None)
        if at_ms is not None:
            task_class = _fleets.QUEUES[run.start.queue]
            found[task_class].append(run.start.at_ms - at_ms)
    return found


def percentile(values: collections.abc.Sequence[float], rank: int) -> float:
    """Return a percentile; 0 when there are no values."""
    if len(values) < 2:
        return values[0] if values else 0.0
    points = statistics.quantiles(values, n=PERCENTILES, method='inclusive')
    return points[rank - 1]


def full_period(
    sendings: collections.abc.Iterable[testing.SendingOutcomes],
    runs: collections.abc.Iterable[testing.Run],
    settling_ms: float,
    until_ms: float,
) -> Period | None:
    """Return when every team had durable tasks that waited.

    It begins ``settling_ms`` after the last team's first task was sent, when
    what began before has made way, and ends at ``until_ms`` at the latest.
    """
    started_ms = {run.start.task_id: run.start.at_ms for run in runs}
    sent_ms: dict[messages.TeamId, float] = {}
    waited_ms: dict[messages.TeamId, float] = {}
    for each in sendings:
        sending = each.sending
        if sending.kind not in DURABLE_KINDS:
            continue
        team_id = sending.team_id
        ended_ms = started_ms.get(sending.task_id, each.ended_ms)
        sent_ms.setdefault(team_id, sending.at_ms)
        waited_ms[team_id] = max(waited_ms.get(team_id, 0.0), ended_ms)
    if not sent_ms:
        return None
    period = Period(
        max(sent_ms.values()) + settling_ms,
        min(until_ms, *waited_ms.values()),
    )
    return period if period.length_ms > 0 else None


def capacity_millicores(history: testing.History) -> int:
    """Return the processors of all workers, as they recorded them."""
    return sum(
        event.resources.cpu_millicores
        for event in history.worker_events
        if event.kind is worker.EventKind.BEGUN and event.resources
    )


def used_ratios(
    runs: collections.abc.Iterable[testing.Run],
    period: Period,
    capacity: int,
) -> dict[messages.TeamId, float]:
    """Return, by team, the mean part of the processors in use."""
    used: dict[messages.TeamId, float] = collections.defaultdict(float)
    for run in runs:
        cpu_millicores = run.resources.cpu_millicores
        used[run.start.team_id] += (
            cpu_millicores
            * period.overlap_ms(run)
            / (period.length_ms * capacity)
        )
    return used


def team_figures(
    runs: collections.abc.Sequence[testing.Run],
    period: Period,
    capacity: int,
) -> tuple[TeamFigures, ...]:
    """Compare what each team used with what its share grants.

    What was in use in all is dealt out by the shares; what a team can't
    take for its upper limit goes to the others.
    """
    used = used_ratios(runs, period, capacity)
    caps = {
        team.team_id: _cap_ratio(team, runs, period, capacity)
        for team in _fleets.TEAMS
    }
    granted = deal_out(
        sum(used.values()),
        {team.team_id: team.share for team in _fleets.TEAMS},
        caps,
    )
    return tuple(
        TeamFigures(
            team.team_id,
            team.share,
            used.get(team.team_id, 0.0),
            granted[team.team_id],
        )
        for team in _fleets.TEAMS
    )


def deal_out(
    total: float,
    shares: collections.abc.Mapping[messages.TeamId, int],
    caps: collections.abc.Mapping[messages.TeamId, float],
) -> dict[messages.TeamId, float]:
    """Deal out a total by shares, to each team at most its cap.

    Example::

        deal_out(1.0, {'a': 1, 'b': 1}, {'a': 0.2, 'b': 1.0})
    """
    granted: dict[messages.TeamId, float] = {}
    open_shares = dict(shares)
    left = total
    while open_shares:
        unit = left / sum(open_shares.values())
        capped = [
            team_id
            for team_id, share in open_shares.items()
            if caps[team_id] < unit * share
        ]
        if not capped:
            granted |= {
                team_id: unit * share for team_id, share in open_shares.items()
            }
            break
        for team_id in capped:
            granted[team_id] = caps[team_id]
            left -= caps[team_id]
            del open_shares[team_id]
    return granted


def _cap_ratio(
    team: _fleets.Team,
    runs: collections.abc.Iterable[testing.Run],
    period: Period,
    capacity: int,
) -> float:
    """Return the upper limit as a part of the processors.

    A limit on running tasks is worth what the team's tasks have on the mean
    of the time for which they run.
    """
    caps = [1.0]
    if team.cpu_millicores_max is not None:
        caps.append(team.cpu_millicores_max / capacity)
    if team.running_max is not None:
        size = _mean_millicores(
            [run for run in runs if run.start.team_id == team.team_id],
            period,
        )
        if size > 0:
            caps.append(team.running_max * size / capacity)
    return min(caps)


def _mean_millicores(
    runs: collections.abc.Iterable[testing.Run], period: Period
) -> float:
    total = weight_ms = 0.0
    for run in runs:
        overlap_ms = period.overlap_ms(run)
        total += run.resources.cpu_millicores * overlap_ms
        weight_ms += overlap_ms
    return total / weight_ms if weight_ms else 0.0
