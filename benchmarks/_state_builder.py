"""Fills a replicated state to a given size by applying commands."""

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


class StateBuilder:
    """Builds a state with workers and running tasks.

    It takes the place of the replicated log: it encodes commands and applies
    them with rising indexes. Tasks are numbered in the order in which they
    are made; the seed chooses their teams and which are of class service.
    """

    def __init__(self, teams_count: int, seed: int) -> None:
        self.state = controller.CellState()
        self.workers: list[messages.WorkerFacts] = []
        self.running: list[messages.AttemptId] = []
        self._teams_count = teams_count
        self._rng = random.Random(seed)
        self._index = 0
        self._tasks_count = 0
        self.time_ms = 0

    def apply(self, kind: typing.Any, *fields: typing.Any) -> typing.Any:
        """Apply one command as the replicated log would."""
        return self.apply_bytes(self.encoded(kind, *fields))

    def encoded(self, kind: typing.Any, *fields: typing.Any) -> bytes:
        """Return the bytes of a command; advance the time by one interval."""
        self.time_ms += COMMAND_INTERVAL_MS
        return messages.encode(kind(self.time_ms, *fields))

    def apply_bytes(self, command: bytes) -> typing.Any:
        """Apply an encoded command and return its outcome."""
        self._index += 1
        return self.state.apply(self._index, command)

    def set_rules(self, text: str) -> None:
        """Apply a new version of the rules."""
        version = self.state.rules_record.version
        self.apply(
            messages.ApplyRules, f'change-{version}', 'bench', version, text
        )

    def facts(self, number: int) -> messages.WorkerFacts:
        """Return the facts that a worker announces."""
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
        """Register ``count`` workers."""
        for number in range(count):
            facts = self.facts(number)
            self.workers.append(facts)
            self.apply(messages.RegisterWorker, facts)

    def spec(self, durable: bool = False) -> messages.TaskSpec:
        """Return a new task of a random team."""
        self._tasks_count += 1
        number = self._rng.randrange(self._teams_count)
        name = f'{team_id(number)}/job-{self._tasks_count // 64}'
        task_id = messages.TaskId(f'{name}-{self._tasks_count % 64}')
        is_service = self._rng.random() < 0.2
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
        """Return assignments of new tasks to the workers in turn."""
        results = []
        for _ in range(count):
            spec = self.spec(durable)
            worker = self.workers[self._tasks_count % len(self.workers)]
            results.append(
                messages.Assignment(
                    spec.task_id,
                    worker.worker_id,
                    worker.incarnation,
                    messages.GatewayId(f'gateway-{self._tasks_count % 4}'),
                    LEASE_MS,
                    None if durable else spec,
                )
            )
        return tuple(results)

    def assign(self, count: int) -> None:
        """Assign ``count`` new tasks, so that they run."""
        while count > 0:
            batch = self.assignments(min(count, BATCH_COUNT))
            outcomes = self.apply(messages.AssignTasks, batch)
            self.record_running(outcomes)
            count -= len(batch)

    def record_running(self, outcomes: typing.Any) -> None:
        """Record the attempts that an assignment started.

        Raises RuntimeError if a task was rejected.
        """
        for one in outcomes:
            if one.attempt is None:
                raise RuntimeError(one.rejection_reason)
            self.running.append(one.attempt.attempt_id)

    def reports(self, count: int) -> tuple[messages.AttemptReport, ...]:
        """Return reports that random running attempts have finished."""
        results = []
        for _ in range(count):
            index = self._rng.randrange(len(self.running))
            last = self.running.pop()
            attempt_id = last
            if index < len(self.running):
                attempt_id = self.running[index]
                self.running[index] = last
            results.append(self._report(attempt_id))
        return tuple(results)

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
        """End ``count`` random running attempts."""
        while count > 0:
            batch = self.reports(min(count, BATCH_COUNT))
            self.apply(messages.EndAttempts, batch)
            count -= len(batch)


class FakeNode:
    """A consensus node without peers or disk; applies proposals at once."""

    def __init__(self, builder: StateBuilder) -> None:
        self._builder = builder

    def is_leading(self) -> bool:
        """Return True; this node always leads."""
        return True

    def propose(self, command: bytes) -> concurrent.futures.Future:
        """Apply a command and return its outcome."""
        done: concurrent.futures.Future = concurrent.futures.Future()
        done.set_result(result.Success(self._builder.apply_bytes(command)))
        return done


def options() -> controller.Options:
    """Return options for a controller that is never started."""
    return controller.Options(
        messages.ControllerId('c1'),
        messages.CellId('bench'),
        messages.Region('region-0'),
        messages.FailureDomain('domain-0'),
        '127.0.0.1:0',
        pathlib.Path('unused'),
        {},
    )
