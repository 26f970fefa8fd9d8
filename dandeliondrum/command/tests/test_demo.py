"""The exit code of the demo follows from its summary."""

import dataclasses
import json

import pytest

from dandeliondrum.command import _demo
from dandeliondrum import embedded

PASSING = embedded.Summary(
    requests=3,
    answered=1,
    failed=0,
    refused_not_run=1,
    in_doubt=1,
    lost=0,
    run_twice=0,
    over_limit=0,
    overloaded_workers=0,
    other_violations=0,
    replicas=1,
    replicas_started=1,
    gang_tasks=4,
    gang_tasks_started=4,
    never_started=0,
    wait_p50_ms=1.0,
    wait_p99_ms=2.0,
    packing_ratio=None,
    share_error_max=None,
    full_ms=0,
)


def run_demo(monkeypatch, summary):
    demo_result = embedded.DemoResult(summary, 'the tables')
    monkeypatch.setattr(embedded, 'run', lambda *_, **__: demo_result)
    return _demo.demo(20, 1, '')


def test_a_passing_run_exits_with_0(monkeypatch):
    report = run_demo(monkeypatch, PASSING)
    assert report.code == 0
    last = report.text.splitlines()[-1]
    assert json.loads(last) == dataclasses.asdict(PASSING)


@pytest.mark.parametrize(
    'name',
    (
        'lost',
        'run_twice',
        'over_limit',
        'overloaded_workers',
        'other_violations',
    ),
)
def test_a_violation_exits_with_1(monkeypatch, name):
    failing = dataclasses.replace(PASSING, **{name: 1})
    assert run_demo(monkeypatch, failing).code == 1
