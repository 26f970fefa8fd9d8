"""Tests of supervised tasks: threads, restarts, refusals and the end."""

import threading

import pytest
import structlog

from dandeliondrum import utils

TIMEOUT_S = 10
TASKS_COUNT = 40


@pytest.fixture
def supervisor():
    supervisor = utils.Supervisor('test')
    yield supervisor
    supervisor.close()


def _threads_count():
    return sum(
        thread.name.startswith('test') for thread in threading.enumerate()
    )


def test_no_task_waits_for_another_one_to_end(supervisor):
    """Members beyond a number of threads would never be served."""
    all_run = threading.Barrier(TASKS_COUNT + 1)
    for number in range(TASKS_COUNT):
        supervisor.run(f'{number}', lambda _: all_run.wait(TIMEOUT_S))
    all_run.wait(TIMEOUT_S)


def test_a_thread_is_used_again(supervisor):
    """Short tasks, such as orders to workers, would leave threads behind."""
    for number in range(TASKS_COUNT):
        done = threading.Event()
        supervisor.run(f'{number}', lambda _, done=done: done.set())
        assert done.wait(TIMEOUT_S)
        # The thread has still to be released.
        while not supervisor._idle:
            pass
    assert _threads_count() == 1


def test_a_task_is_refused_when_no_thread_can_be_started(
    supervisor, monkeypatch
):
    """It must neither run later nor take the thread of another task."""
    done, stopping = [], threading.Event()
    supervisor.run('first', lambda _: stopping.wait(TIMEOUT_S))

    def refuse(_thread):
        raise RuntimeError("can't start new thread")

    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, 'start', refuse)
        with pytest.raises(RuntimeError, match='new thread'):
            supervisor.run('refused', lambda _: done.append('refused'))
    all_run = threading.Barrier(4)
    for name in 'abc':
        supervisor.run(name, lambda _: all_run.wait(TIMEOUT_S))
    all_run.wait(TIMEOUT_S)
    stopping.set()
    supervisor.close()
    assert done == []


def test_a_task_is_refused_after_the_end(supervisor):
    supervisor.close()
    with pytest.raises(RuntimeError, match='late after the end of test'):
        supervisor.run('late', lambda _: None)


def test_a_task_that_fails_is_run_again(supervisor):
    errors, done = [ValueError(), OSError()], threading.Event()

    def fail_twice(_stopping):
        if errors:
            raise errors.pop()
        done.set()

    with structlog.testing.capture_logs() as lines:
        supervisor.run('failing', fail_twice)
        assert done.wait(TIMEOUT_S)
    assert [line['event'] for line in lines] == ['task failed'] * 2


def test_a_violated_invariant_stops_all_tasks():
    fatal = []
    supervisor = utils.Supervisor('test', fatal.append)
    error = utils.InvariantError('broken')

    def break_invariant(_stopping):
        raise error

    ended = threading.Event()

    def run_until_stopped(stopping):
        assert stopping.wait(TIMEOUT_S)
        ended.set()

    supervisor.run('waiting', run_until_stopped)
    supervisor.run('broken', break_invariant)
    assert ended.wait(TIMEOUT_S)
    supervisor.close()
    assert fatal == [error]


def test_an_error_of_the_handler_of_fatal_errors_is_logged():
    """Nobody reads the future of a task."""

    failed = threading.Event()

    def fail(_error):
        failed.set()
        raise MemoryError

    def break_invariant(_stopping):
        raise utils.InvariantError('broken')

    supervisor = utils.Supervisor('test', fail)
    with structlog.testing.capture_logs() as lines:
        supervisor.run('broken', break_invariant)
        assert failed.wait(TIMEOUT_S)
        supervisor.close()
    assert lines[-1]['event'] == 'supervised task ended'
    assert isinstance(lines[-1]['exc_info'], MemoryError)


def test_a_close_waits_for_tasks_and_ends_all_threads():
    supervisor = utils.Supervisor('test')
    all_run, ended = threading.Barrier(6), []

    def run_until_stopped(stopping):
        all_run.wait(TIMEOUT_S)
        ended.append(stopping.wait(TIMEOUT_S))

    for number in range(5):
        supervisor.run(f'{number}', run_until_stopped)
    all_run.wait(TIMEOUT_S)
    supervisor.close()
    assert ended == [True] * 5
    assert _threads_count() == 0
    supervisor.close()
