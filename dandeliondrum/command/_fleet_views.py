"""Formats the fleet as tables and as JSON."""

import collections
import typing

from dandeliondrum import messages
from dandeliondrum import tables

MILLICORES_PER_CORE = 1_000
MB_PER_GB = 1_024


def summary(fleet: messages.FleetShown) -> str:
    """Return the leader, and tables of controllers, gateways and teams."""
    states = collections.Counter(view.state.value for view in fleet.workers)
    state_counts = ', '.join(
        f'{count} {state}' for state, count in sorted(states.items())
    )
    parts = [
        f'leader {fleet.leader_id}, term {fleet.term}',
        f'workers: {state_counts or "none"}',
        _controllers(fleet),
        _gateways(fleet),
        _teams(fleet),
    ]
    return '\n\n'.join(parts)


def workers(fleet: messages.FleetShown) -> str:
    """Return a table of the workers, the most utilized first."""
    rows = []
    for view in sorted(fleet.workers, key=_utilization, reverse=True):
        capacity = view.facts.resources
        rows.append(
            (
                view.facts.worker_id,
                view.state.value,
                view.facts.failure_domain,
                view.facts.rack,
                f'{view.running_count}/{view.facts.slots_count}',
                _cores(view.reserved.cpu_millicores, capacity.cpu_millicores),
                _gigabytes(view.reserved.memory_mb, capacity.memory_mb),
                view.silent_ms,
            )
        )
    header = (
        'worker',
        'state',
        'domain',
        'rack',
        'slots',
        'cores',
        'memory_gb',
        'silent_ms',
    )
    return tables.render(header, rows)


def as_data(fleet: messages.FleetShown) -> dict[str, typing.Any]:
    """Return the fleet as the data printed for ``--json``."""
    return {
        'leader_id': fleet.leader_id,
        'term': fleet.term,
        'controllers': [
            {
                'controller_id': view.controller_id,
                'address': view.address,
                'role': view.role,
                'last_index': view.last_index,
            }
            for view in fleet.controllers
        ],
        'gateways': dict(fleet.gateways),
        'teams': [
            {
                'team_id': view.team_id,
                'running_count': view.running_count,
                'queued_count': view.queued_count,
                'reserved': _resources(view.reserved),
            }
            for view in fleet.teams
        ],
        'workers': [_worker(view) for view in fleet.workers],
    }


def _worker(view: messages.WorkerView) -> dict[str, typing.Any]:
    return {
        'worker_id': view.facts.worker_id,
        'address': view.facts.address,
        'state': view.state.value,
        'region': view.facts.region,
        'failure_domain': view.facts.failure_domain,
        'rack': view.facts.rack,
        'slots_count': view.facts.slots_count,
        'resources': _resources(view.facts.resources),
        'running_count': view.running_count,
        'reserved': _resources(view.reserved),
        'silent_ms': view.silent_ms,
    }


def _resources(amounts: messages.Resources) -> dict[str, int]:
    return {
        'cpu_millicores': amounts.cpu_millicores,
        'memory_mb': amounts.memory_mb,
        'accelerators_count': amounts.accelerators_count,
    }


def _controllers(fleet: messages.FleetShown) -> str:
    rows = [
        (view.controller_id, view.role, view.address, view.last_index)
        for view in fleet.controllers
    ]
    return tables.render(('controller', 'role', 'address', 'index'), rows)


def _gateways(fleet: messages.FleetShown) -> str:
    return tables.render(('gateway', 'rules_version'), fleet.gateways)


def _teams(fleet: messages.FleetShown) -> str:
    rows = [
        (
            view.team_id,
            view.running_count,
            view.queued_count,
            f'{view.reserved.cpu_millicores / MILLICORES_PER_CORE:.1f}',
            f'{view.reserved.memory_mb / MB_PER_GB:.1f}',
        )
        for view in fleet.teams
    ]
    header = ('team', 'running', 'queued', 'cores', 'memory_gb')
    return tables.render(header, rows)


def _utilization(view: messages.WorkerView) -> float:
    capacity = view.facts.resources
    return max(
        view.reserved.cpu_millicores / max(capacity.cpu_millicores, 1),
        view.reserved.memory_mb / max(capacity.memory_mb, 1),
    )


def _cores(used: int, total: int) -> str:
    return (
        f'{used / MILLICORES_PER_CORE:.1f}/{total / MILLICORES_PER_CORE:.1f}'
    )


def _gigabytes(used: int, total: int) -> str:
    return f'{used / MB_PER_GB:.1f}/{total / MB_PER_GB:.1f}'
