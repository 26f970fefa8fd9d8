"""Which steps are asked about, and by which process."""

from dandeliondrum import jobs
from dandeliondrum.jobs import _advice

POLICY = jobs.AdvicePolicy(500.0, 5.0, 1_500)


def _candidates(count, has_room=True):
    return [_advice.Candidate(f'w{n}', has_room) for n in range(count)]


def _answer(advice, name, named, granted, now_ms):
    grants = tuple(jobs.Grant(one, f't-{one}-{now_ms}') for one in granted)
    advice.asked(name, now_ms)
    advice.answered(name, named, jobs.AdviceReply(grants, 1_500), now_ms)


def test_the_first_call_names_workers_with_room_first():
    advice = _advice.Advice()
    candidates = [
        *_candidates(40, has_room=False),
        _advice.Candidate('free', True),
    ]
    named = advice.to_ask('s', candidates, 0)
    assert named[0] == 'free'
    assert len(named) == _advice.WORKERS_FIRST_MIN


def test_one_call_at_a_time_for_a_step():
    advice = _advice.Advice()
    assert advice.to_ask('s', _candidates(3), 0)
    advice.asked('s', 100)
    assert advice.to_ask('s', _candidates(3), 0) == ()


def test_an_overdue_call_is_made_by_another_process():
    advice, askers = _advice.Advice(), _advice.Askers()
    for name in ('cut off', 'other'):
        askers.join(name)
    assert advice.to_ask('s', _candidates(3), 0)
    first = askers.choose(POLICY, 3, 0)
    due_ms = askers.due_ms(first)
    advice.asked('s', due_ms)
    assert advice.to_ask('s', _candidates(3), due_ms) == ()
    overdue_ms = due_ms + _advice.OVERDUE_MS + 1
    assert advice.to_ask('s', _candidates(3), overdue_ms)
    second = askers.choose(POLICY, 3, overdue_ms)
    assert {first, second} == {'cut off', 'other'}
    advice.asked('s', askers.due_ms(second))
    assert advice.to_ask('s', _candidates(3), 99_999) == ()
    lost = jobs.AdviceReply((), 0, 'closed')
    advice.answered('s', ('w1',), lost, 100_000)
    grants = (jobs.Grant('w1', 't'),)
    advice.answered('s', ('w1',), jobs.AdviceReply(grants, 1_500), 100_001)
    assert advice.tickets('s', 100_002) == {'w1': 't'}


def test_tickets_are_given_out_while_they_are_valid():
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(3), 0)
    _answer(advice, 's', named, ('w1',), 100)
    assert advice.tickets('s', 200) == {'w1': 't-w1-100'}
    assert advice.tickets('s', 1_600) == {}


def test_a_ticket_is_renewed_only_for_a_granted_worker_with_room():
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(3), 0)
    _answer(advice, 's', named, ('w1',), 100)
    assert advice.to_ask('s', _candidates(3), 200) == ()
    full = _candidates(3, has_room=False)
    assert advice.to_ask('s', full, 2_000) == ()
    assert advice.to_ask('s', _candidates(3), 2_000) == ('w1',)


def test_workers_that_were_never_named_are_asked_about():
    advice = _advice.Advice()
    _answer(advice, 's', advice.to_ask('s', _candidates(2), 0), (), 100)
    assert advice.to_ask('s', _candidates(3), 200) == ('w2',)


def test_a_call_that_failed_is_made_again_after_a_pause():
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(1), 0)
    advice.asked('s', 100)
    failed = jobs.AdviceReply((), 0, 'no answer')
    advice.answered('s', named, failed, 100)
    assert advice.to_ask('s', _candidates(1), 110) == ()
    assert advice.to_ask('s', _candidates(1), 400) == named


def test_another_life_of_a_worker_needs_another_ticket():
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(1), 0)
    _answer(advice, 's', named, named, 100)
    advice.forget_worker('w0')
    assert advice.tickets('s', 200) == {}
    assert advice.to_ask('s', _candidates(1), 200) == ('w0',)


def test_short_calls_do_not_wait_behind_long_ones():
    """Plays ten long calls and ten short ones to three processes."""
    askers = _advice.Askers()
    for name in ('a', 'b', 'c'):
        askers.join(name)
    taken = [askers.choose(POLICY, 20, 0) for _ in range(10)]
    assert sorted(filter(None, taken)) == ['a', 'b', 'c']
    short = jobs.AdvicePolicy(10.0, 0.1, 1_500)
    assert askers.choose(short, 20, 0) is None
    askers.finished('b', 600)
    served = [askers.choose(short, 20, 600) for _ in range(10)]
    assert 'b' in served


def test_nothing_is_queued_behind_a_call_that_does_not_end():
    """Plays urgent calls for ten seconds while one process is cut off."""
    askers = _advice.Askers()
    for name in ('cut', 'near'):
        askers.join(name)
    short = jobs.AdvicePolicy(20.0, 0.0, 1_500)
    chosen = []
    for now_ms in range(0, 10_000, 30):
        asker_id = askers.choose(short, 1, now_ms)
        chosen.append(asker_id)
        if asker_id == 'near':
            askers.finished('near', now_ms + 20)
    assert chosen.count('cut') <= 2
    assert chosen.count('near') >= 300


def test_a_process_with_a_call_under_way_stays_busy_when_one_ends():
    askers = _advice.Askers()
    askers.join('a')
    short = jobs.AdvicePolicy(20.0, 0.0, 1_500)
    assert askers.choose(short, 1, 0) == 'a'
    assert askers.choose(short, 1, 0) == 'a'
    assert askers.choose(short, 1, 0) is None
    askers.finished('a', 20)
    assert askers.choose(short, 1, 20) == 'a'
    assert askers.choose(short, 1, 20) is None


def test_a_process_that_left_is_not_asked():
    askers = _advice.Askers()
    askers.join('a')
    askers.leave('a')
    assert askers.choose(POLICY, 1, 0) is None


def test_a_process_that_is_far_from_the_adviser_is_asked_last():
    askers = _advice.Askers()
    short = jobs.AdvicePolicy(10.0, 0.0, 1_500)
    now_ms = 0
    for name, extra_ms in (('far', 90), ('near', 5)):
        askers.join(name)
        assert askers.choose(short, 1, now_ms) == name
        now_ms += 10 + extra_ms
        askers.finished(name, now_ms)
    chosen = [askers.choose(short, 1, now_ms) for _ in range(3)]
    assert chosen == ['near', 'near', 'far']


def test_the_tickets_of_a_gang_are_renewed_together():
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(4), 0, gang_policy=POLICY)
    _answer(advice, 's', named, ('w0', 'w1'), 100)
    assert advice.to_ask('s', _candidates(4), 200, gang_policy=POLICY) == ()
    half = [_advice.Candidate(f'w{n}', n % 2 == 1) for n in range(4)]
    again = advice.to_ask('s', half, 2_000, gang_policy=POLICY)
    assert sorted(again) == ['w0', 'w1']
    full = _candidates(4, has_room=False)
    assert advice.to_ask('s', full, 2_000, gang_policy=POLICY) == ()


def test_a_wide_gang_is_asked_about_on_enough_workers():
    """Plays a gang that needs 10 workers where three in ten are granted."""
    advice = _advice.Advice()
    candidates = _candidates(176)
    named = advice.to_ask('s', candidates, 0, 10, gang_policy=POLICY)
    granted = [one for one in named if int(one[1:]) % 10 < 3]
    _answer(advice, 's', named, granted, 100)
    again = advice.to_ask('s', candidates, 200, 10, gang_policy=POLICY)
    granted += [one for one in again if int(one[1:]) % 10 < 3]
    assert len(named) == 50
    assert len(set(granted)) >= 40
    assert len(again) <= _advice.WORKERS_MAX


def test_the_tickets_of_a_gang_are_renewed_before_they_run_out():
    """Seen as room kept for a gang that went to others meanwhile."""
    advice = _advice.Advice()
    named = advice.to_ask('s', _candidates(4), 0, gang_policy=POLICY)
    _answer(advice, 's', named, ('w0', 'w1'), 0)
    latest_ms = 1_500 - _advice.TICKET_MARGIN_MS - POLICY.call_ms(2)
    early = advice.to_ask(
        's', _candidates(4), latest_ms - 20, gang_policy=POLICY
    )
    assert early == ()
    again = advice.to_ask(
        's', _candidates(4), latest_ms + 20, gang_policy=POLICY
    )
    assert again == ('w0', 'w1')
    assert advice.granted('s') == {'w0', 'w1'}
