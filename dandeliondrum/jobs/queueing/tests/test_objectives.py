"""Latest start times of steps and submission times of jobs."""

from dandeliondrum.jobs import _records
from dandeliondrum.jobs import queueing
from dandeliondrum.jobs.tests import helpers

NOW_MS = 1_000_000
UNIX_MS = 1_700_000_000_000


def _record(name, submitted_ms):
    spec = helpers.job(name, helpers.step(), submitted_ms=submitted_ms)
    return {spec.job_id: _records.JobRecord(spec, [])}


def test_steps_of_a_chain_may_start_the_later_the_less_comes_after_them():
    steps = [
        helpers.step(expected_run_ms=1_000),
        helpers.step(expected_run_ms=300),
        helpers.step(expected_run_ms=1_000, after=(0, 1)),
    ]
    found = queueing.slack_ms(steps, helpers.queue(2.0, 500))
    assert found == [2_500, 3_200, 3_500]


def test_endless_steps_and_queues_without_a_target_have_no_objective():
    steps = [helpers.step(expected_run_ms=1_000), helpers.step(endless=True)]
    assert queueing.slack_ms(steps, helpers.queue(2.0, 0)) == [None, None]
    assert queueing.slack_ms(steps, helpers.queue(2.0, 100))[1] is None


def test_the_age_of_jobs_from_before_the_term_is_known_by_the_time_of_day():
    times = queueing.SubmissionTimes()
    times.update(_record('old', UNIX_MS - 5_000), NOW_MS, UNIX_MS)
    assert times.submitted_ms('old') == NOW_MS - 5_000


def test_a_gateway_with_a_wrong_clock_makes_no_new_job_old_or_young():
    times = queueing.SubmissionTimes()
    times.update({}, NOW_MS, UNIX_MS)
    jobs = _record('behind', UNIX_MS - 60_000) | _record('ahead', UNIX_MS * 2)
    times.update(jobs, NOW_MS + 10, UNIX_MS + 10)
    times.update(jobs, NOW_MS + 20, UNIX_MS + 20)
    assert times.submitted_ms('behind') == NOW_MS + 10
    assert times.submitted_ms('ahead') == NOW_MS + 10


def test_a_job_submitted_in_the_future_is_not_younger_than_now():
    times = queueing.SubmissionTimes()
    times.update(_record('ahead', UNIX_MS + 9_000), NOW_MS, UNIX_MS)
    assert times.submitted_ms('ahead') == NOW_MS
