"""Short soak runs of the platform's programs, and tests of their checks."""

import concurrent.futures
import dataclasses
import itertools
import threading
import time
import types

import pytest

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.testing import _soak
from dandeliondrum.testing import _soak_callers
from dandeliondrum.testing import _soak_checker
from dandeliondrum.testing import _soak_faults
from dandeliondrum.testing import _soak_overload
from dandeliondrum.testing import _soak_reports
from dandeliondrum.testing import _soak_size

# Seeds that ever failed stay here, with a line on the cause.
SEEDS = (
    1,
    # A controller got SIGTERM while its interpreter still started, so it ended
    # by the signal; a fault now waits until a restarted process listens.
    3,
    # A second disk was lost while the controllers that could fill the first
    # one were down, which is beyond what three controllers bear; the soak now
    # keeps them up until a lost disk is filled.
    7,
)
# Seeds with link faults. The seeds above run without them, so that they draw
# the same faults as before link faults were added.
SEEDS_WITH_LINKS = (101,)
SHRINKAGE_SEED = 751
RECUT_SEED = 901
DEADLY_SEED = 802
DEADLY_SHARE = 0.05
LENGTH_S = 8
EVACUATION_SEED = 3001
# Evacuations are checked from 5 s after their acknowledgement on.
EVACUATION_LENGTH_S = 16
CROWDS_SEED = 4001
OVERLOAD_SEED = 301
OVERLOAD_FAULTS_S = 3
OVERLOAD_S = 3
CAPACITY = messages.Resources(1_000, 100)
TEXT = _soak_checker.payload(600)


@pytest.mark.parametrize(
    ('seed', 'links'),
    [
        *((seed, False) for seed in SEEDS),
        *((seed, True) for seed in SEEDS_WITH_LINKS),
    ],
)
def test_a_soak_sees_nothing_that_must_never_happen(seed, links, tmp_path):
    options = _soak.SoakOptions(seed, LENGTH_S, tmp_path, links)
    outcome = _soak.run_soak(options)
    assert outcome.violations == ()
    assert outcome.accepted_count > 0
    assert outcome.faults


def test_a_soak_with_shrinking_workers_sees_nothing_that_must_never_happen(
    tmp_path,
):
    options = _soak.SoakOptions(
        SHRINKAGE_SEED, LENGTH_S, tmp_path, series=True, shrinks=True
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert any(name.startswith('shrunken') for name in outcome.faults)


def test_a_soak_with_workers_that_are_cut_off_after_a_restart_sees_nothing(
    tmp_path,
):
    options = _soak.SoakOptions(
        RECUT_SEED, LENGTH_S, tmp_path, series=True, recuts=True
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert any(name.startswith('cut off after') for name in outcome.faults)


def test_a_soak_with_evacuations_sees_nothing_that_must_never_happen(tmp_path):
    """Also guards against jobs that are stranded in an evacuated domain."""
    options = _soak.SoakOptions(
        EVACUATION_SEED,
        EVACUATION_LENGTH_S,
        tmp_path,
        series=True,
        evacuations=True,
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert any(name.startswith('evacuated') for name in outcome.faults)


def test_a_soak_with_crowds_sees_nothing_that_must_never_happen(tmp_path):
    """Jobs have to be taken and run beside clients that nobody controls."""
    options = _soak.SoakOptions(
        CROWDS_SEED, LENGTH_S, tmp_path, links=False, crowds=True
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert any(name.startswith('crowd') for name in outcome.faults)


def test_a_soak_with_deadly_jobs_sees_nothing_that_must_never_happen(tmp_path):
    options = _soak.SoakOptions(
        DEADLY_SEED,
        LENGTH_S,
        tmp_path,
        series=True,
        deadly_share=DEADLY_SHARE,
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)
    assert outcome.crashes_count


def test_a_soak_with_an_overload_sees_nothing_that_must_never_happen(tmp_path):
    options = _soak.SoakOptions(
        OVERLOAD_SEED,
        OVERLOAD_FAULTS_S,
        tmp_path,
        series=True,
        overload_s=OVERLOAD_S,
        size=_soak_size.SIZES['medium'],
    )
    outcome = _soak.run_soak(options)
    assert outcome.violations == (), _soak.describe(options, outcome)


@pytest.fixture
def checker():
    made = _soak_checker.InvariantChecker()
    made.submitted('j', TEXT)
    return made


def _worker(name, checker, run_ms=60_000):
    return _soak_checker.CheckedWorker(name, CAPACITY, run_ms, checker)


def _start(worker, task, run=1, text=TEXT, lease_until_ms=60_000):
    return worker.start(
        jobs.StartOrder(
            worker.facts,
            1,
            jobs.parse_task_key(task),
            run,
            text,
            lease_until_ms,
            '',
            '',
        )
    )


def _renew(worker, acknowledged_number):
    return worker.renew(
        jobs.LeaseRequest(worker.facts, 1, acknowledged_number, 60_000, 0)
    )


def test_the_checker_notices_a_task_that_runs_twice(checker):
    _start(_worker('w1', checker), 'j.0.0.0')
    _start(_worker('w2', checker), 'j.0.0.0', run=2)
    assert checker.violations == ['w2: j.0.0.0 starts twice']


def test_the_checker_notices_a_start_after_an_end_was_acknowledged(checker):
    worker = _worker('w1', checker, run_ms=0)
    _start(worker, 'j.0.0.0')
    ends = _renew(worker, 0).ends
    _renew(worker, ends[0].sequence)
    _start(worker, 'j.0.0.0', run=2)
    assert checker.violations == [
        'w1: j.0.0.0 starts after its end was acknowledged'
    ]


def test_the_checker_notices_an_overloaded_worker(checker):
    worker = _worker('w1', checker)
    _start(worker, 'j.0.0.0')
    _start(worker, 'j.0.0.1')
    assert checker.violations == ['w1: overloaded by j.0.0.1']


def test_the_checker_notices_what_nobody_submitted(checker):
    _start(_worker('w1', checker), 'k.0.0.0')
    assert checker.violations == [
        'w1: k.0.0.0 was not submitted with this payload'
    ]


def test_a_worker_that_starts_again_runs_nothing(checker):
    worker = _worker('w1', checker)
    _start(worker, 'j.0.0.0')
    worker.restart()
    _start(_worker('w2', checker), 'j.0.0.0', run=2)
    assert checker.violations == []


def test_a_worker_that_starts_again_holds_no_orders_of_before(checker):
    worker = _worker('w1', checker)
    worker.delays_starts = True
    _start(worker, 'j.0.0.0')
    worker.restart()
    worker.carry_out_late_starts()
    assert checker.starts_count == 0


def test_a_run_whose_lease_has_lapsed_on_its_worker_has_ended(checker):
    _start(_worker('w1', checker), 'j.0.0.0', lease_until_ms=20)
    time.sleep(0.05)
    _start(_worker('w2', checker), 'j.0.0.0', run=2)
    assert checker.violations == []


@pytest.mark.parametrize('renews', [False, True])
def test_an_end_is_not_taken_note_of_after_the_lease_has_lapsed(
    renews, checker
):
    worker = _worker('w1', checker, run_ms=0)
    _start(worker, 'j.0.0.0', lease_until_ms=20)
    worker.running()
    time.sleep(0.05)
    request = jobs.LeaseRequest(
        worker.facts, 1, 0, 60_000 if renews else None, 0
    )
    (end,) = worker.renew(request).ends
    worker.renew(
        dataclasses.replace(request, acknowledged_number=end.sequence)
    )
    _start(_worker('w2', checker), 'j.0.0.0', run=2)
    assert checker.violations == []


def test_a_task_that_starts_twice_on_a_worker_loads_it_once(checker):
    worker = _worker('w1', checker)
    _start(worker, 'j.0.0.0')
    _start(worker, 'j.0.0.0', run=2)
    assert checker.violations == ['w1: j.0.0.0 starts twice']
    worker.restart()
    _start(worker, 'j.0.0.1')
    assert checker.violations == ['w1: j.0.0.0 starts twice']


def test_the_checker_notices_a_start_of_a_refused_job(checker):
    checker.refused('j')
    _start(_worker('w1', checker), 'j.0.0.0')
    assert checker.violations == ['w1: j.0.0.0 was refused but starts']


def test_the_checker_notices_a_refusal_of_a_job_that_runs(checker):
    _start(_worker('w1', checker), 'j.0.0.0')
    checker.refused('j')
    assert checker.violations == ['j was refused but started']


DEADLY_TEXT = _soak_checker.payload(400, deadly=True)
DEADLY_TASK = 'd.0.0.0'


@pytest.fixture
def deadly_checker(checker):
    checker.submitted('d', DEADLY_TEXT, deadly=True)
    return checker


def _crash_under(checker, task, text, count):
    """Start a task on workers that crash then; return the next run."""
    for run in range(1, count + 1):
        worker = _worker(f'w{run}', checker)
        _start(worker, task, run, text)
        worker.crash()
    return count + 1


def test_a_deadly_task_crashes_its_worker(deadly_checker):
    worker = _worker('w1', deadly_checker)
    _start(worker, DEADLY_TASK, text=DEADLY_TEXT)
    time.sleep(0.05)
    assert worker.is_down() and deadly_checker.crashes_count == 1
    _start(_worker('w2', deadly_checker), DEADLY_TASK, 2, DEADLY_TEXT)
    assert deadly_checker.violations == []


def test_the_checker_notices_a_task_that_crashes_workers_for_ever(
    deadly_checker,
):
    run = _crash_under(deadly_checker, DEADLY_TASK, DEADLY_TEXT, 5)
    assert deadly_checker.violations == []
    for name in ('w6', 'w7'):
        worker = _worker(name, deadly_checker)
        _start(worker, DEADLY_TASK, run, DEADLY_TEXT)
        worker.crash()
    assert deadly_checker.violations == [
        'w6: d.0.0.0 starts again after 5 crashes'
    ]


def test_a_task_whose_workers_crash_for_other_causes_may_start_again(checker):
    _crash_under(checker, 'j.0.0.0', TEXT, 7)
    assert checker.violations == []


@pytest.mark.parametrize('crashes_count', [0, 1])
def test_the_checker_notices_a_deadly_job_that_failed_too_soon(
    crashes_count, deadly_checker
):
    _crash_under(deadly_checker, DEADLY_TASK, DEADLY_TEXT, crashes_count)
    deadly_checker.shown_as_failed('d')
    assert deadly_checker.violations == ['d is failed for no fault of it']


def test_a_deadly_job_may_fail_after_two_crashes(deadly_checker):
    _crash_under(deadly_checker, DEADLY_TASK, DEADLY_TEXT, 2)
    deadly_checker.shown_as_failed('d')
    assert deadly_checker.violations == []


def test_the_checker_notices_a_job_that_failed_for_the_crashes_of_another(
    deadly_checker,
):
    for run in range(1, 4):
        worker = _worker(f'w{run}', deadly_checker)
        _start(worker, 'j.0.0.0', run)
        _start(worker, DEADLY_TASK, run, DEADLY_TEXT)
        worker.crash()
    deadly_checker.shown_as_failed('j')
    assert deadly_checker.violations == ['j is failed for no fault of it']


@pytest.mark.parametrize('failures_count', [2, 3])
def test_the_checker_notices_a_job_that_failed_before_its_last_attempt(
    failures_count, checker
):
    worker = _worker('w1', checker, run_ms=0)
    worker.fails = True
    for run in range(1, failures_count + 1):
        _start(worker, 'j.0.0.0', run)
        worker.running()
    checker.shown_as_failed('j')
    assert len(checker.violations) == (failures_count < 3)


def _shrink(worker, checker, cpu_millicores):
    checker.reported(worker.facts)
    _soak_faults._set_cpu(worker, cpu_millicores)
    checker.reported(worker.facts)


@pytest.mark.parametrize(
    ('reports', 'expected'),
    [(True, ['w1: overloaded by j.0.0.0']), (False, [])],
)
def test_the_checker_notices_an_overload_long_after_a_shrinkage_was_reported(
    reports, expected, checker, monkeypatch
):
    monkeypatch.setattr(_soak_checker, 'CAPACITY_GRACE_S', 0.05)
    worker = _worker('w1', checker)
    if reports:
        _shrink(worker, checker, 500)
    else:
        checker.reported(worker.facts)
        _soak_faults._set_cpu(worker, 500)
    time.sleep(0.1)
    _start(worker, 'j.0.0.0')
    assert checker.violations == expected


def test_a_worker_that_has_just_shrunk_may_be_given_what_it_had(checker):
    worker = _worker('w1', checker)
    _shrink(worker, checker, 500)
    _start(worker, 'j.0.0.0')
    assert checker.violations == []
    _start(worker, 'j.0.0.1')
    assert checker.violations == ['w1: overloaded by j.0.0.1']


def test_a_worker_may_use_what_it_has_grown_by(checker, monkeypatch):
    monkeypatch.setattr(_soak_checker, 'CAPACITY_GRACE_S', 0)
    worker = _worker('w1', checker)
    _shrink(worker, checker, 500)
    _soak_faults._set_cpu(worker, 1_200)
    _start(worker, 'j.0.0.0')
    _start(worker, 'j.0.0.1')
    assert checker.violations == []


def test_a_start_that_is_carried_out_late_may_use_what_was_there(
    checker, monkeypatch
):
    monkeypatch.setattr(_soak_checker, 'CAPACITY_GRACE_S', 0)
    worker = _worker('w1', checker)
    worker.delays_starts = True
    _start(worker, 'j.0.0.0')
    _shrink(worker, checker, 500)
    time.sleep(0.01)
    worker.carry_out_late_starts()
    assert checker.violations == []


def test_shrunken_workers_are_drawn_and_grow_again(checker, monkeypatch):
    monkeypatch.setattr(_soak_faults, 'SHRINKAGE_DURATION_S', (0, 0))
    injector = _injector(checker, shrinks=True)
    drawn = [injector.draw()[0] for _ in range(100)]
    shrinkages = [one for one in drawn if one[0].startswith('shrunken w')]
    assert 10 < len(shrinkages) < 40
    for _, shrink in shrinkages:
        shrink()
    assert {one.facts.capacity for one in injector._workers} == {CAPACITY}


def test_a_worker_that_is_cut_off_after_a_restart_carries_out_calls_of_before(
    checker, monkeypatch
):
    for name, length_s in (('BEFORE', 0), ('BACK', 0.2), ('CUT', 0)):
        monkeypatch.setattr(
            _soak_faults, f'RECUT_{name}_S', (length_s, length_s)
        )
    injector = _injector(checker, recuts=True)
    drawn = [injector.draw()[0] for _ in range(100)]
    recuts = [one for one in drawn if one[0].startswith('cut off after')]
    assert 10 < len(recuts) < 45
    name, cut_again = recuts[0]
    worker = next(
        one for one in injector._workers if one.ids[0] == name.split()[-1]
    )
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        recut = executor.submit(cut_again)
        while not worker.is_dark:
            time.sleep(0.001)
        started = executor.submit(_start, worker, 'j.0.0.0')
        recut.result()
        assert isinstance(started.result(), jobs.Accepted)
    assert checker.starts_count == 1
    assert not worker.is_dark and not worker.silent
    assert worker.run_ms == 60_000


@pytest.mark.parametrize(
    ('late', 'restored', 'violations_count'),
    [(False, False, 1), (True, False, 0), (False, True, 0)],
)
def test_the_checker_notices_a_start_in_an_evacuated_domain(
    late, restored, violations_count, checker, monkeypatch
):
    monkeypatch.setattr(_soak_checker, 'EVACUATION_GRACE_S', 0.05)
    worker = _worker('w1', checker)
    checker.evacuated(worker.facts.failure_domain)
    _start(_worker('w2', checker), 'j.0.0.1')
    assert checker.violations == []
    worker.delays_starts = late
    if late:
        _start(worker, 'j.0.0.0')
    time.sleep(0.1)
    if restored:
        checker.restored(worker.facts.failure_domain)
    if late:
        worker.carry_out_late_starts()
    else:
        _start(worker, 'j.0.0.0')
    assert len(checker.violations) == violations_count


def test_a_share_of_the_jobs_is_deadly_and_the_others_are_as_before():
    def draw(share):
        drawn = _soak_callers.soak_jobs(5, 0, share)
        return list(itertools.islice(drawn, 100))

    some = draw(0.1)
    deadly = [job for job in some if job.deadly]
    assert 0 < len(deadly) < 30
    assert all('deadly' in job.payload for job in deadly)
    for before, job in zip(draw(0), some, strict=True):
        assert job == before or job.deadly


def test_a_seed_draws_the_same_jobs_in_any_thread():
    def draw(caller):
        return list(itertools.islice(_soak_callers.soak_jobs(5, caller), 20))

    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        assert executor.submit(draw, 1).result() == draw(1)
    ids = {job.job_id for caller in (0, 1) for job in draw(caller)}
    assert len(ids) == 40
    assert [job.body for job in draw(0)] != [job.body for job in draw(1)]


def _injector(checker, **options):
    links = {name: types.SimpleNamespace(silence=None) for name in ('g0',)}
    cell = types.SimpleNamespace(
        links=links,
        control=['c0', 'c1', 'c2'],
        callers=['g0', 'g1'],
        controller='c{}'.format,
    )
    workers = [_worker(f'w{number}', checker) for number in range(3)]
    return _soak_faults.FaultInjector(cell, workers, checker, 9, 3, **options)


@pytest.mark.parametrize('series', [False, True])
def test_a_seed_injects_the_same_faults_however_long_they_last(
    series, checker, monkeypatch
):
    monkeypatch.setattr(_soak_faults, 'FAULT_INTERVAL_S', (0.001, 0.002))

    def inject(duration_s):
        injector = _injector(checker, series=series)
        draw = injector.draw

        def draw_harmless():
            (name, _), pause_s = draw()
            return (name, lambda: time.sleep(duration_s)), pause_s

        monkeypatch.setattr(injector, 'draw', draw_harmless)
        with concurrent.futures.ThreadPoolExecutor(3) as executor:
            injector.inject(executor, 0.4)
        return injector.names

    short, long = inject(0.0), inject(0.03)
    assert len(short) > len(long) > 5
    assert short[: len(long)] == long


def test_series_of_faults_restart_workers_and_signal_processes(checker):
    injector = _injector(checker, series=True)
    names = [injector.draw()[0][0] for _ in range(200)]
    series = [name for name in names if ', ' in name]
    kinds = {name.partition(' ')[0] for name in series}
    assert kinds == {'kill', 'freeze', 'stop', 'restart'}


def test_a_soak_that_needs_half_of_the_memory_is_not_started():
    large = _soak_size.SIZES['large']
    assert _soak_size.check_machine(large, 32_000, 30_000) is None
    needed = f'the soak needs {large.memory_mb} MB'
    assert needed in _soak_size.check_machine(large, 16_000, 15_000)
    assert needed in _soak_size.check_machine(large, 32_000, 8_000)


def test_a_soak_stays_below_16_gb_and_300_processes():
    small = _soak_size.SIZES['small']
    gateways = dataclasses.replace(small, gateways_count=90)
    assert 'MB of memory' in _soak_size.check_machine(gateways, 10**6, 10**6)
    gateways = dataclasses.replace(small, gateways_count=296)
    assert '300 processes' in _soak_size.check_machine(gateways, 10**6, 10**6)


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'controllers_count': 4}, 'an odd number of controllers'),
        ({'workers_count': 0}, 'at least one gateway and one worker'),
    ],
)
def test_a_soak_of_an_impossible_size_is_not_started(changes, expected):
    size = dataclasses.replace(_soak_size.SIZES['small'], **changes)
    assert expected in _soak_size.check_machine(size, 10**6, 10**6)


ACCEPTED = _soak_overload.LoadReply('j1', 200, 1.0, 0.1, '')
REFUSED = _soak_overload.LoadReply('j2', 503, 0.0, 0.1, '1')
BORNE = _soak_overload.OverloadFigures(
    replies=(ACCEPTED, REFUSED),
    acknowledged_s=(0.1, 6.0),
    unreported_s=6.0,
    rate_before=20.0,
    rate_after=18.0,
    recovered_after_s=0.0,
)


def test_an_overload_that_is_borne_violates_nothing():
    assert list(_soak_overload.check_overload(BORNE)) == []


def test_jobs_sent_before_the_first_refusal_may_wait():
    waiting = dataclasses.replace(ACCEPTED, status=504, sent_s=0.05)
    figures = dataclasses.replace(BORNE, replies=(ACCEPTED, REFUSED, waiting))
    assert list(_soak_overload.check_overload(figures)) == []


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        ({'replies': (REFUSED,)}, 'no job was accepted'),
        ({'replies': (ACCEPTED,)}, 'no job was refused'),
        (
            {
                'replies': (
                    ACCEPTED,
                    dataclasses.replace(REFUSED, retry_after=''),
                )
            },
            'j2 was refused without a time to retry',
        ),
        (
            {
                'replies': (
                    *8 * (ACCEPTED,),
                    REFUSED,
                    dataclasses.replace(REFUSED, sent_s=1.0, elapsed_s=1.1),
                    dataclasses.replace(ACCEPTED, status=504),
                )
            },
            '2 of 10 jobs were refused late or got no definite reply',
        ),
        ({'acknowledged_s': (0.1, 6.1)}, 'a valid document was not'),
        ({'acknowledged_s': (None, 0.1)}, 'a valid document was not'),
        ({'unreported_s': 6.1}, 'reports of a worker were not acknowledged'),
        ({'rate_after': 17.9}, '17.9 jobs/s were served'),
    ],
)
def test_each_violation_of_an_overload_is_noticed(changes, expected):
    figures = dataclasses.replace(BORNE, **changes)
    (violation,) = _soak_overload.check_overload(figures)
    assert expected in violation


def test_a_worker_whose_reports_are_not_acknowledged_is_noticed(
    checker, monkeypatch
):
    monkeypatch.setattr(_soak_reports, 'REPORT_EVERY_S', 0.01)
    worker, other = (
        types.SimpleNamespace(worker=_worker(name, checker))
        for name in ('w1', 'w2')
    )

    def report(one, _number, _timeout_ms):
        return 503 if one is other else 200

    stopping = threading.Event()
    cell = types.SimpleNamespace(
        workers=[worker], control=['c0', 'c1'], report=report
    )
    for workers, seconds_min, seconds_max in (
        ([worker], 0.0, 0.2),
        ([worker, other], 0.4, 5.0),
    ):
        cell.workers = workers
        stopping.clear()
        reporter = _soak_reports.WorkerReporter(cell, stopping)
        reporter.watch()
        with concurrent.futures.ThreadPoolExecutor(2) as executor:
            for position in range(len(workers)):
                executor.submit(reporter.run, position)
            time.sleep(0.4)
            silence_s = reporter.longest_silence_s()
            stopping.set()
        assert seconds_min <= silence_s <= seconds_max
