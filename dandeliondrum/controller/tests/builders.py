"""Factories of messages and a fake log for the controller's tests."""

from dandeliondrum import messages

RULES = """
{"rule": "team", "team": "harbour", "share": 1, "upper_limit": {"running": 2}}  // asked by S. Prasert
{"rule": "team", "team": "inspectors", "share": 3}  // asked by S. Prasert
{"rule": "queue", "queue": "lens", "open": false, "class": "batch", "queued_max": 100}  // asked by S. Prasert
{"rule": "queue", "queue": "walk-in", "open": true, "class": "urgent"}  // asked by S. Prasert
"""  # noqa: E501


def facts(name='lathe-1', incarnation='a', slots_count=8, cpu=16_000):
    return messages.WorkerFacts(
        messages.WorkerId(name),
        messages.Incarnation(incarnation),
        '127.0.0.1:1',
        messages.Region('gulf'),
        messages.FailureDomain('songkhla'),
        messages.Rack('s-1'),
        messages.Resources(cpu, 32_768),
        slots_count,
        64,
    )


def spec(
    name,
    team='harbour',
    cpu=1_000,
    idempotent=False,
    durable=False,
    task_class=messages.TaskClass.BATCH,
    timeout_ms=60_000,
    digest='d',
):
    return messages.TaskSpec(
        messages.TaskId(f'{team}/{name}'),
        messages.TeamId(team),
        messages.QueueName('lens'),
        task_class,
        messages.Resources(cpu, 1_024),
        idempotent,
        timeout_ms,
        100,
        digest,
        durable,
    )


def assignment(task, worker='lathe-1', incarnation='a'):
    return messages.Assignment(
        task.task_id,
        messages.WorkerId(worker),
        messages.Incarnation(incarnation),
        messages.GatewayId('g1'),
        8_000,
        task,
    )


class Log:
    """Applies commands to a state in order, as the log does."""

    def __init__(self, state):
        self.state = state
        self.index = 0
        self.time_ms = 0

    def __call__(self, kind, *fields):
        self.index += 1
        self.time_ms += 10
        command = kind(self.time_ms, *fields)
        return self.state.apply(self.index, messages.encode(command))

    def rules(self, text=RULES, expected=0, change='c1', operator='op'):
        return self(messages.ApplyRules, change, operator, expected, text)

    def assign(self, *tasks, all_or_none=False):
        assignments = tuple(assignment(task) for task in tasks)
        return self(messages.AssignTasks, assignments, all_or_none)

    def end(self, attempt_id, state, answer=None):
        report = messages.AttemptReport(attempt_id, state, answer)
        ended = self(messages.EndAttempts, (report,))
        return tuple(attempt.task for attempt in ended)
