"""Tests of the replicated state machine, one command at a time."""

import concurrent.futures

import pytest

from dandeliondrum import controller
from dandeliondrum.controller.tests import builders
from dandeliondrum import messages
from dandeliondrum import utils

TaskState = messages.TaskState
AttemptState = messages.AttemptState


@pytest.fixture
def log():
    feed = builders.Log(controller.CellState())
    assert feed.rules().accepted
    feed(messages.RegisterWorker, builders.facts())
    return feed


def test_an_upper_limit_holds_whatever_was_planned(log):
    tasks = [builders.spec(f't{i}') for i in range(4)]
    outcomes = log.assign(*tasks)
    assert [outcome.attempt is not None for outcome in outcomes] == [
        True,
        True,
        False,
        False,
    ]
    assert 'upper limit' in outcomes[2].rejection_reason


def test_a_worker_is_never_given_more_than_it_has(log):
    tasks = [
        builders.spec(f't{i}', team='inspectors', cpu=6_000) for i in range(4)
    ]
    outcomes = log.assign(*tasks)
    assert sum(outcome.attempt is not None for outcome in outcomes) == 2
    worker = log.state.workers['lathe-1']
    assert worker.reserved.cpu_millicores == 12_000


def test_a_worker_that_has_shrunk_is_given_no_more_than_it_has(log):
    tasks = [
        builders.spec(f't{i}', team='inspectors', cpu=cpu)
        for i, cpu in enumerate((6_000, 0, 1_000))
    ]
    assert log.assign(tasks[0])[0].attempt is not None
    log(messages.RegisterWorker, builders.facts(cpu=5_000))
    assert [one.attempt for one in log.assign(*tasks[1:])] == [None, None]
    assert log.state.workers['lathe-1'].reserved.cpu_millicores == 6_000
    log(messages.RegisterWorker, builders.facts(cpu=7_000))
    assert None not in [one.attempt for one in log.assign(*tasks[1:])]


def test_a_gang_starts_whole_or_not_at_all(log):
    tasks = [
        builders.spec(f't{i}', team='inspectors', cpu=6_000) for i in range(3)
    ]
    outcomes = log.assign(*tasks, all_or_none=True)
    assert all(outcome.attempt is None for outcome in outcomes)
    worker = log.state.workers['lathe-1']
    assert worker.reserved == messages.Resources(0, 0)
    assert not worker.attempts


def test_tokens_only_rise(log):
    task = builders.spec('t', idempotent=True)
    tokens = []
    for _ in range(2):
        (outcome,) = log.assign(task)
        tokens.append(outcome.attempt.token)
        log.end(outcome.attempt.attempt_id, AttemptState.NEVER_STARTED)
    assert tokens[0] < tokens[1]


@pytest.mark.parametrize(
    ('idempotent', 'how', 'expected'),
    [
        (False, AttemptState.FINISHED, TaskState.DONE),
        (False, AttemptState.NEVER_STARTED, TaskState.QUEUED),
        (False, AttemptState.STOPPED, TaskState.IN_DOUBT),
        (False, AttemptState.LOST, TaskState.IN_DOUBT),
        (False, AttemptState.FAILED, TaskState.FAILED),
        (True, AttemptState.LOST, TaskState.QUEUED),
        (True, AttemptState.STOPPED, TaskState.QUEUED),
        (True, AttemptState.FAILED, TaskState.QUEUED),
    ],
)
def test_what_the_end_of_an_attempt_means(log, idempotent, how, expected):
    (outcome,) = log.assign(builders.spec('t', idempotent=idempotent))
    (task,) = log.end(outcome.attempt.attempt_id, how)
    assert task.state is expected
    worker = log.state.workers['lathe-1']
    assert worker.reserved == messages.Resources(0, 0)
    assert log.state.accounts.use('harbour').running_count == 0


@pytest.mark.parametrize(
    'state', [AttemptState.RUNNING, AttemptState.UNCERTAIN]
)
def test_a_report_that_is_no_end_ends_nothing(log, state):
    (outcome,) = log.assign(builders.spec('t'))
    assert log.end(outcome.attempt.attempt_id, state) == ()
    assert log.state.accounts.use('harbour').running_count == 1


def test_a_second_report_of_an_end_frees_nothing_again(log):
    outcomes = log.assign(builders.spec('a'), builders.spec('b'))
    attempt_id = outcomes[0].attempt.attempt_id
    log.end(attempt_id, AttemptState.FINISHED)
    assert log.end(attempt_id, AttemptState.LOST) == ()
    assert log.state.accounts.use('harbour').running_count == 1


def test_a_doubt_is_resolved_by_the_worker_that_comes_back(log):
    (outcome,) = log.assign(builders.spec('t'))
    attempt_id = outcome.attempt.attempt_id
    log.end(attempt_id, AttemptState.LOST)
    place = messages.AnswerPlace(
        messages.WorkerId('lathe-1'), '127.0.0.1:1', attempt_id, 2, 'ab'
    )
    (task,) = log.end(attempt_id, AttemptState.FINISHED, place)
    assert task.state is TaskState.DONE
    assert task.answer == place
    assert not log.state.workers['lathe-1'].fences


def test_a_new_incarnation_ends_what_ran_in_the_old_one(log):
    log.assign(builders.spec('t'), builders.spec('u', idempotent=True))
    ended = log(messages.RegisterWorker, builders.facts(incarnation='b'))
    assert [attempt.task.state for attempt in ended] == [
        TaskState.IN_DOUBT,
        TaskState.QUEUED,
    ]
    (outcome,) = log.assign(builders.spec('v'))
    assert outcome.rejection_reason == 'worker has restarted'


def test_a_refused_task_never_starts(log):
    task = builders.spec('t')
    refusal = messages.Refusal(
        task.task_id,
        task.team_id,
        'd',
        messages.RefusalReason.QUEUE_FULL,
        'full',
    )
    (status,) = log(messages.RefuseTasks, (refusal,))
    assert status.state is TaskState.REFUSED
    (outcome,) = log.assign(task)
    assert outcome.attempt is None


@pytest.mark.parametrize(
    ('how', 'expected'),
    [
        (AttemptState.LOST, TaskState.IN_DOUBT),
        (AttemptState.STOPPED, TaskState.IN_DOUBT),
        (AttemptState.FAILED, TaskState.IN_DOUBT),
        (AttemptState.NEVER_STARTED, TaskState.REFUSED),
    ],
)
def test_not_run_is_never_said_of_a_task_that_may_have_run(log, how, expected):
    task = builders.spec('t', idempotent=True)
    (outcome,) = log.assign(task)
    log.end(outcome.attempt.attempt_id, how)
    refusal = messages.Refusal(
        task.task_id,
        task.team_id,
        'd',
        messages.RefusalReason.DEADLINE_PASSED,
        'late',
    )
    (status,) = log(messages.RefuseTasks, (refusal,))
    assert status.state is expected


def test_a_task_that_may_have_run_is_not_cancelled_as_not_run(log):
    (outcome,) = log.assign(builders.spec('t', idempotent=True))
    log.end(outcome.attempt.attempt_id, AttemptState.LOST)
    (status,) = log(
        messages.CancelTasks,
        (messages.TaskId('harbour/t'),),
        messages.TeamId('harbour'),
    )
    assert status.state is TaskState.CANCELLED
    assert status.reason is None


def test_a_running_task_is_not_refused(log):
    task = builders.spec('t')
    log.assign(task)
    refusal = messages.Refusal(
        task.task_id,
        task.team_id,
        'd',
        messages.RefusalReason.DEADLINE_PASSED,
        'late',
    )
    (status,) = log(messages.RefuseTasks, (refusal,))
    assert status.state is TaskState.ASSIGNED


def test_cancelling_ends_a_waiting_task_and_marks_a_running_one(log):
    running = builders.spec('running')
    log.assign(running)
    waiting = messages.TaskId('harbour/waiting')
    statuses = log(
        messages.CancelTasks,
        (running.task_id, waiting),
        messages.TeamId('harbour'),
    )
    assert [status.state for status in statuses] == [
        TaskState.ASSIGNED,
        TaskState.CANCELLED,
    ]
    (task,) = log.end('harbour/running#1', AttemptState.STOPPED)
    assert task.state is TaskState.CANCELLED


def test_two_operators_with_the_same_version(log):
    first = log.rules(builders.RULES + '\n', 1, 'c2', 'anong')
    second = log.rules(builders.RULES + '\n\n', 1, 'c3', 'kiet')
    assert (first.accepted, first.version) == (True, 2)
    assert (second.accepted, second.version) == (False, 2)
    assert 'anong' in second.detail
    assert second.current_text == builders.RULES + '\n'


def test_a_resent_change_gets_its_first_answer(log):
    log.rules(builders.RULES + '\n', 1, 'c2')
    log.rules(builders.RULES + '\n\n', 2, 'c3')
    again = log.rules(builders.RULES + '\n', 1, 'c2')
    assert (again.accepted, again.version) == (True, 2)
    assert log.state.rules_record.version == 3


def test_rules_with_a_problem_change_nothing(log):
    outcome = log.rules('{"rule": "team"}', 1, 'c2')
    assert not outcome.accepted
    assert 'line 1' in outcome.detail
    assert log.state.rules_record.version == 1


def test_a_snapshot_and_readers_do_not_wait_for_each_other(log):
    log.assign(builders.spec('t'))
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        with log.state.lock:
            data = executor.submit(log.state.snapshot).result(timeout=10)
    assert data == log.state.snapshot()


def test_a_snapshot_holds_everything(log):
    outcomes = log.assign(builders.spec('a'), builders.spec('b'))
    log.end(outcomes[0].attempt.attempt_id, AttemptState.LOST)
    admission = messages.Admission(builders.spec('c', durable=True), b'body')
    log(messages.AdmitTasks, (admission,))
    restored = controller.CellState()
    restored.restore(log.state.snapshot())
    assert restored.snapshot() == log.state.snapshot()
    assert restored.accounts.use('harbour').running_count == 1
    assert restored.rules == log.state.rules


def test_an_unreadable_entry_stops_the_process(log):
    with pytest.raises(utils.InvariantError):
        log.state.apply(99, b'not a command')
