"""Cancellation of tasks."""

import dataclasses

import pytest

from dandeliondrum.controller import _operators
from dandeliondrum.controller import _queries
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_heartbeats
from dandeliondrum import messages


@pytest.fixture
def leader(monkeypatch):
    leader = test_heartbeats.SingleWorkerLeader()
    leader.context = leader.leadership.context
    grants = _operators.team_grants(leader.state.rules)
    leader.context.planner.set_teams(grants)
    monkeypatch.setattr(
        leader.leadership._queries, '_check_key', lambda *_: None
    )
    return leader


def _accept(leader):
    """Return the specification of an accepted task that waits."""
    spec = builders.spec('t', durable=True)
    admit = messages.AdmitTasks(0, (messages.Admission(spec, b''),))
    leader.log.propose(messages.encode(admit))
    leader.leadership._queueing.enqueue_recorded([spec.task_id])
    return spec


def _cancel(leader, spec):
    call = messages.CancelCall((spec.task_id,), spec.team_id, '')
    return leader.leadership._queries.cancel(call).result(0)


def test_a_task_whose_cancellation_is_not_recorded_still_waits(leader):
    """Regression test: the accepted task was neither run nor refused."""
    spec = _accept(leader)
    leader.log.refuses = True
    assert isinstance(_cancel(leader, spec), messages.CallFailed)
    assert spec.task_id in leader.context.pending
    plan = leader.context.planner.plan(leader.context.now_ms(), 10)
    assert [each.task_id for each in plan.groups[0]] == [spec.task_id]


def test_a_cancelled_task_waits_no_more(leader):
    spec = _accept(leader)
    (status,) = _cancel(leader, spec).statuses
    assert status.state is messages.TaskState.CANCELLED
    assert spec.task_id not in leader.context.pending


def _cancel_unknown(leader, *names):
    task_ids = tuple(f'harbour/{name}' for name in names)
    call = messages.CancelCall(task_ids, 'harbour', '')
    return leader.leadership._queries.cancel(call).result(0)


def test_as_many_cancellations_of_unknown_tasks_are_kept_as_fit(
    leader, monkeypatch
):
    monkeypatch.setattr(_queries, 'EARLY_CANCELS_MAX', 2)
    state = leader.context.state
    assert len(_cancel_unknown(leader, 'a', 'b').statuses) == 2
    failed = _cancel_unknown(leader, 'a', 'c')
    assert isinstance(failed, messages.CallFailed) and failed.not_done
    assert 'harbour/c' not in state.tasks
    assert len(_cancel_unknown(leader, 'a', 'b').statuses) == 2
    copy = type(state)()
    copy.restore(state.snapshot())
    assert copy.early_cancels_count == state.early_cancels_count == 2
    now_ms = leader.context.now_ms() + 1
    forget = messages.ForgetTasks(now_ms, now_ms)
    leader.log.propose(messages.encode(forget))
    assert state.early_cancels_count == 0
    assert len(_cancel_unknown(leader, 'c').statuses) == 1


def test_the_status_of_a_gang_tells_that_the_fleet_is_too_small(leader):
    """Regression test: it was shown as queued without a reason."""
    specs = [
        dataclasses.replace(
            builders.spec(
                f'g{number}',
                team='inspectors',
                cpu=16_000,
                durable=True,
                task_class=messages.TaskClass.GANG,
            ),
            gang_id=messages.GangId('g'),
            gang_size=2,
        )
        for number in range(2)
    ]
    admissions = tuple(messages.Admission(spec, b'') for spec in specs)
    leader.log.propose(messages.encode(messages.AdmitTasks(0, admissions)))
    ids = [spec.task_id for spec in specs]
    leader.heartbeat()
    leader.heartbeats.refresh(test_heartbeats.WORKER)
    leader.leadership._queueing.enqueue_recorded(ids)
    leader.context.planner.plan(leader.context.now_ms(), 10)
    call = messages.QueryTasks(tuple(ids), specs[0].team_id, '')
    statuses = leader.leadership._queries._find_statuses(call).statuses
    for status in statuses:
        assert status.state is messages.TaskState.QUEUED
        assert status.detail == 'the eligible workers are too few for its gang'
