"""Synthetic fleets, teams and random tasks for the placement benchmark."""

import dataclasses
import random

from dandeliondrum import messages
from dandeliondrum import placement

WORKERS_PER_RACK = 8
SLOTS_COUNT = 8


@dataclasses.dataclass(frozen=True)
class FleetShape:
    """Size and layout of a fleet; resources are those of one worker."""

    workers_count: int
    teams_count: int
    regions_count: int
    domains_count: int
    cpu_millicores: int = 32_000
    memory_mb: int = 64_000


def shape_for(workers_count: int, teams_count: int) -> FleetShape:
    """Return the present layout for up to 24 workers, else the planned one."""
    if workers_count <= 24:
        return FleetShape(workers_count, teams_count, 2, 3)
    return FleetShape(workers_count, teams_count, 8, 18)


def workers(shape: FleetShape) -> list[messages.WorkerFacts]:
    """Return the workers, rack by rack, with the racks spread over domains."""
    results = []
    for number in range(shape.workers_count):
        rack = number // WORKERS_PER_RACK
        domain = rack % shape.domains_count
        region = domain * shape.regions_count // shape.domains_count
        results.append(
            messages.WorkerFacts(
                worker_id=messages.WorkerId(f'w{number}'),
                incarnation=messages.Incarnation('1'),
                address='127.0.0.1:1',
                region=messages.Region(f'region{region}'),
                failure_domain=messages.FailureDomain(f'domain{domain}'),
                rack=messages.Rack(f'rack{rack}'),
                resources=messages.Resources(
                    shape.cpu_millicores, shape.memory_mb, 0
                ),
                slots_count=SLOTS_COUNT,
                connections_count=64,
            )
        )
    return results


def team_ids(shape: FleetShape) -> list[messages.TeamId]:
    """Return the ids of the teams."""
    return [
        messages.TeamId(f'team{number}') for number in range(shape.teams_count)
    ]


def grants(
    shape: FleetShape, rng: random.Random
) -> dict[messages.TeamId, placement.TeamGrant]:
    """Return a grant with a random share for each team, some large."""
    return {
        team_id: placement.TeamGrant(share=rng.choice([1, 1, 2, 3, 8]))
        for team_id in team_ids(shape)
    }


class TaskGenerator:
    """Generates single tasks of random sizes, classes and regions."""

    def __init__(self, shape: FleetShape, rng: random.Random) -> None:
        self._teams = team_ids(shape)
        self._regions = [
            messages.Region(f'region{number}')
            for number in range(shape.regions_count)
        ]
        self._rng = rng
        self._count = 0

    def make(self, now_ms: int) -> placement.PendingTask:
        """Return a task: a fifth services, a fifth urgent, the rest batch."""
        rng = self._rng
        self._count += 1
        classes = messages.TaskClass
        task_class = rng.choice(
            [classes.SERVICE, classes.URGENT] + 3 * [classes.BATCH]
        )
        region = rng.choice([None, rng.choice(self._regions)])
        return placement.PendingTask(
            task_id=messages.TaskId(f't{self._count}'),
            team_id=rng.choice(self._teams),
            queue=messages.QueueName(f'q{rng.randrange(3)}'),
            task_class=task_class,
            resources=messages.Resources(
                rng.choice([500, 1_000, 2_000, 4_000, 8_000]),
                rng.choice([1_000, 2_000, 4_000, 8_000, 16_000]),
            ),
            submitted_ms=now_ms,
            deadline_ms=None,
            expected_run_ms=rng.choice([500, 5_000, 60_000]),
            region=region,
        )
