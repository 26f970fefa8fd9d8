"""Figures of histories whose figures are known."""

import dataclasses
import math

import pytest

from dandeliondrum import embedded
from dandeliondrum.embedded import _figures
from dandeliondrum.embedded import _fleets
from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

K = worker.EventKind
KINDS = testing.OutcomeKind
GANG = testing.SendingKind.GANG
UNTIL_MS = 100_000


class Story:
    """Builds a history, event by event."""

    def __init__(self, cpu_millicores=4_000):
        self.sendings = []
        self.outcomes = []
        self.limits = []
        self.events = [
            self._event(
                0, K.BEGUN, '', messages.Resources(cpu_millicores, 8_192), 8
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
            queue=messages.QueueName(_fleets.WAITING_URGENT),
            resources=resources,
            slots_count=slots_count,
        )

    def sent(
        self, task_id, at_ms=0, outcome=KINDS.ANSWERED, outcome_ms=None, **more
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
            end_ms = at_ms + 1_000 if outcome_ms is None else outcome_ms
            self.outcomes.append(
                testing.Outcome(sending_id=task_id, at_ms=end_ms, kind=outcome)
            )
        return self

    def ran(self, task_id, from_ms, until_ms, cpu_millicores=1_000, number=1):
        resources = messages.Resources(cpu_millicores, 512)
        attempt_id = messages.AttemptId(f'{task_id}#{number}')
        for at_ms, kind in ((from_ms, K.START), (until_ms, K.END)):
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

    def findings(self, until_ms=UNTIL_MS):
        history = testing.History(
            sendings=tuple(self.sendings),
            outcomes=tuple(self.outcomes),
            worker_events=tuple(self.events),
            limits=tuple(self.limits),
        )
        return embedded.summarize(history, until_ms)

    def summary(self):
        return self.findings().summary


def good():
    return Story().sent('figuring/a').ran('figuring/a', 100, 500)


def test_a_good_history_passes():
    summary = good().summary()
    assert (summary.requests, summary.answered) == (1, 1)
    assert embedded.passed(summary)


BAD = {
    'never_started': lambda: good().sent(
        'figuring/g', outcome=KINDS.REFUSED_NOT_RUN, kind=GANG
    ),
    'lost': lambda: good().sent('figuring/b', outcome=None),
    'run_twice': lambda: good().ran('figuring/a', 600, 700, number=2),
    'overloaded_workers': lambda: good().ran('harbour/b', 200, 400, 4_000),
    'over_limit': lambda: (
        good().limited('figuring', 1).ran('figuring/b', 200, 400)
    ),
    'other_violations': lambda: (
        good()
        .sent('figuring/b', outcome=KINDS.REFUSED_NOT_RUN)
        .ran('figuring/b', 100, 200)
    ),
}


@pytest.mark.parametrize('name', BAD)
def test_a_history_with_a_violation_does_not_pass(name):
    summary = BAD[name]().summary()
    found = {each: getattr(summary, each) for each in BAD}
    assert found == {each: int(each == name) for each in BAD}
    assert not embedded.passed(summary)


def test_each_request_is_counted_once():
    story = good()
    story.sent('figuring/r', outcome=KINDS.REFUSED_NOT_RUN)
    story.sent('figuring/d', outcome=KINDS.IN_DOUBT)
    story.sent('figuring/l', outcome=None)
    story.sent(
        'figuring/s', outcome=KINDS.ACCEPTED, kind=testing.SendingKind.SERVICE
    )
    summary = story.summary()
    assert summary.requests == 4
    assert summary.answered == summary.refused_not_run == 1
    assert summary.in_doubt == summary.lost == 1
    assert (summary.replicas, summary.replicas_started) == (1, 0)


def test_a_gang_that_waited_only_a_moment_is_no_failure():
    story = good().sent(
        'figuring/g',
        at_ms=UNTIL_MS - 5_000,
        outcome=KINDS.REFUSED_NOT_RUN,
        kind=GANG,
    )
    summary = story.summary()
    assert (summary.gang_tasks, summary.gang_tasks_started) == (1, 0)
    assert embedded.passed(summary)


def test_a_gang_that_started_is_counted():
    story = good().sent('figuring/g', kind=GANG).ran('figuring/g', 100, 300)
    summary = story.summary()
    assert (summary.gang_tasks, summary.gang_tasks_started) == (1, 1)
    assert embedded.passed(summary)


def test_an_accepted_task_without_an_end_is_lost():
    durable = testing.SendingKind.DURABLE
    story = Story().sent('figuring/j', outcome=KINDS.ACCEPTED, kind=durable)
    assert story.summary().lost == 1


def test_waits_run_from_the_sending_to_the_first_start():
    story = Story()
    for number in range(1, 101):
        name = f'figuring/{number}'
        begin_ms = 10_000 * number
        story.sent(name, begin_ms).ran(name, begin_ms + number, begin_ms + 200)
    findings = story.findings()
    assert findings.summary.wait_p50_ms == pytest.approx(50.5)
    assert findings.summary.wait_p99_ms == pytest.approx(99, abs=0.1)
    assert max(findings.waits_ms['urgent']) == 100


def full_story():
    """All teams have work that waits from 0 to 10 s; two of them run."""
    story = Story(10_000)
    for team in _fleets.TEAMS:
        story.sent(
            f'{team.team_id}/w',
            outcome=KINDS.REFUSED_NOT_RUN,
            outcome_ms=10_000,
            kind=testing.SendingKind.DURABLE,
        )
    story.ran('figuring/f', 0, 10_000, 6_000)
    story.ran('engraving/e', 0, 5_000, 2_000)
    return story


def test_packing_is_the_mean_part_in_use_while_full():
    summary = full_story().findings(until_ms=10_000).summary
    assert summary.packing_ratio == pytest.approx(0.6 + 0.1)
    assert summary.full_ms == 10_000


def test_the_share_error_is_the_largest_distance_from_a_grant():
    findings = full_story().findings(until_ms=10_000)
    teams = {team.team_id: team for team in findings.teams}
    assert teams['figuring'].used_ratio == pytest.approx(0.6)
    assert teams['counter'].used_ratio == 0
    granted = sum(team.granted_ratio for team in findings.teams)
    assert granted == pytest.approx(0.7)
    largest = max(team.error_ratio for team in findings.teams)
    assert findings.summary.share_error_max == pytest.approx(largest, 1e-3)
    assert largest == teams['figuring'].error_ratio


def test_a_fleet_that_was_never_full_has_no_shares():
    summary = good().summary()
    assert summary.share_error_max is None
    assert summary.packing_ratio is None


def test_what_a_capped_team_can_not_take_goes_to_the_others():
    granted = _figures.deal_out(
        0.9, {'a': 1, 'b': 1, 'c': 2}, {'a': 0.1, 'b': 1.0, 'c': 1.0}
    )
    assert granted['a'] == pytest.approx(0.1)
    assert granted['b'] == pytest.approx(0.8 / 3)
    assert granted['c'] == pytest.approx(1.6 / 3)


def test_percentiles_of_few_values():
    assert _figures.percentile([], 99) == 0
    assert _figures.percentile([7.0], 50) == 7
    assert not math.isnan(_figures.percentile([1.0, 2.0], 50))
