"""Metrics of a run, computed from workers' journals and callers' records.

The scheduler itself is not queried.
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
    """An interval of the monotonic clock."""

    from_ms: float
    until_ms: float

    @property
    def length_ms(self) -> float:
        """The length of the period."""
        return self.until_ms - self.from_ms

    def overlap_ms(self, run: testing.Run) -> float:
        """Return how long a run overlaps with the period."""
        overlap_start_ms = max(run.start.at_ms, self.from_ms)
        return max(0.0, min(run.until_ms, self.until_ms) - overlap_start_ms)


@dataclasses.dataclass(frozen=True)
class TeamUsage:
    """A team's used and granted ratios of the fleet's CPU capacity."""

    team_id: messages.TeamId
    share: int
    used_ratio: float
    granted_ratio: float

    @property
    def error_ratio(self) -> float:
        """The absolute difference of used and granted ratio."""
        return abs(self.used_ratio - self.granted_ratio)


def waits_ms(
    history: testing.History, runs: collections.abc.Iterable[testing.Run]
) -> WaitsMs:
    """Return, by class, the times from submission to the first start."""
    first_sent_ms: dict[messages.TaskId, float] = {}
    for sending in history.sendings:
        first_sent_ms.setdefault(sending.task_id, sending.at_ms)
    found: WaitsMs = collections.defaultdict(list)
    for run in runs:
        at_ms = first_sent_ms.pop(run.start.task_id, None)
        if at_ms is not None:
            task_class = _fleets.QUEUES[run.start.queue]
            found[task_class].append(run.start.at_ms - at_ms)
    return found


def percentile(values: collections.abc.Sequence[float], rank: int) -> float:
    """Return a percentile; 0 when there are no values.

    ``rank`` is from 1 to 99.
    """
    if len(values) < 2:
        return values[0] if values else 0.0
    cut_points = statistics.quantiles(
        values, n=PERCENTILES, method='inclusive'
    )
    return cut_points[rank - 1]


def full_period(
    sendings: collections.abc.Iterable[testing.SendingOutcomes],
    runs: collections.abc.Iterable[testing.Run],
    settling_ms: float,
    until_ms: float,
) -> Period | None:
    """Return the period in which every team had waiting durable tasks.

    It begins ``settling_ms`` after the first task of the last team was sent,
    when tasks that started earlier have ended, and ends by ``until_ms``.
    None when there is no such period.
    """
    started_ms = {run.start.task_id: run.start.at_ms for run in runs}
    first_sent_ms: dict[messages.TeamId, float] = {}
    wait_end_ms: dict[messages.TeamId, float] = {}
    for each in sendings:
        sending = each.sending
        if sending.kind not in DURABLE_KINDS:
            continue
        team_id = sending.team_id
        ended_ms = started_ms.get(sending.task_id, each.ended_ms)
        first_sent_ms.setdefault(team_id, sending.at_ms)
        wait_end_ms[team_id] = max(wait_end_ms.get(team_id, 0.0), ended_ms)
    if not first_sent_ms:
        return None
    period = Period(
        max(first_sent_ms.values()) + settling_ms,
        min(until_ms, *wait_end_ms.values()),
    )
    return period if period.length_ms > 0 else None


def capacity_millicores(history: testing.History) -> int:
    """Return the CPU capacity of all workers from their journals."""
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
    """Return, by team, the mean ratio of the CPU capacity in use."""
    used: dict[messages.TeamId, float] = collections.defaultdict(float)
    for run in runs:
        cpu_millicores = run.resources.cpu_millicores
        used[run.start.team_id] += (
            cpu_millicores
            * period.overlap_ms(run)
            / (period.length_ms * capacity)
        )
    return used


def team_usage(
    runs: collections.abc.Sequence[testing.Run],
    period: Period,
    capacity: int,
) -> tuple[TeamUsage, ...]:
    """Return the used and the granted CPU ratio of each team.

    The grants divide the total usage by max-min fairness: in proportion to
    the shares, where the excess over a team's upper limit goes to the others.
    """
    used = used_ratios(runs, period, capacity)
    caps = {
        team.team_id: _cap_ratio(team, runs, period, capacity)
        for team in _fleets.TEAMS
    }
    granted = max_min_fair_ratios(
        sum(used.values()),
        {team.team_id: team.share for team in _fleets.TEAMS},
        caps,
    )
    return tuple(
        TeamUsage(
            team.team_id,
            team.share,
            used.get(team.team_id, 0.0),
            granted[team.team_id],
        )
        for team in _fleets.TEAMS
    )


def max_min_fair_ratios(
    total: float,
    shares: collections.abc.Mapping[messages.TeamId, int],
    caps: collections.abc.Mapping[messages.TeamId, float],
) -> dict[messages.TeamId, float]:
    """Divide a total by weighted max-min fairness.

    Each team gets an amount in proportion to its share, but at most its cap;
    the remainder is divided among the other teams.

    Example::

        max_min_fair_ratios(1.0, {'a': 1, 'b': 1}, {'a': 0.2, 'b': 1.0})
        # {'a': 0.2, 'b': 0.8}
    """
    granted: dict[messages.TeamId, float] = {}
    uncapped_shares = dict(shares)
    remaining = total
    while uncapped_shares:
        per_share = remaining / sum(uncapped_shares.values())
        capped = [
            team_id
            for team_id, share in uncapped_shares.items()
            if caps[team_id] < per_share * share
        ]
        if not capped:
            granted |= {
                team_id: per_share * share
                for team_id, share in uncapped_shares.items()
            }
            break
        for team_id in capped:
            granted[team_id] = caps[team_id]
            remaining -= caps[team_id]
            del uncapped_shares[team_id]
    return granted


def _cap_ratio(
    team: _fleets.Team,
    runs: collections.abc.Iterable[testing.Run],
    period: Period,
    capacity: int,
) -> float:
    """Return the upper limit of a team as a ratio of the CPU capacity.

    A limit on the number of running tasks is converted by the mean CPU of
    the team's tasks, weighted by their run times within the period.
    """
    caps = [1.0]
    if team.cpu_millicores_max is not None:
        caps.append(team.cpu_millicores_max / capacity)
    if team.running_max is not None:
        mean_millicores = _mean_millicores(
            [run for run in runs if run.start.team_id == team.team_id],
            period,
        )
        if mean_millicores > 0:
            caps.append(team.running_max * mean_millicores / capacity)
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
