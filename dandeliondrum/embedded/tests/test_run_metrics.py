"""Tests of run metrics and summaries, on histories with known results."""

import dataclasses
import math

import pytest

from dandeliondrum import embedded
from dandeliondrum.embedded import _fleets
from dandeliondrum.embedded import _run_metrics
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

EventKind = worker.EventKind
OutcomeKind = testing.OutcomeKind
GANG = testing.SendingKind.GANG
UNTIL_MS = 100_000


class HistoryBuilder:
    """Builds a history from submissions, runs and limits."""

    def __init__(self, cpu_millicores=4_000):
        self.sendings = []
        self.outcomes = []
        self.limits = []
        self.events = [
            self._event(
                0,
                EventKind.BEGUN,
                '',
                messages.Resources(cpu_millicores, 8_192),
                8,
            )
        ]

    def _event(self, at_ms, kind, task_id, resources, slots_count=1):
        return worker.Event(
            at_ms=at_ms,
            kind=kind,
            worker_id=messages.WorkerId('w1'),
            incarnation=messages.Incarnation('i'),
            attempt_id=messages.AttemptId(f'{task_id}#1'),
            task_id=messages.TaskId(task_id),
            team_id=messages.TeamId(task_id.partition('/')[0]),
            queue=messages.QueueName(_fleets.URGENT_QUEUE),
            resources=resources,
            slots_count=slots_count,
        )

    def sent(
        self,
        task_id,
        at_ms=0,
        outcome=OutcomeKind.ANSWERED,
        outcome_ms=None,
        **more,
    ):
        team_id, _, request_id = task_id.partition('/')
        sending = testing.Sending(
            sending_id=task_id,
            at_ms=at_ms,
            team_id=messages.TeamId(team_id),
            request_id=request_id,
            idempotent=False,
            **more,
        )
        self.sendings.append(sending)
        if outcome is not None:
            ended_ms = at_ms + 1_000 if outcome_ms is None else outcome_ms
            self.outcomes.append(
                testing.Outcome(
                    sending_id=task_id, at_ms=ended_ms, kind=outcome
                )
            )
        return self

    def ran(self, task_id, from_ms, until_ms, cpu_millicores=1_000, number=1):
        resources = messages.Resources(cpu_millicores, 512)
        attempt_id = messages.AttemptId(f'{task_id}#{number}')
        for at_ms, kind in (
            (from_ms, EventKind.START),
            (until_ms, EventKind.END),
        ):
            event = self._event(at_ms, kind, task_id, resources)
            self.events.append(
                dataclasses.replace(event, attempt_id=attempt_id)
            )
        return self

    def limited(self, team_id, running_max):
        self.limits.append(
            testing.TeamLimit(
                team_id=messages.TeamId(team_id), running_max=running_max
            )
        )
        return self

    def results(self, until_ms=UNTIL_MS):
        history = testing.History(
            sendings=tuple(self.sendings),
            outcomes=tuple(self.outcomes),
            worker_events=tuple(self.events),
            limits=tuple(self.limits),
        )
        return embedded.summarize(history, until_ms)

    def summary(self):
        return self.results().summary


def passing_history():
    return HistoryBuilder().sent('figuring/a').ran('figuring/a', 100, 500)


def test_a_history_without_violations_passes():
    summary = passing_history().summary()
    assert (summary.requests, summary.answered) == (1, 1)
    assert embedded.passed(summary)


VIOLATIONS = {
    'never_started': lambda: passing_history().sent(
        'figuring/g', outcome=OutcomeKind.REFUSED_NOT_RUN, kind=GANG
    ),
    'lost': lambda: passing_history().sent('figuring/b', outcome=None),
    'run_twice': lambda: passing_history().ran(
        'figuring/a', 600, 700, number=2
    ),
    'overloaded_workers': lambda: passing_history().ran(
        'harbour/b', 200, 400, 4_000
    ),
    'over_limit': lambda: (
        passing_history().limited('figuring', 1).ran('figuring/b', 200, 400)
    ),
    'other_violations': lambda: (
        passing_history()
        .sent('figuring/b', outcome=OutcomeKind.REFUSED_NOT_RUN)
        .ran('figuring/b', 100, 200)
    ),
}


@pytest.mark.parametrize('name', VIOLATIONS)
def test_a_history_with_a_violation_does_not_pass(name):
    summary = VIOLATIONS[name]().summary()
    counts = {each: getattr(summary, each) for each in VIOLATIONS}
    assert counts == {each: int(each == name) for each in VIOLATIONS}
    assert not embedded.passed(summary)


def test_each_request_is_counted_once():
    builder = passing_history()
    builder.sent('figuring/r', outcome=OutcomeKind.REFUSED_NOT_RUN)
    builder.sent('figuring/d', outcome=OutcomeKind.IN_DOUBT)
    builder.sent('figuring/l', outcome=None)
    builder.sent(
        'figuring/s',
        outcome=OutcomeKind.ACCEPTED,
        kind=testing.SendingKind.SERVICE,
    )
    summary = builder.summary()
    assert summary.requests == 4
    assert summary.answered == summary.refused_not_run == 1
    assert summary.in_doubt == summary.lost == 1
    assert (summary.replicas, summary.replicas_started) == (1, 0)


def test_a_gang_that_waited_briefly_is_no_failure():
    builder = passing_history().sent(
        'figuring/g',
        at_ms=UNTIL_MS - 5_000,
        outcome=OutcomeKind.REFUSED_NOT_RUN,
        kind=GANG,
    )
    summary = builder.summary()
    assert (summary.gang_tasks, summary.gang_tasks_started) == (1, 0)
    assert embedded.passed(summary)


def test_a_gang_that_started_is_counted():
    builder = (
        passing_history()
        .sent('figuring/g', kind=GANG)
        .ran('figuring/g', 100, 300)
    )
    summary = builder.summary()
    assert (summary.gang_tasks, summary.gang_tasks_started) == (1, 1)
    assert embedded.passed(summary)


def test_an_accepted_task_without_an_outcome_is_lost():
    durable = testing.SendingKind.DURABLE
    builder = HistoryBuilder().sent(
        'figuring/j', outcome=OutcomeKind.ACCEPTED, kind=durable
    )
    assert builder.summary().lost == 1


def test_waits_are_from_submission_to_the_first_start():
    builder = HistoryBuilder()
    for number in range(1, 101):
        name = f'figuring/{number}'
        sent_ms = 10_000 * number
        builder.sent(name, sent_ms).ran(name, sent_ms + number, sent_ms + 200)
    results = builder.results()
    assert results.summary.wait_p50_ms == pytest.approx(50.5)
    assert results.summary.wait_p99_ms == pytest.approx(99, abs=0.1)
    assert max(results.waits_ms['urgent']) == 100


def saturated_history():
    """Return a history where all teams wait from 0 to 10 s and two run."""
    builder = HistoryBuilder(10_000)
    for team in _fleets.TEAMS:
        builder.sent(
            f'{team.team_id}/w',
            outcome=OutcomeKind.REFUSED_NOT_RUN,
            outcome_ms=10_000,
            kind=testing.SendingKind.DURABLE,
        )
    builder.ran('figuring/f', 0, 10_000, 6_000)
    builder.ran('engraving/e', 0, 5_000, 2_000)
    return builder


def test_packing_is_the_mean_ratio_in_use_while_full():
    summary = saturated_history().results(until_ms=10_000).summary
    assert summary.packing_ratio == pytest.approx(0.6 + 0.1)
    assert summary.full_ms == 10_000


def test_the_share_error_is_the_largest_difference_from_a_grant():
    results = saturated_history().results(until_ms=10_000)
    teams = {team.team_id: team for team in results.teams}
    assert teams['figuring'].used_ratio == pytest.approx(0.6)
    assert teams['counter'].used_ratio == 0
    granted = sum(team.granted_ratio for team in results.teams)
    assert granted == pytest.approx(0.7)
    largest = max(team.error_ratio for team in results.teams)
    assert results.summary.share_error_max == pytest.approx(largest, 1e-3)
    assert largest == teams['figuring'].error_ratio


def test_a_fleet_that_was_never_full_has_no_shares():
    summary = passing_history().summary()
    assert summary.share_error_max is None
    assert summary.packing_ratio is None


def test_the_excess_over_a_cap_goes_to_the_other_teams():
    granted = _run_metrics.max_min_fair_ratios(
        0.9, {'a': 1, 'b': 1, 'c': 2}, {'a': 0.1, 'b': 1.0, 'c': 1.0}
    )
    assert granted['a'] == pytest.approx(0.1)
    assert granted['b'] == pytest.approx(0.8 / 3)
    assert granted['c'] == pytest.approx(1.6 / 3)


def test_percentiles_of_few_values():
    assert _run_metrics.percentile([], 99) == 0
    assert _run_metrics.percentile([7.0], 50) == 7
    assert not math.isnan(_run_metrics.percentile([1.0, 2.0], 50))
