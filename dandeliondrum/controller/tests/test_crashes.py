"""Tests of tasks under which workers crash."""

import msgpack
import pytest

from dandeliondrum import controller
from dandeliondrum.controller import _crashes
from dandeliondrum.controller import _operators
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_heartbeats
from dandeliondrum import messages

TaskState = messages.TaskState
AttemptState = messages.AttemptState
WORKER = messages.WorkerId('lathe-1')
STARTS_MAX = 10
TASKS_FIELD_KEY = '3'
CRASH_FIELD_KEYS = 'hijk'


class Cell(builders.Log):
    """A replicated state with one worker, which restarts after a crash."""

    def __init__(self):
        super().__init__(controller.CellState())
        assert self.rules().accepted
        self.incarnation = 0
        self.restart()

    def restart(self, last_heard_ms=None):
        """Announce the worker anew and return the tasks it has ended."""
        self.incarnation += 1
        facts = builders.facts(incarnation=str(self.incarnation))
        ended = self(messages.RegisterWorker, facts, last_heard_ms)
        return [attempt.task for attempt in ended]

    def start(self, *specs):
        """Start an attempt at each task and return the ids of the attempts."""
        incarnation = str(self.incarnation)
        outcomes = self(
            messages.AssignTasks,
            tuple(
                builders.assignment(spec, incarnation=incarnation)
                for spec in specs
            ),
        )
        return [outcome.attempt.attempt_id for outcome in outcomes]

    def task(self, spec):
        return self.state.tasks[spec.task_id]

    def crash_until_closed(self, spec):
        """Crash the worker under a task, and return how often it started."""
        for starts_count in range(1, STARTS_MAX + 1):
            self.start(spec)
            self.restart()
            if self.task(spec).state is not TaskState.QUEUED:
                return starts_count
        return None


@pytest.fixture
def cell():
    return Cell()


def admitted(cell, **fields):
    spec = builders.spec('deadly', idempotent=True, durable=True, **fields)
    cell(messages.AdmitTasks, (messages.Admission(spec, b'body'),))
    return spec


@pytest.mark.parametrize(
    'task_class',
    [
        messages.TaskClass.BATCH,
        messages.TaskClass.GANG,
        messages.TaskClass.SERVICE,
    ],
)
def test_a_durable_task_does_not_crash_worker_after_worker(cell, task_class):
    spec = admitted(cell, task_class=task_class)
    assert cell.crash_until_closed(spec) == 3
    task = cell.task(spec)
    assert task.state is TaskState.FAILED
    assert task.detail == 'worker crashed repeatedly'
    assert task.ended_ms is not None


def test_a_waiting_call_does_not_crash_worker_after_worker(cell):
    spec = builders.spec('deadly', idempotent=True)
    assert cell.crash_until_closed(spec) == 3
    task = cell.task(spec)
    assert task.state is TaskState.IN_DOUBT
    assert task.detail == 'worker crashed repeatedly'


def test_a_late_answer_does_not_change_what_a_closed_task_was_told(cell):
    spec = admitted(cell)
    cell.crash_until_closed(spec)
    attempt_id = messages.AttemptId(f'{spec.task_id}#3')
    assert cell.end(attempt_id, AttemptState.FINISHED) == ()
    assert cell.task(spec).state is TaskState.FAILED


def test_tasks_that_shared_the_crashed_workers_are_not_closed(cell):
    deadly = builders.spec('deadly', idempotent=True)
    innocent = builders.spec('innocent', idempotent=True)
    for _ in range(5):
        cell.start(deadly, innocent)
        cell.restart()
    assert cell.task(innocent).state is TaskState.QUEUED
    assert cell.task(innocent).failures_count == 0
    cell.start(deadly)
    cell.restart()
    assert cell.task(deadly).state is TaskState.IN_DOUBT
    (attempt_id,) = cell.start(innocent)
    cell.end(attempt_id, AttemptState.FINISHED)
    assert cell.task(innocent).state is TaskState.DONE


def test_a_drained_or_silent_worker_is_not_counted_as_crashed(cell):
    spec = admitted(cell)
    for _ in range(3):
        cell.start(spec)
        incarnation = messages.Incarnation(str(cell.incarnation))
        leaving = messages.WorkerState.LEAVING
        cell(messages.SetWorkerState, WORKER, incarnation, leaving, 'drain')
        cell.restart()
    for _ in range(3):
        (attempt_id,) = cell.start(spec)
        cell.end(attempt_id, AttemptState.LOST)
        cell.end(attempt_id, AttemptState.STOPPED)
        cell.restart()
    assert cell.task(spec).state is TaskState.QUEUED
    assert cell.task(spec).crashes_count == 0


def test_a_crash_is_counted_when_the_worker_is_back_after_the_lease(cell):
    spec = admitted(cell)
    for _ in range(3):
        (attempt_id,) = cell.start(spec)
        cell.end(attempt_id, AttemptState.LOST)
        assert cell.task(spec).state is TaskState.QUEUED
        closed = cell.restart()
    assert closed == [cell.task(spec)]
    assert cell.task(spec).state is TaskState.FAILED


def test_a_service_survives_crashes_that_are_far_apart(cell):
    spec = admitted(cell, task_class=messages.TaskClass.SERVICE)
    for _ in range(5):
        cell.start(spec)
        cell.restart()
        cell.time_ms += 3_600_000
    assert cell.task(spec).state is TaskState.QUEUED


def test_crashes_are_counted_across_a_snapshot(cell):
    spec = admitted(cell)
    for _ in range(2):
        cell.start(spec)
        cell.restart()
    restored = controller.CellState()
    restored.restore(cell.state.snapshot())
    cell.state = restored
    assert cell.crash_until_closed(spec) == 1


def test_a_snapshot_from_before_crashes_were_counted_is_read(cell):
    spec = admitted(cell)
    cell.start(spec)
    cell.restart()
    tag, fields = msgpack.unpackb(cell.state.snapshot())
    for key in CRASH_FIELD_KEYS:
        fields[TASKS_FIELD_KEY][0].pop(key, None)
    restored = controller.CellState()
    restored.restore(msgpack.packb([tag, fields]))
    task = restored.tasks[spec.task_id]
    assert task.state is TaskState.QUEUED
    assert task.crashes_count == 0


@pytest.mark.parametrize(
    ('heard_after_ms', 'expected'),
    [(-5_000, False), (-400, True), (900, True), (1_500, False)],
)
def test_a_task_at_whose_start_a_worker_crashed_is_suspect(
    cell, heard_after_ms, expected
):
    spec = admitted(cell)
    cell.time_ms = 10_000
    cell.start(spec)
    assigned_ms = cell.task(spec).attempt.assigned_ms
    cell.restart(last_heard_ms=assigned_ms + heard_after_ms)
    assert _crashes.is_suspect(cell.task(spec)) is expected


def test_a_task_under_which_three_workers_crashed_is_suspect(cell):
    innocent = builders.spec('innocent', idempotent=True)
    service = admitted(cell, task_class=messages.TaskClass.SERVICE)
    for _ in range(3):
        assert not _crashes.is_suspect(cell.state.tasks[service.task_id])
        cell.start(innocent, service)
        cell.restart(last_heard_ms=cell.time_ms)
    assert _crashes.is_suspect(cell.task(innocent))
    assert _crashes.is_suspect(cell.task(service))


class Leader(test_heartbeats.SingleWorkerLeader):
    """A leader whose only worker can crash under a durable task."""

    def __init__(self):
        super().__init__()
        grants = _operators.team_grants(self.state.rules)
        self.context.planner.set_teams(grants)
        self.spec = builders.spec('deadly', idempotent=True, durable=True)
        admission = messages.Admission(self.spec, b'body')
        self.log.propose(messages.encode(messages.AdmitTasks(0, (admission,))))
        self.crash()

    def crash(self):
        assignment = builders.assignment(self.spec)
        now_ms = self.context.now_ms()
        command = messages.AssignTasks(now_ms, (assignment,))
        self.log.propose(messages.encode(command))
        self.base.announce(WORKER, 'b', 16_000)


def test_a_suspect_is_isolated_by_its_leader_and_by_the_next():
    leader = Leader()
    task_id = leader.spec.task_id
    assert leader.context.pending.get(task_id).isolated
    leader.base.begin_term()
    leader.base.leadership._rebuild()
    assert leader.base.context.pending.get(task_id).isolated


def test_a_restored_suspect_keeps_its_worker_to_itself():
    leader = Leader()
    command = messages.AssignTasks(
        0, (builders.assignment(leader.spec, incarnation='b'),)
    )
    leader.log.propose(messages.encode(command))
    leader.base.begin_term()
    leader.base.leadership._rebuild()
    planner = leader.base.context.planner
    assert planner._ledger.running[leader.spec.task_id].task.isolated
