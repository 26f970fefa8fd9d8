"""The figures of a run in one record, and whether it went well."""

import collections
import dataclasses

from dandeliondrum.embedded import _figures
from dandeliondrum import testing

Kind = testing.ViolationKind
# Four times the longest task of the demo; the gang of the README's run
# started after 5.8 s.
START_PATIENCE_MS = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """What callers saw and what workers recorded, in numbers.

    ``requests`` are waiting calls and durable tasks; each is counted once as
    answered, refused, in doubt or lost. ``failed`` of the answered ones had a
    failed task. The replicas of services, which have no end, are counted
    apart. ``never_started`` are replicas and tasks of gangs that waited for
    ``START_PATIENCE_MS`` or longer in vain. Waits are those of waiting calls
    from their sending to the first start, ``packing_ratio`` is the mean part
    of all processors in use, and ``share_error_max`` the largest distance of
    a team's part from its grant; the last two are None when the fleet was
    never full.
    """

    requests: int
    answered: int
    failed: int
    refused_not_run: int
    in_doubt: int
    lost: int
    run_twice: int
    over_limit: int
    overloaded_workers: int
    other_violations: int
    replicas: int
    replicas_started: int
    gang_tasks: int
    gang_tasks_started: int
    never_started: int
    wait_p50_ms: float
    wait_p99_ms: float
    packing_ratio: float | None
    share_error_max: float | None
    full_ms: float


@dataclasses.dataclass(frozen=True)
class Findings:
    """A summary with the details that tables show."""

    summary: Summary
    waits_ms: dict[str, list[float]]
    teams: tuple[_figures.TeamFigures, ...]
    violations: tuple[testing.Violation, ...]


def passed(summary: Summary) -> bool:
    """Return whether nothing happened that must never happen."""
    return not (
        summary.lost
        or summary.run_twice
        or summary.over_limit
        or summary.overloaded_workers
        or summary.other_violations
        or summary.never_started
    )


def summarize(
    history: testing.History, until_ms: float, settling_ms: float = 0.0
) -> Findings:
    """Work out the figures of a run that came to rest.

    ``until_ms`` is when callers stopped to submit work; see
    :func:`_figures.full_period` for ``settling_ms``.
    """
    runs = testing.runs(history, testing.CheckOptions().margin_ms)
    sendings = testing.all_sending_outcomes(history)
    period = _figures.full_period(sendings, runs, settling_ms, until_ms)
    teams: tuple[_figures.TeamFigures, ...] = ()
    if period is not None:
        capacity = _figures.capacity_millicores(history)
        teams = _figures.team_figures(runs, period, capacity)
    waits = _waits(history, runs)
    calls = [wait for name in ('urgent', 'batch') for wait in waits[name]]
    violations = testing.check(history)
    summary = Summary(
        **_outcomes(sendings),
        **_broken(violations),
        **_starts(sendings, runs, until_ms),
        wait_p50_ms=round(_figures.percentile(calls, 50), 1),
        wait_p99_ms=round(_figures.percentile(calls, 99), 1),
        packing_ratio=_sum_of([team.used_ratio for team in teams]),
        share_error_max=_largest_of([team.error_ratio for team in teams]),
        full_ms=round(period.length_ms) if period is not None else 0,
    )
    return Findings(summary, waits, teams, violations)


def _waits(
    history: testing.History, runs: tuple[testing.Run, ...]
) -> dict[str, list[float]]:
    """Return waits by what callers asked for."""
    durable = {
        sending.task_id
        for sending in history.sendings
        if sending.kind in _figures.DURABLE_KINDS
    }
    calls = [run for run in runs if run.start.task_id not in durable]
    jobs = [run for run in runs if run.start.task_id in durable]
    waits: dict[str, list[float]] = collections.defaultdict(list)
    for task_class, values in _figures.waits_ms(history, calls).items():
        waits[task_class.value] = values
    for task_class, values in _figures.waits_ms(history, jobs).items():
        waits[f'{task_class.value}, for later'] = values
    return waits


def _outcomes(sendings: tuple[testing.SendingOutcomes, ...]) -> dict[str, int]:
    """Count each request once, by what its caller saw in the end."""
    counted: collections.Counter[testing.OutcomeKind] = collections.Counter()
    requests = failed = lost = 0
    for each in sendings:
        if each.sending.kind is testing.SendingKind.SERVICE:
            continue
        requests += 1
        verdict = each.verdict
        if verdict is None:
            lost += 1
            continue
        counted[verdict.kind] += 1
        if verdict.kind is testing.OutcomeKind.ANSWERED:
            failed += verdict.status != 200
    return {
        'requests': requests,
        'answered': counted[testing.OutcomeKind.ANSWERED],
        'failed': failed,
        'refused_not_run': counted[testing.OutcomeKind.REFUSED_NOT_RUN],
        'in_doubt': counted[testing.OutcomeKind.IN_DOUBT],
        'lost': lost,
    }


def _broken(violations: tuple[testing.Violation, ...]) -> dict[str, int]:
    """Count violations; a task, team or worker counts once."""
    subjects: dict[Kind, set[str]] = collections.defaultdict(set)
    for violation in violations:
        subjects[violation.kind].add(violation.subject)
    named = {
        'run_twice': subjects.pop(Kind.RUN_TWICE, set())
        | subjects.pop(Kind.TWO_PLACES, set()),
        'over_limit': subjects.pop(Kind.TEAM_OVER_LIMIT, set()),
        'overloaded_workers': subjects.pop(Kind.WORKER_OVERLOADED, set()),
    }
    subjects.pop(Kind.LOST, None)
    counts = {name: len(found) for name, found in named.items()}
    counts['other_violations'] = sum(map(len, subjects.values()))
    return counts


def _starts(
    sendings: tuple[testing.SendingOutcomes, ...],
    runs: tuple[testing.Run, ...],
    until_ms: float,
) -> dict[str, int]:
    """Count what has to start also while the fleet is full."""
    sent_ms: dict[testing.SendingKind, dict[str, float]]
    sent_ms = collections.defaultdict(dict)
    for each in sendings:
        by_task = sent_ms[each.sending.kind]
        by_task.setdefault(each.sending.task_id, each.sending.at_ms)
    replicas = sent_ms[testing.SendingKind.SERVICE]
    gang_tasks = sent_ms[testing.SendingKind.GANG]
    started = {run.start.task_id for run in runs}
    return {
        'replicas': len(replicas),
        'replicas_started': len(replicas.keys() & started),
        'gang_tasks': len(gang_tasks),
        'gang_tasks_started': len(gang_tasks.keys() & started),
        'never_started': sum(
            until_ms - at_ms >= START_PATIENCE_MS
            for task_id, at_ms in {**replicas, **gang_tasks}.items()
            if task_id not in started
        ),
    }


def _sum_of(values: list[float]) -> float | None:
    return round(sum(values), 4) if values else None


def _largest_of(values: list[float]) -> float | None:
    return round(max(values), 4) if values else None
