"""Tests of how the leader processes heartbeats."""

import concurrent.futures
import threading

import pytest
from returns import result

from dandeliondrum import consensus
from dandeliondrum.controller.tests import builders
from dandeliondrum.controller.tests import test_worker_sizes
from dandeliondrum import messages
from dandeliondrum import utils

WORKER = messages.WorkerId('lathe-1')
AttemptState = messages.AttemptState


class StalledLog(test_worker_sizes.ImmediateLog):
    """Fake log that commits no proposals while it is stalled or refuses."""

    stalled = False
    refuses = False

    def propose(self, command):
        if self.stalled:
            return concurrent.futures.Future()
        if self.refuses:
            error = consensus.ProposeError(
                consensus.ProposeFailure.OVERLOADED, never_committed=True
            )
            return utils.completed_future(result.Failure(error))
        return super().propose(command)

    def status(self):
        return consensus.NodeStatus(
            'c1', consensus.Role.LEADER, 1, 'c1', True, 1, 1, 1, 0, 'd', ()
        )


class SingleWorkerLeader:
    """A leader with one worker, whose heartbeats the tests send."""

    def __init__(self):
        base = test_worker_sizes.Leader()
        self.state = base.state
        self.context = base.context
        self.log = StalledLog(self.state)
        base.context.node = self.log
        base.announce(WORKER, 'a', 16_000)
        self.base = base
        self.heartbeats = base.leadership._heartbeats
        self.leadership = base.leadership
        rules = messages.ApplyRules(0, 'c1', 'op', 0, builders.RULES)
        self.log.propose(messages.encode(rules))

    def assign(self, name, **fields):
        assignment = builders.assignment(builders.spec(name, **fields))
        command = messages.AssignTasks(0, (assignment,))
        outcome = self.log.propose(messages.encode(command)).result()
        return outcome.unwrap()[0].attempt.attempt_id

    def end(self, attempt_id, state):
        report = messages.AttemptReport(attempt_id, state)
        command = messages.EndAttempts(0, (report,))
        self.log.propose(messages.encode(command))

    def heartbeat(
        self,
        running=(),
        ended=(),
        fenced=(),
        incarnation='a',
        leaving=False,
    ):
        heartbeat = messages.WorkerHeartbeat(
            WORKER,
            incarnation,
            tuple(
                messages.RunningAttempt(attempt_id, messages.Resources(1, 1))
                for attempt_id in running
            ),
            tuple(
                messages.AttemptReport(attempt_id, state)
                for attempt_id, state in ended
            ),
            tuple(fenced),
            leaving,
        )
        reply = self.heartbeats.handle(messages.WorkerHeartbeats((heartbeat,)))
        return reply.replies[0]


@pytest.fixture
def leader():
    return SingleWorkerLeader()


def test_an_unknown_incarnation_has_to_announce_itself(leader):
    assert leader.heartbeat(incarnation='b').announce_again


def test_an_attempt_that_is_not_on_record_is_stopped(leader):
    assert leader.heartbeat(running=['harbour/x#1']).stop == ('harbour/x#1',)


def test_an_end_is_acknowledged_only_once_it_is_on_record(leader):
    attempt_id = leader.assign('t')
    ended = [(attempt_id, AttemptState.FINISHED)]
    leader.log.stalled = True
    assert leader.heartbeat(ended=ended).acknowledged == ()
    leader.log.stalled = False
    assert leader.heartbeat(ended=ended).acknowledged == ()
    assert leader.heartbeat(ended=ended).acknowledged == (attempt_id,)


def test_an_end_that_resolves_a_doubt_is_kept_until_it_is_on_record(leader):
    attempt_id = leader.assign('t')
    leader.end(attempt_id, AttemptState.LOST)
    leader.end(attempt_id, AttemptState.STOPPED)
    task = leader.state.tasks['harbour/t']
    assert task.state is messages.TaskState.IN_DOUBT
    ended = [(attempt_id, AttemptState.FINISHED)]
    leader.log.stalled = True
    assert leader.heartbeat(ended=ended).acknowledged == ()
    leader.log.stalled = False
    leader.heartbeat(ended=ended)
    assert task.state is messages.TaskState.DONE
    assert leader.heartbeat(ended=ended).acknowledged == (attempt_id,)


def test_an_end_that_leaves_the_doubt_is_acknowledged(leader):
    attempt_id = leader.assign('t')
    ended = [(attempt_id, AttemptState.STOPPED)]
    leader.end(attempt_id, AttemptState.LOST)
    leader.heartbeat(ended=ended)
    assert leader.heartbeat(ended=ended).acknowledged == (attempt_id,)


def test_an_uncertain_start_is_fenced_after_two_heartbeats_without_it(leader):
    attempt_id = leader.assign('t')
    report = messages.AttemptReport(attempt_id, AttemptState.UNCERTAIN)
    leader.leadership._attempt_reports.report((report,))
    assert leader.heartbeat().stop == ()
    assert leader.heartbeat().stop == (attempt_id,)
    leader.heartbeat(fenced=[attempt_id])
    task = leader.state.tasks['harbour/t']
    assert task.state is messages.TaskState.QUEUED
    assert leader.heartbeat(fenced=[attempt_id]).acknowledged == (attempt_id,)


def test_an_uncertain_start_that_runs_is_left_alone(leader):
    attempt_id = leader.assign('t')
    report = messages.AttemptReport(attempt_id, AttemptState.UNCERTAIN)
    leader.leadership._attempt_reports.report((report,))
    for _ in range(4):
        assert leader.heartbeat(running=[attempt_id]).stop == ()


def test_a_lost_attempt_is_fenced_until_its_worker_confirms(leader):
    attempt_id = leader.assign('t', idempotent=True)
    leader.end(attempt_id, AttemptState.LOST)
    for _ in range(2):
        assert leader.heartbeat().stop == (attempt_id,)
    leader.heartbeat(fenced=[attempt_id])
    assert leader.heartbeat().stop == ()


DEPOSED = result.Failure(
    consensus.ProposeError(
        consensus.ProposeFailure.DEPOSED, never_committed=True
    )
)


def handle_unconfirmed(leader):
    """Send a heartbeat to a leader whose contact with the quorum is late.

    Returns the future of the reply and that of the confirmation.
    """
    confirmation = concurrent.futures.Future()
    leader.log.is_leading = lambda: False
    leader.log.confirm_leadership = lambda: confirmation
    heartbeat = messages.WorkerHeartbeat(WORKER, messages.Incarnation('a'), ())
    call = messages.WorkerHeartbeats((heartbeat,))
    return leader.heartbeats.handle(call), confirmation


@pytest.mark.parametrize('outcome', [DEPOSED, result.Success(None)])
def test_a_deposed_leader_answers_no_heartbeat(leader, outcome):
    """Also if it is deposed after the quorum has confirmed it."""
    reply, confirmation = handle_unconfirmed(leader)
    confirmation.set_result(outcome)
    assert reply.result(0) == messages.NotLeader()


def test_a_leader_briefly_out_of_touch_answers_workers_once_confirmed(leader):
    reply, confirmation = handle_unconfirmed(leader)
    assert not reply.done()
    leader.log.is_leading = lambda: True
    confirmation.set_result(result.Success(None))
    assert isinstance(reply.result(0), messages.WorkerHeartbeatReplies)


def _heartbeat_while_planning(leader, **fields):
    """Return the reply to a heartbeat, None if it waits for the planner."""
    replies = []

    def send():
        replies.append(leader.heartbeat(**fields))

    thread = threading.Thread(target=send, daemon=True)
    with leader.context.lock:
        thread.start()
        thread.join(3)
        answered = list(replies)
    thread.join()
    return answered[0] if answered else None


@pytest.mark.parametrize('state', [AttemptState.FINISHED, AttemptState.FAILED])
def test_a_worker_is_answered_while_a_plan_holds_the_lock(leader, state):
    """Regression test: leases lapsed while the leader made long plans."""
    ended_id = leader.assign('ended', idempotent=True)
    running_id = leader.assign('running')
    stray_id = 'harbour/x#1'
    leader.log.stalled = True
    reply = _heartbeat_while_planning(
        leader, running=[running_id, stray_id], ended=[(ended_id, state)]
    )
    assert reply is not None
    assert reply.stop == (stray_id,)


def test_a_worker_heard_first_during_a_plan_gets_tasks_after_it(leader):
    leader.heartbeats._last_heartbeat_ms.clear()
    eligible = []
    leader.context.planner.put_worker = lambda facts, is_eligible: (
        eligible.append(is_eligible)
    )
    assert _heartbeat_while_planning(leader) is not None
    assert eligible == []
    leader.heartbeats.check()
    assert eligible[-1:] == [True]


def test_a_worker_that_leaves_is_answered_while_a_plan_holds_the_lock(leader):
    leader.log.refuses = True
    assert _heartbeat_while_planning(leader, leaving=True) is not None
    leader.log.refuses = False
    leader.heartbeat(leaving=True)
    worker = leader.state.workers[WORKER]
    assert worker.state is messages.WorkerState.LEAVING


def test_a_cancelled_attempt_is_stopped(leader):
    attempt_id = leader.assign('t')
    cancel = messages.CancelTasks(
        0, (messages.TaskId('harbour/t'),), messages.TeamId('harbour')
    )
    outcome = leader.log.propose(messages.encode(cancel)).result()
    assert isinstance(outcome, result.Success)
    assert leader.heartbeat(running=[attempt_id]).stop == (attempt_id,)


def test_an_end_that_the_log_refuses_is_settled_by_heartbeats(leader):
    """Regression test: the task stayed assigned forever.

    A gateway reports only once that it could not send a start.
    """
    attempt_id = leader.assign('t')
    report = messages.AttemptReport(attempt_id, AttemptState.NEVER_STARTED)
    leader.log.refuses = True
    leader.leadership._attempt_reports.report((report,))
    leader.log.refuses = False
    leader.heartbeat()
    assert leader.heartbeat().stop == (attempt_id,)
    leader.heartbeat(fenced=[attempt_id])
    task = leader.state.tasks['harbour/t']
    assert task.state is messages.TaskState.QUEUED


def _fleet_shown(leader):
    """Return the counts of the worker and of its team, and the metric."""
    fleet = leader.leadership._operators._show_fleet()
    team = next(view for view in fleet.teams if view.team_id == 'harbour')
    waiting = leader.context.metrics.registry.get_sample_value(
        'dandeliondrum_controller_pending_tasks'
    )
    return (
        fleet.workers[0].running_count,
        team.running_count,
        team.queued_count,
        waiting,
    )


def test_an_assigned_task_counts_as_queued_until_its_worker_has_started_it(
    leader,
):
    """Regression test: assigned tasks were shown as running."""
    attempt_id = leader.assign('t')
    explain = leader.leadership._operators._explain
    assert _fleet_shown(leader) == (0, 0, 1, 1)
    assert explain('harbour/t').status_line.startswith('assigned to lathe-1')
    leader.heartbeat()
    assert _fleet_shown(leader) == (0, 0, 1, 1)
    leader.heartbeat(running=[attempt_id])
    assert _fleet_shown(leader) == (1, 1, 0, 0)
    assert explain('harbour/t').status_line == 'running on lathe-1'
    leader.heartbeat(ended=[(attempt_id, AttemptState.FINISHED)])
    assert _fleet_shown(leader) == (0, 0, 0, 0)
    assert not leader.context.started_attempts


def test_a_listed_attempt_of_another_worker_does_not_count_as_started(leader):
    leader.heartbeat(running=['harbour/unknown#1'])
    assert not leader.context.started_attempts


def test_a_late_announcement_does_not_replace_the_next_incarnation(leader):
    """Regression test: it ended the attempts of the current incarnation."""
    leader.base.announce(WORKER, 'b', 16_000)
    task = builders.spec('t', idempotent=True)
    assignment = builders.assignment(task, incarnation='b')
    command = messages.AssignTasks(0, (assignment,))
    leader.log.propose(messages.encode(command))
    late = messages.AnnounceWorker(builders.facts(WORKER, 'a', cpu=1_000))
    reply = leader.heartbeats.announce(late).result()
    assert isinstance(reply, messages.CallFailed)
    worker = leader.state.workers[WORKER]
    assert worker.facts.incarnation == 'b'
    assert list(worker.attempts) == ['harbour/t#1']
    assert leader.base.sizes() == {16_000}
    assert not leader.heartbeat(incarnation='b').announce_again
    restored = type(leader.state)()
    restored.restore(leader.state.snapshot())
    assert restored.workers[WORKER].former_incarnations == ('a',)


def test_a_late_failure_does_not_count_against_the_next_incarnation(leader):
    attempt_id = leader.assign('t')
    leader.base.announce(WORKER, 'b', 16_000)
    task = leader.state.tasks['harbour/t']
    assert task.state is messages.TaskState.IN_DOUBT
    records = []
    leader.context.observations._health.record = lambda *args: records.append(
        args
    )
    report = messages.AttemptReport(attempt_id, AttemptState.FAILED)
    leader.leadership._attempt_reports.report((report,))
    assert task.state is messages.TaskState.FAILED
    assert records == []
