"""Selection of workers for calls to the adviser, and of their callers."""

from dandeliondrum import jobs
from dandeliondrum.jobs import _advice

POLICY = jobs.AdvicePolicy(500.0, 5.0, 1_500)


def _candidates(count, has_capacity=True):
    return [_advice.Candidate(f'w{n}', has_capacity) for n in range(count)]


def _answer(advice, name, included, granted, now_ms):
    grants = tuple(jobs.Grant(one, f't-{one}-{now_ms}') for one in granted)
    advice.record_call(name, now_ms)
    advice.record_reply(
        name, included, jobs.AdviceReply(grants, 1_500), now_ms
    )


def test_the_first_call_names_workers_with_room_first():
    advice = _advice.GrantCache()
    candidates = [
        *_candidates(40, has_capacity=False),
        _advice.Candidate('free', True),
    ]
    included = advice.select_workers('s', candidates, 0)
    assert included[0] == 'free'
    assert len(included) == _advice.FIRST_CALL_WORKERS_MIN


def test_one_call_at_a_time_for_a_step():
    advice = _advice.GrantCache()
    assert advice.select_workers('s', _candidates(3), 0)
    advice.record_call('s', 100)
    assert advice.select_workers('s', _candidates(3), 0) == ()


def test_an_overdue_call_is_made_by_another_process():
    advice, clients = _advice.GrantCache(), _advice.AdviserClientPool()
    for name in ('cut off', 'other'):
        clients.add(name)
    assert advice.select_workers('s', _candidates(3), 0)
    first = clients.choose(POLICY, 3, 0)
    due_ms = clients.due_ms(first)
    advice.record_call('s', due_ms)
    assert advice.select_workers('s', _candidates(3), due_ms) == ()
    overdue_ms = due_ms + _advice.OVERDUE_AFTER_MS + 1
    assert advice.select_workers('s', _candidates(3), overdue_ms)
    second = clients.choose(POLICY, 3, overdue_ms)
    assert {first, second} == {'cut off', 'other'}
    advice.record_call('s', clients.due_ms(second))
    assert advice.select_workers('s', _candidates(3), 99_999) == ()
    lost = jobs.AdviceReply((), 0, 'closed')
    advice.record_reply('s', ('w1',), lost, 100_000)
    grants = (jobs.Grant('w1', 't'),)
    advice.record_reply('s', ('w1',), jobs.AdviceReply(grants, 1_500), 100_001)
    assert advice.tickets('s', 100_002) == {'w1': 't'}


def test_tickets_are_given_out_while_they_are_valid():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(3), 0)
    _answer(advice, 's', included, ('w1',), 100)
    assert advice.tickets('s', 200) == {'w1': 't-w1-100'}
    assert advice.tickets('s', 1_600) == {}


def test_other_workers_are_asked_about_while_those_with_tickets_are_kept():
    """Regression test: steps waited for seconds beside 60 free workers."""
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(3), 0)
    _answer(advice, 's', included, ('w1',), 100)
    candidates = _candidates(40)
    assert advice.select_workers('s', candidates, 200) == ()
    # The round leaves tasks waiting: w1 is reserved for another step.
    advice.record_planned('s')
    asked = advice.select_workers('s', candidates, 210, needed_count=4)
    assert asked == tuple(f'w{n}' for n in range(3, 23))
    _answer(advice, 's', asked, ('w5',), 300)
    assert advice.select_workers('s', candidates, 310) == ()
    assert set(advice.tickets('s', 310)) == {'w1', 'w5'}


def test_nobody_is_asked_if_all_workers_with_room_have_a_ticket():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(3), 0)
    _answer(advice, 's', included, included, 100)
    advice.record_planned('s')
    assert advice.select_workers('s', _candidates(3), 200) == ()


def test_a_ticket_is_renewed_only_for_a_granted_worker_with_room():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(3), 0)
    _answer(advice, 's', included, ('w1',), 100)
    assert advice.select_workers('s', _candidates(3), 200) == ()
    full = _candidates(3, has_capacity=False)
    assert advice.select_workers('s', full, 2_000) == ()
    assert advice.select_workers('s', _candidates(3), 2_000) == ('w1',)


def test_workers_that_were_in_no_call_are_included_later():
    advice = _advice.GrantCache()
    _answer(
        advice, 's', advice.select_workers('s', _candidates(2), 0), (), 100
    )
    assert advice.select_workers('s', _candidates(3), 200) == ('w2',)


def test_a_call_that_failed_is_made_again_after_a_pause():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(1), 0)
    advice.record_call('s', 100)
    failed = jobs.AdviceReply((), 0, 'no answer')
    advice.record_reply('s', included, failed, 100)
    assert advice.select_workers('s', _candidates(1), 110) == ()
    assert advice.select_workers('s', _candidates(1), 400) == included


def test_a_restarted_worker_needs_a_new_ticket():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(1), 0)
    _answer(advice, 's', included, included, 100)
    advice.forget_worker('w0')
    assert advice.tickets('s', 200) == {}
    assert advice.select_workers('s', _candidates(1), 200) == ('w0',)


def test_short_calls_do_not_wait_behind_long_ones():
    """Distributes ten long calls and ten short ones over three processes."""
    clients = _advice.AdviserClientPool()
    for name in ('a', 'b', 'c'):
        clients.add(name)
    taken = [clients.choose(POLICY, 20, 0) for _ in range(10)]
    assert sorted(filter(None, taken)) == ['a', 'b', 'c']
    short = jobs.AdvicePolicy(10.0, 0.1, 1_500)
    assert clients.choose(short, 20, 0) is None
    clients.record_finished('b', 600)
    served = [clients.choose(short, 20, 600) for _ in range(10)]
    assert 'b' in served


def test_nothing_is_queued_behind_a_call_that_does_not_end():
    """Simulates ten seconds of urgent calls; one process is cut off."""
    clients = _advice.AdviserClientPool()
    for name in ('cut', 'near'):
        clients.add(name)
    short = jobs.AdvicePolicy(20.0, 0.0, 1_500)
    chosen = []
    for now_ms in range(0, 10_000, 30):
        client_id = clients.choose(short, 1, now_ms)
        chosen.append(client_id)
        if client_id == 'near':
            clients.record_finished('near', now_ms + 20)
    assert chosen.count('cut') <= 2
    assert chosen.count('near') >= 300


def test_a_process_with_a_call_under_way_stays_busy_when_one_ends():
    clients = _advice.AdviserClientPool()
    clients.add('a')
    short = jobs.AdvicePolicy(20.0, 0.0, 1_500)
    assert clients.choose(short, 1, 0) == 'a'
    assert clients.choose(short, 1, 0) == 'a'
    assert clients.choose(short, 1, 0) is None
    clients.record_finished('a', 20)
    assert clients.choose(short, 1, 20) == 'a'
    assert clients.choose(short, 1, 20) is None


def test_a_process_that_left_is_not_asked():
    clients = _advice.AdviserClientPool()
    clients.add('a')
    clients.remove('a')
    assert clients.choose(POLICY, 1, 0) is None


def test_a_process_that_is_far_from_the_adviser_is_asked_last():
    clients = _advice.AdviserClientPool()
    short = jobs.AdvicePolicy(10.0, 0.0, 1_500)
    now_ms = 0
    for name, overhead_ms in (('far', 90), ('near', 5)):
        clients.add(name)
        assert clients.choose(short, 1, now_ms) == name
        now_ms += 10 + overhead_ms
        clients.record_finished(name, now_ms)
    chosen = [clients.choose(short, 1, now_ms) for _ in range(3)]
    assert chosen == ['near', 'near', 'far']


def test_the_tickets_of_a_gang_are_renewed_together():
    advice = _advice.GrantCache()
    included = advice.select_workers(
        's', _candidates(4), 0, gang_policy=POLICY
    )
    _answer(advice, 's', included, ('w0', 'w1'), 100)
    assert (
        advice.select_workers('s', _candidates(4), 200, gang_policy=POLICY)
        == ()
    )
    half = [_advice.Candidate(f'w{n}', n % 2 == 1) for n in range(4)]
    again = advice.select_workers('s', half, 2_000, gang_policy=POLICY)
    assert sorted(again) == ['w0', 'w1']
    full = _candidates(4, has_capacity=False)
    assert advice.select_workers('s', full, 2_000, gang_policy=POLICY) == ()


def test_a_call_for_a_wide_gang_includes_enough_workers():
    """Simulates a gang that needs 10 workers when three in ten are granted."""
    advice = _advice.GrantCache()
    candidates = _candidates(176)
    included = advice.select_workers(
        's', candidates, 0, 10, gang_policy=POLICY
    )
    granted = [one for one in included if int(one[1:]) % 10 < 3]
    _answer(advice, 's', included, granted, 100)
    again = advice.select_workers('s', candidates, 200, 10, gang_policy=POLICY)
    granted += [one for one in again if int(one[1:]) % 10 < 3]
    assert len(included) == 50
    assert len(set(granted)) >= 40
    assert len(again) <= _advice.CALL_WORKERS_MAX


def test_the_tickets_of_a_gang_are_renewed_before_they_run_out():
    """Guards against giving resources reserved for a gang to other steps.

    This happened when the tickets of the gang expired before their renewal.
    """
    advice = _advice.GrantCache()
    included = advice.select_workers(
        's', _candidates(4), 0, gang_policy=POLICY
    )
    _answer(advice, 's', included, ('w0', 'w1'), 0)
    latest_ms = 1_500 - _advice.TICKET_MARGIN_MS - POLICY.call_ms(2)
    early = advice.select_workers(
        's', _candidates(4), latest_ms - 20, gang_policy=POLICY
    )
    assert early == ()
    again = advice.select_workers(
        's', _candidates(4), latest_ms + 20, gang_policy=POLICY
    )
    assert again == ('w0', 'w1')
    assert advice.granted('s') == {'w0', 'w1'}


def test_a_process_that_keeps_failing_is_left_out_for_longer_and_longer():
    clients = _advice.AdviserClientPool()
    clients.add('a')
    asked_ms = []
    for now_ms in range(0, 5_000, 10):
        if clients.choose(POLICY, 1, now_ms):
            asked_ms.append(now_ms)
            clients.record_failed('a', now_ms)
    pauses_ms = [
        later - earlier
        for earlier, later in zip(asked_ms, asked_ms[1:], strict=False)
    ]
    assert pauses_ms == [100, 200, 400, 800, 800, 800, 800, 800]
    assert clients.choose(POLICY, 1, 6_000) == 'a'
    clients.record_finished('a', 6_500)
    assert clients.choose(POLICY, 1, 6_500) == 'a'


def test_failures_at_once_do_not_make_a_process_look_fast():
    clients = _advice.AdviserClientPool()
    short = jobs.AdvicePolicy(10.0, 0.0, 1_500)
    now_ms = 0
    for name, overhead_ms in (('far', 90), ('near', 5)):
        clients.add(name)
        assert clients.choose(short, 1, now_ms) == name
        now_ms += 10 + overhead_ms
        clients.record_finished(name, now_ms)
    for _ in range(10):
        assert clients.choose(short, 1, now_ms) == 'near'
        assert clients.choose(short, 1, now_ms) == 'near'
        assert clients.choose(short, 1, now_ms) == 'far'
        clients.record_failed('far', now_ms)
        now_ms += 20
        clients.record_finished('near', now_ms)
        clients.record_finished('near', now_ms)
        now_ms += 1_000


def test_a_call_that_may_be_repeated_at_once_is_not_delayed():
    advice = _advice.GrantCache()
    included = advice.select_workers('s', _candidates(1), 0)
    advice.record_call('s', 100)
    lost = jobs.AdviceReply((), 0, 'closed')
    advice.record_reply('s', included, lost, 100, may_retry_now=True)
    assert advice.select_workers('s', _candidates(1), 100) == included


def test_renewals_of_tickets_leave_room_for_new_workers():
    """Regression test: a step was only offered workers kept for others."""
    advice = _advice.GrantCache()
    known = _candidates(20)
    included = advice.select_workers('s', known, 0)
    _answer(advice, 's', included, [c.worker_id for c in known], 100)
    new = [_advice.Candidate(f'new{n}', True) for n in range(20)]
    names = advice.select_workers('s', known + new, 5_000)
    assert len(names) == _advice.RENEWAL_WORKERS_MAX
    new_count = sum(name.startswith('new') for name in names)
    assert new_count == _advice.RENEWAL_WORKERS_MAX // 2
