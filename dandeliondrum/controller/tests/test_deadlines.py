"""Refusals of tasks at their deadline, and of tasks without a caller."""

import threading

import pytest

from dandeliondrum.controller import _operators
from dandeliondrum.controller import _sessions
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_heartbeats
from dandeliondrum import messages
from dandeliondrum import testing

TIMEOUT_MS = 50
# Longer than it takes to place a task, also on a busy machine.
PLACEMENT_TIMEOUT_MS = 2_000


class Connection:
    """Connection of a gateway that takes every push."""

    def __init__(self):
        self.closed = threading.Event()

    def push(self, message):
        return True


@pytest.fixture
def leader():
    leader = test_heartbeats.SingleWorkerLeader()
    leader.context = leader.leadership.context
    grants = _operators.team_grants(leader.state.rules)
    leader.context.planner.set_teams(grants)
    return leader


def _is_refused(leader, task_id):
    leader.leadership._deadlines.check()
    return leader.state.tasks[task_id].state is messages.TaskState.REFUSED


def test_a_refusal_that_the_log_did_not_record_is_made_again(leader):
    """Regression test: the task was neither run nor refused."""
    spec = builders.spec('t', durable=True, timeout_ms=TIMEOUT_MS)
    admit = messages.AdmitTasks(0, (messages.Admission(spec, b''),))
    leader.log.propose(messages.encode(admit))
    leader.leadership._queueing.enqueue_recorded([spec.task_id])
    assert spec.task_id in leader.context.pending
    leader.log.refuses = True
    testing.wait_until(
        lambda: (
            leader.leadership._deadlines.check()
            or spec.task_id not in leader.context.pending
        )
    )
    leader.log.refuses = False
    testing.wait_until(lambda: _is_refused(leader, spec.task_id))


def test_a_placed_task_whose_caller_has_left_is_refused(leader):
    """Regression test: the task was neither run nor refused.

    Its gateway disconnects between the placement and the assignment.
    """
    attempt_id = leader.assign(
        't', idempotent=True, timeout_ms=PLACEMENT_TIMEOUT_MS
    )
    leader.end(attempt_id, messages.AttemptState.NEVER_STARTED)
    task_id = messages.TaskId('harbour/t')
    connection = Connection()
    session = _sessions.Session(
        connection,
        messages.GatewayId('g1'),
        leader.context.sessions.next_number(),
        messages.Region('gulf'),
        messages.RulesVersion(1),
    )
    assert leader.context.sessions.register(session)
    leader.context.sessions.wait_for(session, task_id)
    leader.leadership._queueing.enqueue_recorded([task_id])
    plan = leader.context.planner.plan(leader.context.now_ms(), 10)
    leader.leadership.on_close(connection)
    leader.leadership._dispatch._assign_command(plan.groups[0], False)
    testing.wait_until(lambda: _is_refused(leader, task_id))
