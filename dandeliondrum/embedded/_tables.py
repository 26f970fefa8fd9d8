"""Formats the results of a run as tables."""

import collections.abc

from dandeliondrum.embedded import _run_metrics
from dandeliondrum.embedded import _summary
from dandeliondrum import tables


def render(
    results: _summary.RunResults, cpu_ms: float, memory_peak_mb: float
) -> str:
    """Return the tables of a run, followed by its violations."""
    summary = results.summary
    lines = [
        'Waiting time by class, in ms',
        _waits_table(results.waits_ms),
        '',
        f'Share against grant while all teams had work waiting, for '
        f'{summary.full_ms / 1000:.1f} s, in % of all processors',
        _shares_table(results.teams),
        '',
        'Packing and control cost',
        _cost_table(summary, cpu_ms, memory_peak_mb),
        '',
        'What callers saw, and what must be 0',
        _outcomes_table(summary),
    ]
    lines += [
        f'{each.kind.value}: {each.subject}: {each.detail}'
        for each in results.violations
    ]
    return '\n'.join(lines)


def _waits_table(waits_ms: collections.abc.Mapping[str, list[float]]) -> str:
    rows = [
        (
            name,
            len(values),
            f'{_run_metrics.percentile(values, 50):.0f}',
            f'{_run_metrics.percentile(values, 99):.0f}',
            f'{max(values):.0f}',
        )
        for name, values in sorted(waits_ms.items())
        if values
    ]
    return tables.render(('class', 'started', 'p50', 'p99', 'longest'), rows)


def _shares_table(
    teams: collections.abc.Iterable[_run_metrics.TeamUsage],
) -> str:
    rows = [
        (
            team.team_id,
            team.share,
            _percent(team.used_ratio),
            _percent(team.granted_ratio),
            _percent(team.error_ratio),
        )
        for team in teams
    ]
    return tables.render(
        ('team', 'share', 'used', 'granted', 'distance'), rows
    )


def _cost_table(
    summary: _summary.Summary, cpu_ms: float, memory_peak_mb: float
) -> str:
    packing = 'never full'
    if summary.packing_ratio is not None:
        packing = _percent(summary.packing_ratio) + '%'
    cpu_per_request_ms = cpu_ms / max(1, summary.requests)
    rows = [
        ('processors in use while full', packing),
        ('processor time, all roles and callers', f'{cpu_ms / 1000:.1f} s'),
        ('processor time for each request', f'{cpu_per_request_ms:.1f} ms'),
        ('largest memory of the process', f'{memory_peak_mb:.0f} MB'),
    ]
    return tables.render(('figure', 'value'), rows)


def _outcomes_table(summary: _summary.Summary) -> str:
    names = (
        'requests',
        'answered',
        'failed',
        'refused_not_run',
        'in_doubt',
        'lost',
        'run_twice',
        'over_limit',
        'overloaded_workers',
        'other_violations',
        'never_started',
    )
    rows = [(name, getattr(summary, name)) for name in names]
    return tables.render(('figure', 'count'), rows)


def _percent(ratio: float) -> str:
    return f'{100 * ratio:.1f}'
