"""The reference worker passes the conformance test, faulty ones fail it."""

import contextlib
import json
import sys

import pytest

from dandeliondrum import testing
from dandeliondrum.testing import _conformance
from dandeliondrum.testing import _subject
from dandeliondrum import worker
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _fence
from dandeliondrum.worker import _heartbeats
from dandeliondrum.worker import _leases
from dandeliondrum.worker.tests import _harness

WAIT_TIMEOUT_MS = 60_000


def failed_checks(name):
    """Run the named check on a worker; return the checks that it fails."""
    checks = [each for each in _conformance.CHECKS if each.__name__ == name]
    assert len(checks) == 1
    with testing.FakeGateway() as gateway, contextlib.ExitStack() as stack:
        subject = worker.Worker(
            _harness.options(gateway.url, heartbeat_ms=100)
        )
        subject.start().unwrap()
        stack.callback(subject.close)
        results = _conformance.check_worker(
            gateway, _subject.Bodies(), _harness.TIMEOUT_MS, checks
        )
        return {each.name for each in results if not each.passed}


def count_lease_from_reply(leases, sent_ms):
    leases._answered_sent_ms = worker.now_ms()


FAULTS = {
    'counts_leases_from_sent_heartbeats': (
        (_leases.Leases, 'record_answered_heartbeat', count_lease_from_reply),
    ),
    'stops_when_its_lease_runs_out': (
        (_leases.Leases, 'accepts_starts', lambda _: True),
    ),
    'renews_leases': (
        (_leases.Leases, 'expires_ms', lambda _, begin, lease: begin + lease),
    ),
    'never_starts_what_was_stopped_before': (
        (_fence.Fence, 'add_tombstone', lambda *_: None),
    ),
    'refuses_lower_tokens_of_a_task': (
        (_fence.Fence, 'is_fenced', lambda *_: False),
    ),
    'refuses_starts_for_another_incarnation': (
        (_fence.Fence, 'is_fenced', lambda *_: False),
    ),
    'refuses_more_than_it_has': (
        (_attempt_table.AttemptTable, '_has_room', lambda *_: True),
    ),
    'reports_ends_until_they_are_acknowledged': (
        (_attempt_table.AttemptTable, 'unacknowledged', lambda _: []),
    ),
    'drops_released_answers': (
        (_attempt_table.AttemptTable, 'release', lambda *_: None),
    ),
    'keeps_an_answer_until_it_is_dropped': (
        (_attempt_table.AttemptTable, 'release', lambda *_: None),
    ),
    'vouches_for_what_never_started': (
        (_attempt_table.AttemptTable, 'never_started', lambda _: []),
    ),
    'stops_what_it_is_told_to': (
        (_attempt_table.AttemptTable, 'stop', lambda *_: None),
    ),
    'begins_again_when_it_is_unknown': (
        (_heartbeats.Heartbeats, '_take_new_incarnation', lambda *_: None),
    ),
}


@pytest.mark.parametrize('name', sorted(FAULTS))
def test_a_faulty_worker_fails_the_check(name, monkeypatch):
    monkeypatch.setattr(_subject, 'WAIT_TIMEOUT_MS', 2_000)
    for cls, attribute, replacement in FAULTS[name]:
        monkeypatch.setattr(cls, attribute, replacement)
    assert failed_checks(name) == {name}


def test_the_reference_worker_passes_the_command(tmp_path):
    address = testing.free_address()
    with testing.Processes(tmp_path) as processes:
        program = testing.Program(
            arguments=(
                sys.executable,
                '-m',
                'dandeliondrum.testing.conformance',
                address,
                '--json_lines',
            ),
            ready_address=address,
        )
        processes.start('conformance', program)
        subject = worker.Worker(
            _harness.options(f'http://{address}', heartbeat_ms=100)
        )
        subject.start().unwrap()
        with contextlib.closing(subject):
            assert testing.wait_for(
                lambda: not processes.is_running('conformance'),
                WAIT_TIMEOUT_MS,
            )
        lines = processes.log('conformance')
    assert len(lines) == len(_conformance.CHECKS)
    assert all(line['passed'] for line in lines), json.dumps(lines)
