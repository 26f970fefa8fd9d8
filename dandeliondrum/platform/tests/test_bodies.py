"""Tests of decoding the bodies of callers and workers."""

import json

import pytest

from dandeliondrum import jobs
from dandeliondrum import messages
from dandeliondrum.platform import _bodies
from dandeliondrum.platform import _fields

STEP = {'Count': 2, 'Cpu': 500, 'MemMb': 256, 'EstimateMs': 900}
REPORT = {
    'Service': 'pool',
    'Address': '10.128.0.9:8080',
    'Zone': 'sattahip',
    'State': 'ready',
    'Capacity': {'Cpu': 16_000, 'MemMb': 32_768, 'Gpu': 0},
    'Labels': ['a', 'r1-3'],
    'Seq': 4,
    'born': 17,
}


def _job(**fields):
    body = json.dumps({'Spec': 'text', 'Steps': [STEP], **fields}).encode()
    return _bodies.decode_job_spec(body, jobs.JobId('0' * 16), 't', 'q', 5)


def _report(**fields):
    body = json.dumps({**REPORT, **fields}).encode()
    return _bodies.decode_worker_report(body, 'i-1')


def test_decodes_job():
    later = {**STEP, 'After': [0], 'Gang': True, 'AntiAffinity': 3}
    spec = _job(Steps=[STEP, later])
    assert spec.steps[0].tasks_count == 2
    assert spec.steps[1].after == (0,)
    assert spec.steps[1].gang
    assert spec.steps[1].per_worker_max == 3


@pytest.mark.parametrize(
    'fields',
    [
        {'Steps': []},
        {'Steps': [{}]},
        {'Steps': [{**STEP, 'Count': -1}]},
        {'Steps': [{**STEP, 'Count': 10**9}]},
        {'Steps': [{**STEP, 'EstimateMs': 2**64}]},
        {'Steps': [{**STEP, 'Cpu': 10**400}]},
        {'Steps': [{**STEP, 'After': [0]}]},
        {'Steps': [{**STEP, 'After': ['0']}]},
        {'Steps': 'all'},
        {'Spec': 5},
        {'Spec': 'x' * 5_000},
        {'RepeatCount': 3},
    ],
)
def test_rejects_invalid_job(fields):
    with pytest.raises(_fields.FieldError):
        _job(**fields)


def test_decodes_worker_report():
    report = _report()
    facts = report.facts
    assert (facts.rack, facts.started_ms, report.sequence) == ('r1-3', 17, 4)
    assert facts.capacity.cpu_millicores == 16_000
    assert report.leaves_in_ms is None
    shrunk = _report(Capacity={'Cpu': 0, 'MemMb': 0, 'Gpu': 0})
    assert shrunk.facts.capacity == messages.Resources(0, 0)
    draining = _report(State='draining', RemainingMs=2_500)
    assert draining.facts.phase is jobs.WorkerPhase.DRAINING
    assert draining.leaves_in_ms == 2_500


@pytest.mark.parametrize(
    'fields',
    [
        {'State': 'unknown'},
        {'State': None},
        {'Address': 'nowhere'},
        {'Capacity': 16},
        {'Capacity': None},
        {'Capacity': {'Cpu': -1}},
        {'Capacity': {'Cpu': 1.5}},
        {'Capacity': {'MemMb': None}},
        {'Labels': [1]},
        {'Seq': '4'},
        {'Service': None},
        {'RemainingMs': 'soon'},
    ],
)
def test_rejects_invalid_worker_report(fields):
    with pytest.raises(_fields.FieldError):
        _report(**fields)


def test_decodes_worker_lists():
    body = {
        'TimeMs': 9,
        'born': 17,
        'Running': [['0a.0.1.17', 2, 'c', 41, 700], ['odd', 1, '', 0, 0]],
        'Ended': [[58, '0a.0.1.9', 1, 'done', ''], [59, 'odd', 1, 'x', '']],
    }
    lists = _bodies.decode_worker_lists(json.dumps(body).encode(), 500)
    assert [(str(run.task), run.run) for run in lists.runs] == [
        ('0a.0.1.17', 2)
    ]
    assert lists.ends[0].sequence == 58
    assert lists.ends[0].end.outcome is jobs.RunOutcome.DONE
    assert lists.ends_complete
    assert not _bodies.decode_worker_lists(
        json.dumps(body).encode(), 2
    ).ends_complete
