"""A replicated state of a wanted size, filled through its own commands."""

import concurrent.futures
import hashlib
import json
import pathlib
import random
import typing

from returns import result

from dandeliondrum import controller
from dandeliondrum import messages
from dandeliondrum import rules

BATCH_COUNT = 256
REGIONS_COUNT = 8
FAILURE_DOMAINS_COUNT = 18
WORKERS_PER_RACK = 40
LEASE_MS = 10_000
COMMAND_INTERVAL_MS = 1
WORKER_RESOURCES = messages.Resources(64_000, 262_144)


def team_id(number: int) -> messages.TeamId:
    """Return the id of a team."""
    return messages.TeamId(f'team-{number:03}')


def rules_text(teams_count: int) -> str:
    """Return rules with one key and one queue for each team."""
    lines = []
    for number in range(teams_count):
        key = rules.new_key(team_id(number), 'the bench')
        limit = {'running': 100_000, 'cpu_millicores': 500_000_000}
        team = {
            'rule': 'team',
            'team': team_id(number),
            'share': 1 + number % 7,
            'upper_limit': limit,
        }
        queue = {
            'rule': 'queue',
            'queue': f'queue-{number:03}',
            'open': False,
            'class': 'batch',
            'queued_max': 20_000,
        }
        for fields in (team, queue):
            lines.append(f'{json.dumps(fields)}  // asked by the bench')
        lines.append(key.rule_line)
    return '\n'.join(lines) + '\n'


class World:
    """A state with workers and running tasks; also the log that feeds it.

    Tasks get numbers in the order in which they are made; those of class
    service and durable ones are spread by the seed.
    """

    def __init__(self, teams_count: int, seed: int) -> None:
        self.state = controller.CellState()
        self.workers: list[messages.WorkerFacts] = []
        self.running: list[messages.AttemptId] = []
        self._teams_count = teams_count
        self._chance = random.Random(seed)
        self._index = 0
        self._tasks_count = 0
        self.time_ms = 0

    def apply(self, kind: typing.Any, *fields: typing.Any) -> typing.Any:
        """Apply one command as the log would."""
        return self.apply_bytes(self.encoded(kind, *fields))

    def encoded(self, kind: typing.Any, *fields: typing.Any) -> bytes:
        """Return the bytes of a command that happens now."""
        self.time_ms += COMMAND_INTERVAL_MS
        return messages.encode(kind(self.time_ms, *fields))

    def apply_bytes(self, command: bytes) -> typing.Any:
        """Apply the bytes of a command."""
        self._index += 1
        return self.state.apply(self._index, command)

    def set_rules(self, text: str) -> None:
        """Put rules in force."""
        version = self.state.rules_record.version
        self.apply(
            messages.ApplyRules, f'change-{version}', 'bench', version, text
        )

    def facts(self, number: int) -> messages.WorkerFacts:
        """Return what a worker announces."""
        return messages.WorkerFacts(
            messages.WorkerId(f'worker-{number:05}'),
            messages.Incarnation(f'{number:016x}'),
            f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:7000',
            messages.Region(f'region-{number % REGIONS_COUNT}'),
            messages.FailureDomain(f'domain-{number % FAILURE_DOMAINS_COUNT}'),
            messages.Rack(f'rack-{number // WORKERS_PER_RACK}'),
            WORKER_RESOURCES,
            1_000,
            1_000,
        )

    def add_workers(self, count: int) -> None:
        """Register so many workers."""
        for number in range(count):
            facts = self.facts(number)
            self.workers.append(facts)
            self.apply(messages.RegisterWorker, facts)

    def spec(self, durable: bool = False) -> messages.TaskSpec:
        """Return a new task of a team that the seed chooses."""
        self._tasks_count += 1
        number = self._chance.randrange(self._teams_count)
        name = f'{team_id(number)}/job-{self._tasks_count // 64}'
        task_id = messages.TaskId(f'{name}-{self._tasks_count % 64}')
        is_service = self._chance.random() < 0.2
        task_class = messages.TaskClass.BATCH
        if is_service:
            task_class = messages.TaskClass.SERVICE
        return messages.TaskSpec(
            task_id,
            team_id(number),
            messages.QueueName(f'queue-{number:03}'),
            task_class,
            messages.Resources(1_000, 1_024),
            True,
            60_000,
            1_000,
            hashlib.sha256(task_id.encode()).hexdigest(),
            durable,
        )

    def assignments(
        self, count: int, durable: bool = False
    ) -> tuple[messages.Assignment, ...]:
        """Return assignments of new tasks, spread evenly over workers."""
        found = []
        for _ in range(count):
            spec = self.spec(durable)
            worker = self.workers[self._tasks_count % len(self.workers)]
            found.append(
                messages.Assignment(
                    spec.task_id,
                    worker.worker_id,
                    worker.incarnation,
                    messages.GatewayId(f'gateway-{self._tasks_count % 4}'),
                    LEASE_MS,
                    None if durable else spec,
                )
            )
        return tuple(found)

    def assign(self, count: int) -> None:
        """Let so many new tasks run."""
        while count > 0:
            batch = self.assignments(min(count, BATCH_COUNT))
            outcomes = self.apply(messages.AssignTasks, batch)
            self.note_running(outcomes)
            count -= len(batch)

    def note_running(self, outcomes: typing.Any) -> None:
        """Remember the attempts of an assignment."""
        for one in outcomes:
            if one.attempt is None:
                raise RuntimeError(one.rejection_reason)
            self.running.append(one.attempt.attempt_id)

    def reports(self, count: int) -> tuple[messages.AttemptReport, ...]:
        """Return ends of attempts that the seed chooses among the running."""
        found = []
        for _ in range(count):
            place = self._chance.randrange(len(self.running))
            last = self.running.pop()
            attempt_id = last
            if place < len(self.running):
                attempt_id = self.running[place]
                self.running[place] = last
            found.append(self._report(attempt_id))
        return tuple(found)

    def _report(
        self, attempt_id: messages.AttemptId
    ) -> messages.AttemptReport:
        task = self.state.task_of_attempt(attempt_id)
        worker = self.state.workers[task.attempt.worker_id]
        answer = messages.AnswerPlace(
            worker.facts.worker_id,
            worker.facts.address,
            attempt_id,
            200,
            hashlib.sha256(attempt_id.encode()).hexdigest(),
        )
        return messages.AttemptReport(
            attempt_id, messages.AttemptState.FINISHED, answer, run_ms=1_000
        )

    def end(self, count: int) -> None:
        """End so many of the running attempts."""
        while count > 0:
            batch = self.reports(min(count, BATCH_COUNT))
            self.apply(messages.EndAttempts, batch)
            count -= len(batch)


class FakeNode:
    """A log without peers or disk: what is proposed is applied at once."""

    def __init__(self, world: World) -> None:
        self._world = world

    def leading(self) -> bool:
        """Lead always."""
        return True

    def propose(self, command: bytes) -> concurrent.futures.Future:
        """Apply a command and return its outcome."""
        done: concurrent.futures.Future = concurrent.futures.Future()
        done.set_result(result.Success(self._world.apply_bytes(command)))
        return done


def options() -> controller.Options:
    """Return the options of a controller that is never started."""
    return controller.Options(
        messages.ControllerId('c1'),
        messages.CellId('bench'),
        messages.Region('region-0'),
        messages.FailureDomain('domain-0'),
        '127.0.0.1:0',
        pathlib.Path('unused'),
        {},
    )
