"""The checker on histories that violate one invariant each, or none."""

import itertools

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

EventKind = worker.EventKind
ViolationKind = testing.ViolationKind
OutcomeKind = testing.OutcomeKind
AttemptState = messages.AttemptState

SMALL = messages.Resources(1_000, 1_000)
LONG_MS = 60_000


class HistoryBuilder:
    """Builds a history from requests and workers with short names."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self.sendings = []
        self.outcomes = []
        self.events = []
        self.withdrawals = []
        self.limits = []
        self.outages = []
        for name in ('w1', 'w2'):
            self.begin_worker(name, 0)

    def begin_worker(self, name, at_ms):
        self.event(
            EventKind.BEGUN,
            name,
            at_ms,
            resources=messages.Resources(4_000, 4_000),
            slots_count=2,
        )

    def event(self, kind, name, at_ms, **fields):
        self.events.append(
            worker.Event(
                at_ms=at_ms,
                kind=kind,
                worker_id=name,
                incarnation=fields.pop('incarnation', 'i1'),
                **fields,
            )
        )

    def sent(self, request_id, at_ms, outcome=None, outcome_ms=None, **fields):
        sending_id = str(next(self._numbers))
        fields.setdefault('team_id', 'team')
        fields.setdefault('idempotent', False)
        self.sendings.append(
            testing.Sending(
                sending_id=sending_id,
                at_ms=at_ms,
                request_id=request_id,
                **fields,
            )
        )
        if outcome is not None:
            self.outcome(sending_id, outcome, outcome_ms)
        return sending_id

    def outcome(self, sending_id, kind, at_ms, **fields):
        self.outcomes.append(
            testing.Outcome(
                sending_id=sending_id, at_ms=at_ms, kind=kind, **fields
            )
        )

    def run_attempt(self, attempt_id, name, from_ms, until_ms=None, **fields):
        end = {
            key: fields.pop(key)
            for key in ('reason', 'expired_ms')
            if key in fields
        }
        fields.setdefault('resources', SMALL)
        fields.setdefault('team_id', attempt_id.partition('/')[0])
        fields['attempt_id'] = attempt_id
        fields['task_id'] = attempt_id.partition('#')[0]
        self.event(EventKind.START, name, from_ms, **fields)
        if until_ms is not None:
            self.event(EventKind.END, name, until_ms, **fields, **end)

    def check(self, **options):
        history = testing.History(
            sendings=tuple(self.sendings),
            outcomes=tuple(self.outcomes),
            worker_events=tuple(self.events),
            withdrawals=tuple(self.withdrawals),
            limits=tuple(self.limits),
            outages=tuple(self.outages),
        )
        return testing.check(history, testing.CheckOptions(**options))

    def violation_kinds(self, **options):
        return [each.kind for each in self.check(**options)]


@pytest.fixture
def builder():
    return HistoryBuilder()


def add_answered_request(
    builder, request_id='r', from_ms=100, until_ms=200, **fields
):
    """Add one request that ran and was answered."""
    builder.sent(
        request_id, from_ms - 10, OutcomeKind.ANSWERED, until_ms + 10, **fields
    )
    builder.run_attempt(f'team/{request_id}#1', 'w1', from_ms, until_ms)


def test_a_valid_history_has_no_violations(builder):
    add_answered_request(builder)
    accepted = builder.sent('job', 10, OutcomeKind.ACCEPTED, 20)
    builder.run_attempt('team/job#1', 'w2', 30, 40)
    builder.outcome(accepted, OutcomeKind.ANSWERED, 50, task_id='team/job')
    builder.sent('full', 10, OutcomeKind.REFUSED_NOT_RUN, 20)
    doubtful = builder.sent('doubt', 10, OutcomeKind.IN_DOUBT, 20)
    builder.run_attempt('team/doubt#1', 'w2', 50, 60)
    builder.outcome(doubtful, OutcomeKind.ANSWERED, 90)
    replicas = builder.sent(
        'service', 10, kind=testing.SendingKind.SERVICE, idempotent=True
    )
    builder.outcome(replicas, OutcomeKind.ACCEPTED, 20)
    builder.run_attempt('team/service#1', 'w2', 100)
    assert builder.check() == ()


def test_a_waiting_call_without_an_outcome_is_lost(builder):
    builder.sent('r', 10)
    assert builder.violation_kinds() == [ViolationKind.LOST]


def test_an_accepted_job_without_an_end_is_lost(builder):
    builder.sent('r', 10, OutcomeKind.ACCEPTED, 20)
    assert builder.violation_kinds() == [ViolationKind.LOST]


def test_a_service_that_was_never_accepted_is_lost(builder):
    builder.sent('r', 10, kind=testing.SendingKind.SERVICE)
    assert builder.violation_kinds() == [ViolationKind.LOST]


def test_two_starts_of_a_non_idempotent_task(builder):
    add_answered_request(builder)
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    assert builder.violation_kinds() == [ViolationKind.RUN_TWICE]


def test_two_starts_of_one_attempt_count_as_two_starts(builder):
    add_answered_request(builder)
    builder.run_attempt('team/r#1', 'w1', 300, 400, incarnation='i2')
    assert builder.violation_kinds() == [ViolationKind.RUN_TWICE]


def test_an_idempotent_task_may_start_again_after_its_end(builder):
    add_answered_request(builder, idempotent=True)
    builder.run_attempt('team/r#2', 'w2', 200, 400)
    assert builder.check() == ()


def test_two_attempts_of_a_task_at_the_same_time(builder):
    add_answered_request(builder, idempotent=True)
    builder.run_attempt('team/r#2', 'w2', 199, 400)
    assert builder.violation_kinds() == [ViolationKind.TWO_PLACES]


@pytest.mark.parametrize('killed_ms', [150, 350])
def test_the_runs_of_a_killed_worker_end_with_the_kill(builder, killed_ms):
    builder.sent('r', 90, OutcomeKind.ANSWERED, 410, idempotent=True)
    builder.run_attempt('team/r#1', 'w1', 100)
    builder.outages.append(
        testing.Outage('w1', testing.OutageKind.KILLED, killed_ms, killed_ms)
    )
    builder.begin_worker('w1', 500)
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    expected = [ViolationKind.TWO_PLACES] if killed_ms > 300 else []
    assert builder.violation_kinds() == expected


def test_an_attempt_without_an_end_runs_until_its_worker_restarts(
    builder,
):
    builder.sent('r', 90, OutcomeKind.ANSWERED, 410, idempotent=True)
    builder.run_attempt('team/r#1', 'w1', 100)
    builder.begin_worker('w1', 301)
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    assert builder.violation_kinds() == [ViolationKind.TWO_PLACES]


@pytest.mark.parametrize('frozen', [True, False])
def test_a_late_end_counts_from_the_lease_only_if_the_worker_was_frozen(
    builder, frozen
):
    builder.sent('r', 90, OutcomeKind.ANSWERED, 410, idempotent=True)
    builder.run_attempt(
        'team/r#1', 'w1', 100, 5_000, reason='lease', expired_ms=250
    )
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    if frozen:
        builder.outages.append(
            testing.Outage('w1', testing.OutageKind.FROZEN, 150, 4_990)
        )
    assert builder.violation_kinds() == (
        [] if frozen else [ViolationKind.TWO_PLACES]
    )


def test_a_thawed_worker_that_runs_on_after_its_lease_expired(builder):
    builder.sent('r', 90, OutcomeKind.ANSWERED, 410, idempotent=True)
    builder.run_attempt('team/r#1', 'w1', 100, 5_000)
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    builder.outages.append(
        testing.Outage('w1', testing.OutageKind.FROZEN, 150, 4_990)
    )
    assert builder.violation_kinds() == [ViolationKind.TWO_PLACES]


def test_a_worker_killed_while_frozen_ran_until_the_freeze(builder):
    builder.sent('r', 90, OutcomeKind.ANSWERED, 410, idempotent=True)
    builder.run_attempt('team/r#1', 'w1', 100)
    builder.run_attempt('team/r#2', 'w2', 300, 400)
    builder.outages += [
        testing.Outage('w1', testing.OutageKind.FROZEN, 150, 5_000),
        testing.Outage('w1', testing.OutageKind.KILLED, 5_000, 5_000),
    ]
    assert builder.check() == ()


@pytest.mark.parametrize('start_ms', [15, 20_000])
def test_work_that_ran_although_it_was_refused(builder, start_ms):
    builder.sent('r', 10, OutcomeKind.REFUSED_NOT_RUN, 20)
    builder.run_attempt('team/r#1', 'w1', start_ms, start_ms + 5)
    assert builder.violation_kinds() == [ViolationKind.RAN_AFTER_REFUSAL]


def test_a_refused_request_may_run_after_it_is_resent(builder):
    builder.sent('r', 10, OutcomeKind.REFUSED_NOT_RUN, 20)
    builder.sent('r', 30, OutcomeKind.REFUSED_NOT_RUN, 40)
    builder.sent('r', 50, OutcomeKind.ANSWERED, 90)
    builder.run_attempt('team/r#1', 'w1', 60, 70)
    assert builder.check() == ()


def test_a_later_sending_does_not_explain_an_earlier_start(builder):
    builder.sent('r', 10, OutcomeKind.REFUSED_NOT_RUN, 20)
    builder.sent('r', 50, OutcomeKind.IN_DOUBT, 90)
    builder.run_attempt('team/r#1', 'w1', 45, 47)
    assert builder.violation_kinds() == [ViolationKind.RAN_AFTER_REFUSAL]


def test_a_refusal_after_an_outcome_in_doubt_of_a_task_that_ran(builder):
    builder.sent('r', 10, OutcomeKind.IN_DOUBT, 20)
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.sent('r', 30, OutcomeKind.REFUSED_NOT_RUN, 40)
    assert builder.violation_kinds() == [ViolationKind.RAN_AFTER_REFUSAL]


def test_an_outcome_in_doubt_resolved_as_not_run_is_a_refusal(builder):
    sending_id = builder.sent('r', 10, OutcomeKind.IN_DOUBT, 20)
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.outcome(sending_id, OutcomeKind.REFUSED_NOT_RUN, 500)
    assert builder.violation_kinds() == [ViolationKind.RAN_AFTER_REFUSAL]


def test_a_refusal_of_other_content_does_not_concern_the_first_request(
    builder,
):
    builder.sent('r', 10, OutcomeKind.ANSWERED, 40, echo='')
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.sent('r', 50, OutcomeKind.REFUSED_NOT_RUN, 60, echo='other')
    assert builder.check() == ()


def test_a_refusal_of_other_content_does_not_resolve_an_earlier_doubt(builder):
    builder.sent('r', 10, OutcomeKind.IN_DOUBT, 20, echo='mine')
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.sent('r', 50, OutcomeKind.REFUSED_NOT_RUN, 60, echo='other')
    assert builder.check() == ()


def test_an_earlier_answer_does_not_explain_a_later_start(builder):
    builder.sent('r', 10, OutcomeKind.ANSWERED, 40, idempotent=True)
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.sent('r', 50, OutcomeKind.REFUSED_NOT_RUN, 60, idempotent=True)
    builder.run_attempt('team/r#2', 'w1', 80, 90)
    assert builder.violation_kinds() == [ViolationKind.RAN_AFTER_REFUSAL]


def test_the_answer_of_another_request(builder):
    sending_id = builder.sent('r', 10, echo='mine')
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.outcome(sending_id, OutcomeKind.ANSWERED, 20, echo='theirs')
    assert builder.violation_kinds() == [ViolationKind.WRONG_ANSWER]


def test_an_answer_of_another_task_with_the_same_echo(builder):
    sending_id = builder.sent('r', 10, echo='same')
    builder.run_attempt('team/r#1', 'w1', 15, 18)
    builder.outcome(
        sending_id, OutcomeKind.ANSWERED, 20, echo='same', task_id='team/other'
    )
    assert builder.violation_kinds() == [ViolationKind.WRONG_ANSWER]


def test_a_worker_with_more_attempts_than_slots(builder):
    for number in range(3):
        add_answered_request(builder, f'r{number}', 100 + number, 200)
    assert builder.violation_kinds() == [ViolationKind.WORKER_OVERLOADED]


def test_a_worker_with_more_memory_in_use_than_its_capacity(builder):
    for number in range(2):
        builder.sent(f'r{number}', 10, OutcomeKind.ANSWERED, 300)
        builder.run_attempt(
            f'team/r{number}#1',
            'w1',
            100 + number,
            200,
            resources=messages.Resources(1_000, 2_001),
        )
    assert builder.violation_kinds() == [ViolationKind.WORKER_OVERLOADED]


def test_a_start_that_the_worker_rejected_as_overload(builder):
    builder.event(EventKind.OVERLOAD, 'w1', 100, attempt_id='team/r#1')
    assert builder.violation_kinds() == [ViolationKind.WORKER_OVERLOADED]


def test_capacity_may_be_reused_at_the_time_of_an_end(builder):
    for number in range(4):
        add_answered_request(
            builder, f'r{number}', 100 + 50 * number, 200 + 50 * number
        )
    assert builder.check() == ()


def test_a_worker_of_unknown_capacity_is_reported(builder):
    builder.run_attempt('team/r#1', 'w3', 10, 20)
    assert builder.violation_kinds() == [ViolationKind.WORKER_OVERLOADED]


@pytest.mark.parametrize(
    'limit',
    [
        {'running_max': 1},
        {'resources_max': messages.Resources(1_500, 9_000)},
    ],
)
def test_a_team_that_exceeds_its_limit_across_workers(builder, limit):
    builder.limits.append(testing.TeamLimit(team_id='team', **limit))
    add_answered_request(builder, 'a')
    builder.sent('b', 10, OutcomeKind.ANSWERED, 300)
    builder.run_attempt('team/b#1', 'w2', 150, 250)
    assert builder.violation_kinds() == [ViolationKind.TEAM_OVER_LIMIT]


def test_a_lowered_limit_applies_to_starts_but_not_to_running_attempts(
    builder,
):
    builder.limits += [
        testing.TeamLimit(team_id='team', running_max=2),
        testing.TeamLimit(team_id='team', at_ms=5_000, running_max=1),
    ]
    add_answered_request(builder, 'a', 100, 9_000)
    add_answered_request(builder, 'b', 5_500, 5_600)
    assert builder.check(margin_ms=1_000) == ()
    add_answered_request(builder, 'c', 7_000, 7_100)
    assert builder.violation_kinds(margin_ms=1_000) == [
        ViolationKind.TEAM_OVER_LIMIT
    ]


def test_a_limit_raised_later_does_not_apply_to_earlier_starts(builder):
    builder.limits += [
        testing.TeamLimit(team_id='team', running_max=1),
        testing.TeamLimit(team_id='team', at_ms=9_000, running_max=5),
    ]
    add_answered_request(builder, 'a', 100, 9_500)
    add_answered_request(builder, 'b', 8_900, 8_950)
    assert builder.check(margin_ms=1_000) == ()
    add_answered_request(builder, 'c', 5_000, 5_100)
    assert builder.violation_kinds(margin_ms=1_000) == [
        ViolationKind.TEAM_OVER_LIMIT
    ]


@pytest.mark.parametrize('start_ms, allowed', [(4_900, True), (5_100, False)])
def test_a_start_after_the_withdrawal_of_its_key(builder, start_ms, allowed):
    builder.withdrawals.append(testing.KeyWithdrawal(key_id='k1', at_ms=1_000))
    builder.sent('r', 100, OutcomeKind.ANSWERED, 9_000, key_id='k1')
    builder.run_attempt('team/r#1', 'w1', start_ms, start_ms + 10)
    expected = [] if allowed else [ViolationKind.WITHDRAWN_KEY]
    assert (
        builder.violation_kinds(withdrawal_ms=3_000, margin_ms=1_000)
        == expected
    )


def test_a_task_also_sent_with_a_valid_key_may_start(builder):
    builder.withdrawals.append(testing.KeyWithdrawal(key_id='k1', at_ms=1_000))
    builder.sent('r', 100, OutcomeKind.IN_DOUBT, 200, key_id='k1')
    builder.sent('r', 5_000, OutcomeKind.ANSWERED, 9_000, key_id='k2')
    builder.run_attempt('team/r#1', 'w1', 6_000, 6_010)
    assert builder.check() == ()


def test_tasks_queued_before_the_withdrawal_may_be_allowed(builder):
    builder.withdrawals.append(testing.KeyWithdrawal(key_id='k1', at_ms=1_000))
    builder.sent('r', 100, OutcomeKind.ANSWERED, 99_000, key_id='k1')
    builder.run_attempt('team/r#1', 'w1', LONG_MS, LONG_MS + 10)
    assert builder.violation_kinds() == [ViolationKind.WITHDRAWN_KEY]
    assert builder.check(withdrawn_queued_may_start=True) == ()
    builder.sent('new', 1_100, OutcomeKind.ANSWERED, 99_000, key_id='k1')
    builder.run_attempt('team/new#1', 'w1', LONG_MS, LONG_MS + 10)
    assert builder.violation_kinds(withdrawn_queued_may_start=True) == [
        ViolationKind.WITHDRAWN_KEY
    ]


@pytest.mark.parametrize('start_ms, allowed', [(3_900, True), (4_100, False)])
@pytest.mark.parametrize('refused', [True, False])
def test_work_sent_to_a_leaving_worker(builder, start_ms, allowed, refused):
    builder.event(EventKind.LEAVING, 'w1', 500)
    builder.event(EventKind.LEAVING_ACKNOWLEDGED, 'w1', 1_000)
    if refused:
        builder.event(
            EventKind.REFUSED,
            'w1',
            start_ms,
            attempt_id='team/r#1',
            reason='leaving',
        )
    else:
        builder.run_attempt('team/r#1', 'w1', start_ms, start_ms + 10)
    expected = [] if allowed else [ViolationKind.LEAVING_WORKER]
    assert (
        builder.violation_kinds(leaving_ms=2_000, margin_ms=1_000) == expected
    )


def test_the_recorder_builds_a_history_for_the_checker():
    recorder = testing.Recorder()
    sending_id = recorder.sent(
        team_id='team', request_id='r', idempotent=True, echo='x'
    )
    assert [each.kind for each in testing.check(recorder.history(()))] == [
        ViolationKind.LOST
    ]
    recorder.outcome(sending_id, OutcomeKind.ANSWERED, echo='x')
    recorder.withdrawn('k1')
    recorder.limited('team', running_max=1)
    history = recorder.history(())
    assert testing.check(history) == ()
    assert (len(history.withdrawals), len(history.limits)) == (1, 1)
