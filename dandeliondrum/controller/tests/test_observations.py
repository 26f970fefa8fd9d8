"""Tests of the estimates that the leader derives from ended attempts."""

import dataclasses

from dandeliondrum.controller import _observations
from dandeliondrum.controller import _records
from dandeliondrum.controller.tests import builders
from dandeliondrum import messages


def end(observations, task_spec, peak, number=0):
    task = _records.TaskRecord(task_spec, messages.TaskState.DONE, 0)
    report = messages.AttemptReport(
        messages.AttemptId(f'{task_spec.task_id}#{number}'),
        messages.AttemptState.FINISHED,
        run_ms=100,
        peak_resources=peak,
    )
    ended = _records.EndedAttempt(task, messages.WorkerId('lathe-1'), report)
    observations.record_end(ended, number)


def test_sizes_do_not_climb_when_reports_repeat_what_was_granted():
    observations = _observations.Observations()
    declared = builders.spec('t')
    for number in range(200):
        sized = observations.with_estimated_memory(declared)
        peak = sized.resources if number % 2 else None
        end(observations, sized, peak, number)
    assert (
        observations.with_estimated_memory(declared).resources
        == declared.resources
    )


def test_memory_that_tasks_overrun_is_granted_from_then_on():
    observations = _observations.Observations()
    declared = builders.spec('t')
    observations.set_worker_sizes([messages.Resources(16_000, 32_768)])
    used = dataclasses.replace(declared.resources, memory_mb=3_000)
    for number in range(100):
        end(
            observations,
            observations.with_estimated_memory(declared),
            used,
            number,
        )
    sized = observations.with_estimated_memory(declared).resources
    assert 3_000 <= sized.memory_mb <= 4_000
    assert sized.cpu_millicores == declared.resources.cpu_millicores


def test_no_size_is_above_what_a_worker_has():
    observations = _observations.Observations()
    declared = builders.spec('t')
    observations.set_worker_sizes([messages.Resources(16_000, 2_048)])
    used = dataclasses.replace(declared.resources, memory_mb=9_000)
    for number in range(100):
        end(
            observations,
            observations.with_estimated_memory(declared),
            used,
            number,
        )
    assert (
        observations.with_estimated_memory(declared).resources.memory_mb
        == 2_048
    )


def test_a_service_that_fails_after_long_does_not_count_against_its_worker():
    """Regression test: failures of days put the worker in quarantine."""
    observations = _observations.Observations()
    recorded = []
    observations._health.record = lambda *args: recorded.append(args[2])
    spec = builders.spec('s', task_class=messages.TaskClass.SERVICE)
    task = _records.TaskRecord(spec, messages.TaskState.QUEUED, 0)
    for run_ms in (_observations.SERVICE_AT_WORK_MS, 100):
        report = messages.AttemptReport(
            messages.AttemptId('harbour/s#1'),
            messages.AttemptState.FAILED,
            run_ms=run_ms,
        )
        ended = _records.EndedAttempt(
            task, messages.WorkerId('lathe-1'), report
        )
        observations.record_end(ended, 0)
    assert recorded == [False]
