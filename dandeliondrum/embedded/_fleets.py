"""Scaled-down fleets of two users: workers, teams, queues and rules."""

import collections.abc
import dataclasses
import json

from dandeliondrum.embedded import _cell
from dandeliondrum import messages

WORKERS_PER_USER_COUNT = 12
FAILING_WORKER_ID = messages.WorkerId('yard-12')

URGENT_QUEUE = 'counter-proof'
BATCH_QUEUE = 'surface-figure'
DURABLE_QUEUE = 'engraving-night'
GANG_QUEUE = 'ring-assembly'
SERVICE_QUEUE = 'lens-service'

QUEUES: collections.abc.Mapping[str, messages.TaskClass] = {
    URGENT_QUEUE: messages.TaskClass.URGENT,
    BATCH_QUEUE: messages.TaskClass.BATCH,
    DURABLE_QUEUE: messages.TaskClass.BATCH,
    GANG_QUEUE: messages.TaskClass.GANG,
    SERVICE_QUEUE: messages.TaskClass.SERVICE,
}


@dataclasses.dataclass(frozen=True)
class Team:
    """A team's share and upper limits; None means no limit."""

    team_id: messages.TeamId
    share: int
    running_max: int | None = None
    cpu_millicores_max: int | None = None

    def rule_line(self) -> str:
        """Return the team's line in the rules file."""
        limits = {
            'running': self.running_max,
            'cpu_millicores': self.cpu_millicores_max,
        }
        finite_limits = {
            name: value for name, value in limits.items() if value is not None
        }
        fields: dict[str, object] = {
            'rule': 'team',
            'team': self.team_id,
            'share': self.share,
        }
        if finite_limits:
            fields['upper_limit'] = finite_limits
        return f'{json.dumps(fields)}  // asked by the demo'


TEAMS = (
    Team(messages.TeamId('figuring'), 6),
    Team(messages.TeamId('inspection'), 3),
    Team(messages.TeamId('harbour'), 2, running_max=6),
    Team(messages.TeamId('engraving'), 5),
    Team(messages.TeamId('counter'), 3),
    Team(messages.TeamId('groves'), 2, cpu_millicores_max=8_000),
)


def rules_text(key_lines: collections.abc.Iterable[str]) -> str:
    """Return the rules file of the demo, including the given key rules."""
    queues = [
        json.dumps(
            {
                'rule': 'queue',
                'queue': queue,
                'open': False,
                'class': task_class.value,
            }
        )
        + '  // asked by the demo'
        for queue, task_class in QUEUES.items()
    ]
    lines = [*(team.rule_line() for team in TEAMS), *queues, *key_lines]
    return '\n'.join(lines) + '\n'


def workers() -> tuple[_cell.WorkerConfig, ...]:
    """Return the workers of both users; one of them fails all its tasks."""
    bureau = _workers(
        'bureau',
        (('gulf', 'sattahip'), ('gulf', 'songkhla'), ('andaman', 'phuket')),
        messages.Resources(4_000, 8_192),
    )
    yard = _workers(
        'yard',
        (
            ('north-isle', 'pamplemousses'),
            ('north-isle', 'grand-baie'),
            ('south-isle', 'mahebourg'),
        ),
        messages.Resources(8_000, 16_384),
    )
    return (*bureau, *yard)


def _workers(
    prefix: str,
    locations: tuple[tuple[str, str], ...],
    resources: messages.Resources,
) -> collections.abc.Iterator[_cell.WorkerConfig]:
    for number in range(1, WORKERS_PER_USER_COUNT + 1):
        region, failure_domain = locations[number % len(locations)]
        worker_id = messages.WorkerId(f'{prefix}-{number}')
        yield _cell.WorkerConfig(
            worker_id=worker_id,
            region=messages.Region(region),
            failure_domain=messages.FailureDomain(failure_domain),
            rack=messages.Rack(f'{failure_domain}-r1'),
            resources=resources,
            fails_everything=worker_id == FAILING_WORKER_ID,
        )
