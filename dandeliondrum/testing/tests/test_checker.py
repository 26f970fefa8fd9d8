"""Histories that break one point each, and clean ones beside them."""

import itertools

import pytest

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

Kind = worker.EventKind
Wrong = testing.ViolationKind
KINDS = testing.OutcomeKind
State = messages.AttemptState

SMALL = messages.Resources(1_000, 1_000)
LONG_MS = 60_000


class Story:
    """Builds a history; requests and workers go by short names."""

    def __init__(self):
        self._numbers = itertools.count(1)
        self.sendings = []
        self.outcomes = []
        self.events = []
        self.withdrawals = []
        self.limits = []
        self.outages = []
        for name in ('w1', 'w2'):
            self.begun(name, 0)

    def begun(self, name, at_ms):
        self.event(
            Kind.BEGUN,
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

    def ran(self, attempt_id, name, from_ms, until_ms=None, **fields):
        end = {
            key: fields.pop(key)
            for key in ('reason', 'expired_ms')
            if key in fields
        }
        fields.setdefault('resources', SMALL)
        fields.setdefault('team_id', attempt_id.partition('/')[0])
        fields['attempt_id'] = attempt_id
        fields['task_id'] = attempt_id.partition('#')[0]
        self.event(Kind.START, name, from_ms, **fields)
        if until_ms is not None:
            self.event(Kind.END, name, until_ms, **fields, **end)

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

    def wrong(self, **options):
        return [each.kind for each in self.check(**options)]


@pytest.fixture
def story():
    return Story()


def answered(story, request_id='r', from_ms=100, until_ms=200, **fields):
    """One request from its sending to its answer."""
    story.sent(
        request_id, from_ms - 10, KINDS.ANSWERED, until_ms + 10, **fields
    )
    story.ran(f'team/{request_id}#1', 'w1', from_ms, until_ms)


def test_a_clean_history_has_nothing_wrong(story):
    answered(story)
    accepted = story.sent('job', 10, KINDS.ACCEPTED, 20)
    story.ran('team/job#1', 'w2', 30, 40)
    story.outcome(accepted, KINDS.ANSWERED, 50, task_id='team/job')
    story.sent('full', 10, KINDS.REFUSED_NOT_RUN, 20)
    doubtful = story.sent('doubt', 10, KINDS.IN_DOUBT, 20)
    story.ran('team/doubt#1', 'w2', 50, 60)
    story.outcome(doubtful, KINDS.ANSWERED, 90)
    replicas = story.sent(
        'service', 10, kind=testing.SendingKind.SERVICE, idempotent=True
    )
    story.outcome(replicas, KINDS.ACCEPTED, 20)
    story.ran('team/service#1', 'w2', 100)
    assert story.check() == ()


def test_a_waiting_call_without_an_outcome_is_lost(story):
    story.sent('r', 10)
    assert story.wrong() == [Wrong.LOST]


def test_an_accepted_job_without_an_end_is_lost(story):
    story.sent('r', 10, KINDS.ACCEPTED, 20)
    assert story.wrong() == [Wrong.LOST]


def test_a_service_that_was_never_accepted_is_lost(story):
    story.sent('r', 10, kind=testing.SendingKind.SERVICE)
    assert story.wrong() == [Wrong.LOST]


def test_two_starts_of_work_that_is_not_idempotent(story):
    answered(story)
    story.ran('team/r#2', 'w2', 300, 400)
    assert story.wrong() == [Wrong.RUN_TWICE]


def test_the_same_attempt_started_twice_counts_as_two_starts(story):
    answered(story)
    story.ran('team/r#1', 'w1', 300, 400, incarnation='i2')
    assert story.wrong() == [Wrong.RUN_TWICE]


def test_idempotent_work_may_start_again_once_it_has_ended(story):
    answered(story, idempotent=True)
    story.ran('team/r#2', 'w2', 200, 400)
    assert story.check() == ()


def test_two_attempts_at_one_time(story):
    answered(story, idempotent=True)
    story.ran('team/r#2', 'w2', 199, 400)
    assert story.wrong() == [Wrong.TWO_PLACES]


@pytest.mark.parametrize('killed_ms', [150, 350])
def test_a_killed_worker_runs_nothing_from_then_on(story, killed_ms):
    story.sent('r', 90, KINDS.ANSWERED, 410, idempotent=True)
    story.ran('team/r#1', 'w1', 100)
    story.outages.append(
        testing.Outage('w1', testing.OutageKind.KILLED, killed_ms, killed_ms)
    )
    story.begun('w1', 500)
    story.ran('team/r#2', 'w2', 300, 400)
    expected = [Wrong.TWO_PLACES] if killed_ms > 300 else []
    assert story.wrong() == expected


def test_an_attempt_without_an_end_goes_on_until_its_worker_begins_anew(
    story,
):
    story.sent('r', 90, KINDS.ANSWERED, 410, idempotent=True)
    story.ran('team/r#1', 'w1', 100)
    story.begun('w1', 301)
    story.ran('team/r#2', 'w2', 300, 400)
    assert story.wrong() == [Wrong.TWO_PLACES]


@pytest.mark.parametrize('frozen', [True, False])
def test_a_lease_ends_an_attempt_in_time_only_if_its_worker_froze(
    story, frozen
):
    story.sent('r', 90, KINDS.ANSWERED, 410, idempotent=True)
    story.ran('team/r#1', 'w1', 100, 5_000, reason='lease', expired_ms=250)
    story.ran('team/r#2', 'w2', 300, 400)
    if frozen:
        story.outages.append(
            testing.Outage('w1', testing.OutageKind.FROZEN, 150, 4_990)
        )
    assert story.wrong() == ([] if frozen else [Wrong.TWO_PLACES])


def test_a_thawed_worker_that_goes_on_past_its_lease(story):
    story.sent('r', 90, KINDS.ANSWERED, 410, idempotent=True)
    story.ran('team/r#1', 'w1', 100, 5_000)
    story.ran('team/r#2', 'w2', 300, 400)
    story.outages.append(
        testing.Outage('w1', testing.OutageKind.FROZEN, 150, 4_990)
    )
    assert story.wrong() == [Wrong.TWO_PLACES]


def test_a_frozen_worker_that_is_killed_ran_until_it_froze(story):
    story.sent('r', 90, KINDS.ANSWERED, 410, idempotent=True)
    story.ran('team/r#1', 'w1', 100)
    story.ran('team/r#2', 'w2', 300, 400)
    story.outages += [
        testing.Outage('w1', testing.OutageKind.FROZEN, 150, 5_000),
        testing.Outage('w1', testing.OutageKind.KILLED, 5_000, 5_000),
    ]
    assert story.check() == ()


@pytest.mark.parametrize('start_ms', [15, 20_000])
def test_work_that_ran_although_it_was_refused(story, start_ms):
    story.sent('r', 10, KINDS.REFUSED_NOT_RUN, 20)
    story.ran('team/r#1', 'w1', start_ms, start_ms + 5)
    assert story.wrong() == [Wrong.RAN_AFTER_REFUSAL]


def test_a_refused_request_may_be_sent_again_and_run(story):
    story.sent('r', 10, KINDS.REFUSED_NOT_RUN, 20)
    story.sent('r', 30, KINDS.REFUSED_NOT_RUN, 40)
    story.sent('r', 50, KINDS.ANSWERED, 90)
    story.ran('team/r#1', 'w1', 60, 70)
    assert story.check() == ()


def test_a_later_sending_excuses_no_start_before_it(story):
    story.sent('r', 10, KINDS.REFUSED_NOT_RUN, 20)
    story.sent('r', 50, KINDS.IN_DOUBT, 90)
    story.ran('team/r#1', 'w1', 45, 47)
    assert story.wrong() == [Wrong.RAN_AFTER_REFUSAL]


def test_not_run_after_a_doubt_in_which_it_ran(story):
    story.sent('r', 10, KINDS.IN_DOUBT, 20)
    story.ran('team/r#1', 'w1', 15, 18)
    story.sent('r', 30, KINDS.REFUSED_NOT_RUN, 40)
    assert story.wrong() == [Wrong.RAN_AFTER_REFUSAL]


def test_a_doubt_that_is_resolved_as_not_run_counts_as_not_run(story):
    sending_id = story.sent('r', 10, KINDS.IN_DOUBT, 20)
    story.ran('team/r#1', 'w1', 15, 18)
    story.outcome(sending_id, KINDS.REFUSED_NOT_RUN, 500)
    assert story.wrong() == [Wrong.RAN_AFTER_REFUSAL]


def test_a_refusal_of_another_content_says_nothing_of_the_first(story):
    story.sent('r', 10, KINDS.ANSWERED, 40, echo='')
    story.ran('team/r#1', 'w1', 15, 18)
    story.sent('r', 50, KINDS.REFUSED_NOT_RUN, 60, echo='other')
    assert story.check() == ()


def test_a_refusal_of_another_content_excuses_an_earlier_doubt(story):
    story.sent('r', 10, KINDS.IN_DOUBT, 20, echo='mine')
    story.ran('team/r#1', 'w1', 15, 18)
    story.sent('r', 50, KINDS.REFUSED_NOT_RUN, 60, echo='other')
    assert story.check() == ()


def test_an_earlier_answer_excuses_no_start_after_it(story):
    story.sent('r', 10, KINDS.ANSWERED, 40, idempotent=True)
    story.ran('team/r#1', 'w1', 15, 18)
    story.sent('r', 50, KINDS.REFUSED_NOT_RUN, 60, idempotent=True)
    story.ran('team/r#2', 'w1', 80, 90)
    assert story.wrong() == [Wrong.RAN_AFTER_REFUSAL]


def test_the_answer_of_another_request(story):
    sending_id = story.sent('r', 10, echo='mine')
    story.ran('team/r#1', 'w1', 15, 18)
    story.outcome(sending_id, KINDS.ANSWERED, 20, echo='theirs')
    assert story.wrong() == [Wrong.WRONG_ANSWER]


def test_the_answer_of_another_task_with_the_same_echo(story):
    sending_id = story.sent('r', 10, echo='same')
    story.ran('team/r#1', 'w1', 15, 18)
    story.outcome(
        sending_id, KINDS.ANSWERED, 20, echo='same', task_id='team/other'
    )
    assert story.wrong() == [Wrong.WRONG_ANSWER]


def test_a_worker_with_more_attempts_than_slots(story):
    for number in range(3):
        answered(story, f'r{number}', 100 + number, 200)
    assert story.wrong() == [Wrong.WORKER_OVERLOADED]


def test_a_worker_with_more_memory_in_use_than_it_has(story):
    for number in range(2):
        story.sent(f'r{number}', 10, KINDS.ANSWERED, 300)
        story.ran(
            f'team/r{number}#1',
            'w1',
            100 + number,
            200,
            resources=messages.Resources(1_000, 2_001),
        )
    assert story.wrong() == [Wrong.WORKER_OVERLOADED]


def test_a_start_that_the_worker_had_to_turn_away(story):
    story.event(Kind.OVERLOAD, 'w1', 100, attempt_id='team/r#1')
    assert story.wrong() == [Wrong.WORKER_OVERLOADED]


def test_room_that_was_given_back_at_once_is_no_overload(story):
    for number in range(4):
        answered(story, f'r{number}', 100 + 50 * number, 200 + 50 * number)
    assert story.check() == ()


def test_a_worker_of_unknown_capacity_is_not_passed_over(story):
    story.ran('team/r#1', 'w3', 10, 20)
    assert story.wrong() == [Wrong.WORKER_OVERLOADED]


@pytest.mark.parametrize(
    'limit',
    [
        {'running_max': 1},
        {'resources_max': messages.Resources(1_500, 9_000)},
    ],
)
def test_a_team_above_its_limit_across_workers(story, limit):
    story.limits.append(testing.TeamLimit(team_id='team', **limit))
    answered(story, 'a')
    story.sent('b', 10, KINDS.ANSWERED, 300)
    story.ran('team/b#1', 'w2', 150, 250)
    assert story.wrong() == [Wrong.TEAM_OVER_LIMIT]


def test_a_lowered_limit_stops_starts_but_not_what_runs(story):
    story.limits += [
        testing.TeamLimit(team_id='team', running_max=2),
        testing.TeamLimit(team_id='team', at_ms=5_000, running_max=1),
    ]
    answered(story, 'a', 100, 9_000)
    answered(story, 'b', 5_500, 5_600)
    assert story.check(margin_ms=1_000) == ()
    answered(story, 'c', 7_000, 7_100)
    assert story.wrong(margin_ms=1_000) == [Wrong.TEAM_OVER_LIMIT]


def test_a_limit_that_is_raised_later_excuses_nothing_before(story):
    story.limits += [
        testing.TeamLimit(team_id='team', running_max=1),
        testing.TeamLimit(team_id='team', at_ms=9_000, running_max=5),
    ]
    answered(story, 'a', 100, 9_500)
    answered(story, 'b', 8_900, 8_950)
    assert story.check(margin_ms=1_000) == ()
    answered(story, 'c', 5_000, 5_100)
    assert story.wrong(margin_ms=1_000) == [Wrong.TEAM_OVER_LIMIT]


@pytest.mark.parametrize('start_ms, good', [(4_900, True), (5_100, False)])
def test_a_start_for_a_withdrawn_key(story, start_ms, good):
    story.withdrawals.append(testing.Withdrawal(key_id='k1', at_ms=1_000))
    story.sent('r', 100, KINDS.ANSWERED, 9_000, key_id='k1')
    story.ran('team/r#1', 'w1', start_ms, start_ms + 10)
    expected = [] if good else [Wrong.WITHDRAWN_KEY]
    assert story.wrong(withdrawal_ms=3_000, margin_ms=1_000) == expected


def test_work_that_another_key_was_sent_with_may_start(story):
    story.withdrawals.append(testing.Withdrawal(key_id='k1', at_ms=1_000))
    story.sent('r', 100, KINDS.IN_DOUBT, 200, key_id='k1')
    story.sent('r', 5_000, KINDS.ANSWERED, 9_000, key_id='k2')
    story.ran('team/r#1', 'w1', 6_000, 6_010)
    assert story.check() == ()


def test_queued_work_of_a_withdrawn_key_may_be_allowed(story):
    story.withdrawals.append(testing.Withdrawal(key_id='k1', at_ms=1_000))
    story.sent('r', 100, KINDS.ANSWERED, 99_000, key_id='k1')
    story.ran('team/r#1', 'w1', LONG_MS, LONG_MS + 10)
    assert story.wrong() == [Wrong.WITHDRAWN_KEY]
    assert story.check(withdrawn_queued_may_start=True) == ()
    story.sent('new', 1_100, KINDS.ANSWERED, 99_000, key_id='k1')
    story.ran('team/new#1', 'w1', LONG_MS, LONG_MS + 10)
    assert story.wrong(withdrawn_queued_may_start=True) == [
        Wrong.WITHDRAWN_KEY
    ]


@pytest.mark.parametrize('start_ms, good', [(3_900, True), (4_100, False)])
@pytest.mark.parametrize('refused', [True, False])
def test_work_sent_to_a_leaving_worker(story, start_ms, good, refused):
    story.event(Kind.LEAVING, 'w1', 500)
    story.event(Kind.LEAVING_ACKNOWLEDGED, 'w1', 1_000)
    if refused:
        story.event(
            Kind.REFUSED,
            'w1',
            start_ms,
            attempt_id='team/r#1',
            reason='leaving',
        )
    else:
        story.ran('team/r#1', 'w1', start_ms, start_ms + 10)
    expected = [] if good else [Wrong.LEAVING_WORKER]
    assert story.wrong(leaving_ms=2_000, margin_ms=1_000) == expected


def test_a_recorder_builds_a_history_that_can_be_checked():
    recorder = testing.Recorder()
    sending_id = recorder.sent(
        team_id='team', request_id='r', idempotent=True, echo='x'
    )
    assert [each.kind for each in testing.check(recorder.history(()))] == [
        Wrong.LOST
    ]
    recorder.outcome(sending_id, KINDS.ANSWERED, echo='x')
    recorder.withdrawn('k1')
    recorder.limited('team', running_max=1)
    history = recorder.history(())
    assert testing.check(history) == ()
    assert (len(history.withdrawals), len(history.limits)) == (1, 1)
