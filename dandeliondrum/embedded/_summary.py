"""Summarizes a run and decides whether it passed."""

import collections
import dataclasses

from dandeliondrum.embedded import _run_metrics
from dandeliondrum import testing

ViolationKind = testing.ViolationKind
# About four times the longest task of the demo, and enough for the gang of the
# README's run, which started after 5.8 s.
START_TIMEOUT_MS = 15_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Counts and metrics of a run, from callers' and workers' records.

    ``requests`` are waiting calls and durable tasks; each is counted once as
    answered, refused, in doubt or lost. ``failed`` counts the answered
    requests whose task failed. Replicas of services, which do not end, are
    counted separately. ``never_started`` counts replicas and gang tasks that
    waited for ``START_TIMEOUT_MS`` or longer without a start. Wait times are
    those of waiting calls, from submission to the first start.
    ``packing_ratio`` is the mean ratio of all CPU capacity in use, and
    ``share_error_max`` the largest difference between a team's usage and its
    grant; both are None when the fleet was never full.
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
class RunResults:
    """A summary, and the details that the tables show."""

    summary: Summary
    waits_ms: dict[str, list[float]]
    teams: tuple[_run_metrics.TeamUsage, ...]
    violations: tuple[testing.Violation, ...]


def passed(summary: Summary) -> bool:
    """Return whether no invariant was violated and every start was in time."""
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
) -> RunResults:
    """Summarize a completed run.

    ``until_ms`` is the time at which callers stopped submitting work; see
    :func:`_run_metrics.full_period` for ``settling_ms``.
    """
    runs = testing.runs(history, testing.CheckOptions().margin_ms)
    sendings = testing.all_sending_outcomes(history)
    period = _run_metrics.full_period(sendings, runs, settling_ms, until_ms)
    teams: tuple[_run_metrics.TeamUsage, ...] = ()
    if period is not None:
        capacity = _run_metrics.capacity_millicores(history)
        teams = _run_metrics.team_usage(runs, period, capacity)
    waits = _waits_by_class(history, runs)
    calls = [wait for name in ('urgent', 'batch') for wait in waits[name]]
    violations = testing.check(history)
    summary = Summary(
        **_outcome_counts(sendings),
        **_violation_counts(violations),
        **_start_counts(sendings, runs, until_ms),
        wait_p50_ms=round(_run_metrics.percentile(calls, 50), 1),
        wait_p99_ms=round(_run_metrics.percentile(calls, 99), 1),
        packing_ratio=_rounded_sum([team.used_ratio for team in teams]),
        share_error_max=_rounded_max([team.error_ratio for team in teams]),
        full_ms=round(period.length_ms) if period is not None else 0,
    )
    return RunResults(summary, waits, teams, violations)


def _waits_by_class(
    history: testing.History, runs: tuple[testing.Run, ...]
) -> dict[str, list[float]]:
    """Return wait times by task class; durable tasks are kept apart."""
    durable_task_ids = {
        sending.task_id
        for sending in history.sendings
        if sending.kind in _run_metrics.DURABLE_KINDS
    }
    calls = [run for run in runs if run.start.task_id not in durable_task_ids]
    jobs = [run for run in runs if run.start.task_id in durable_task_ids]
    waits: dict[str, list[float]] = collections.defaultdict(list)
    for task_class, values in _run_metrics.waits_ms(history, calls).items():
        waits[task_class.value] = values
    for task_class, values in _run_metrics.waits_ms(history, jobs).items():
        waits[f'{task_class.value}, for later'] = values
    return waits


def _outcome_counts(
    sendings: tuple[testing.SendingOutcomes, ...],
) -> dict[str, int]:
    """Count each request once, by its final outcome for the caller."""
    counts: collections.Counter[testing.OutcomeKind] = collections.Counter()
    requests = failed = lost = 0
    for each in sendings:
        if each.sending.kind is testing.SendingKind.SERVICE:
            continue
        requests += 1
        outcome = each.deciding_outcome
        if outcome is None:
            lost += 1
            continue
        counts[outcome.kind] += 1
        if outcome.kind is testing.OutcomeKind.ANSWERED:
            failed += outcome.status != 200
    return {
        'requests': requests,
        'answered': counts[testing.OutcomeKind.ANSWERED],
        'failed': failed,
        'refused_not_run': counts[testing.OutcomeKind.REFUSED_NOT_RUN],
        'in_doubt': counts[testing.OutcomeKind.IN_DOUBT],
        'lost': lost,
    }


def _violation_counts(
    violations: tuple[testing.Violation, ...],
) -> dict[str, int]:
    """Count violations by name; each task, team or worker counts once."""
    subjects: dict[ViolationKind, set[str]] = collections.defaultdict(set)
    for violation in violations:
        subjects[violation.kind].add(violation.subject)
    subjects_by_name = {
        'run_twice': subjects.pop(ViolationKind.RUN_TWICE, set())
        | subjects.pop(ViolationKind.TWO_PLACES, set()),
        'over_limit': subjects.pop(ViolationKind.TEAM_OVER_LIMIT, set()),
        'overloaded_workers': subjects.pop(
            ViolationKind.WORKER_OVERLOADED, set()
        ),
    }
    subjects.pop(ViolationKind.LOST, None)
    counts = {name: len(found) for name, found in subjects_by_name.items()}
    counts['other_violations'] = sum(map(len, subjects.values()))
    return counts


def _start_counts(
    sendings: tuple[testing.SendingOutcomes, ...],
    runs: tuple[testing.Run, ...],
    until_ms: float,
) -> dict[str, int]:
    """Count replicas and gang tasks, which must start on a full fleet too."""
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
            until_ms - at_ms >= START_TIMEOUT_MS
            for task_id, at_ms in {**replicas, **gang_tasks}.items()
            if task_id not in started
        ),
    }


def _rounded_sum(values: list[float]) -> float | None:
    return round(sum(values), 4) if values else None


def _rounded_max(values: list[float]) -> float | None:
    return round(max(values), 4) if values else None
