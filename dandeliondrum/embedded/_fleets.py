"""Both users' fleets in small: workers, teams, queues and rules."""

import collections.abc
import dataclasses
import json

from dandeliondrum.embedded import _cell
from dandeliondrum import messages

WORKERS_PER_USER_COUNT = 12
FAILING_WORKER = messages.WorkerId('yard-12')

WAITING_URGENT = 'counter-proof'
WAITING_BATCH = 'surface-figure'
DURABLE_BATCH = 'engraving-night'
GANG = 'ring-assembly'
SERVICE = 'lens-service'

QUEUES: collections.abc.Mapping[str, messages.TaskClass] = {
    WAITING_URGENT: messages.TaskClass.URGENT,
    WAITING_BATCH: messages.TaskClass.BATCH,
    DURABLE_BATCH: messages.TaskClass.BATCH,
    GANG: messages.TaskClass.GANG,
    SERVICE: messages.TaskClass.SERVICE,
}


@dataclasses.dataclass(frozen=True)
class Team:
    """A team's share and upper limits; None stands for no limit."""

    team_id: messages.TeamId
    share: int
    running_max: int | None = None
    cpu_millicores_max: int | None = None

    def rule(self) -> str:
        """Return the team's line of the rules file."""
        limits = {
            'running': self.running_max,
            'cpu_millicores': self.cpu_millicores_max,
        }
        given = {
            name: value for name, value in limits.items() if value is not None
        }
        fields: dict[str, object] = {
            'rule': 'team',
            'team': self.team_id,
            'share': self.share,
        }
        if given:
            fields['upper_limit'] = given
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
    """Return the rules file of the demo, with these keys."""
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
    lines = [*(team.rule() for team in TEAMS), *queues, *key_lines]
    return '\n'.join(lines) + '\n'


def workers() -> tuple[_cell.WorkerPlan, ...]:
    """Return the workers of both users; one of them fails everything."""
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
    places: tuple[tuple[str, str], ...],
    resources: messages.Resources,
) -> collections.abc.Iterator[_cell.WorkerPlan]:
    for number in range(1, WORKERS_PER_USER_COUNT + 1):
        region, failure_domain = places[number % len(places)]
        worker_id = messages.WorkerId(f'{prefix}-{number}')
        yield _cell.WorkerPlan(
            worker_id=worker_id,
            region=messages.Region(region),
            failure_domain=messages.FailureDomain(failure_domain),
            rack=messages.Rack(f'{failure_domain}-r1'),
            resources=resources,
            fails_everything=worker_id == FAILING_WORKER,
        )
