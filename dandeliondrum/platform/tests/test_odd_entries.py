"""Odd entries of other writers cost themselves, not their neighbours."""

import contextlib
import dataclasses
import json
import math
import random
import time

import pytest
from returns import result
import structlog

from dandeliondrum import jobs
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _commands
from dandeliondrum.jobs import _orders
from dandeliondrum.jobs import _workers
from dandeliondrum.jobs.tests import helpers
from dandeliondrum import messages
from dandeliondrum.platform import _bodies
from dandeliondrum.platform import _documents
from dandeliondrum.platform import _fields
from dandeliondrum.platform import _http_ports
from dandeliondrum.platform.tests import test_bodies
from dandeliondrum import testing
from dandeliondrum import utils

JOB_ID = jobs.JobId('0' * 16)
RUN = ['0a.0.1.17', 2, 'c', 41, 700]
END = [58, '0a.0.1.9', 1, 'done', '']
DEEP = '[' * 100_000 + ']' * 100_000
SURROGATE = '\ud800'
ODD_ADDRESSES = (
    'h:99999',
    'h:0',
    'a b:80',
    '10.0.0.1:８０',
    '10.0.0.1:²',
    f'{SURROGATE}:80',
    'ä:80',
    '10.0.0.1:080',
    '10.0.0.1:' + '9' * 5_000,
    '10.0.0.1',
    ':80',
    'user@h:80',
    'h/x:80',
    '::1:80',
    'h\r\nX: y:80',
)
# Those that messages can carry, and that earlier versions stored.
STORED_ADDRESSES = tuple(
    address
    for address in ODD_ADDRESSES
    if SURROGATE not in address and len(address) < 1_000
)
ODD_VALUES = (
    None,
    True,
    -1,
    0,
    1.5,
    2**63,
    2**70,
    -(2**70),
    10**400,
    math.inf,
    math.nan,
    '',
    '９',
    '1' * 5_000,
    SURROGATE,
    'x' * 100_000,
    '0a.0.1.' + '9' * 400,
    '0a.0.１.1',
    '0a.5.1.1',
    '0a.0.01.1',
    [],
    {},
    [[]],
    {'Cpu': 2**70},
)


def _is_stored(message):
    return messages.decode(messages.encode(message)) == result.Success(message)


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_a_report_with_an_odd_address_is_refused(address):
    with pytest.raises(_fields.FieldError):
        test_bodies._report(Address=address)


@pytest.mark.parametrize(
    'address', ['10.0.0.1:1', 'w-1.example:65535', '[::1]:80']
)
def test_a_report_with_a_sound_address_is_used(address):
    assert test_bodies._report(Address=address).facts.address == address


@pytest.mark.parametrize(
    'worker_id', ['', 'a b', 'ä', 'x' * 129, 'i\r\nX: y', SURROGATE]
)
def test_an_id_that_no_header_can_carry_is_refused(worker_id):
    """Regression test: a line break in it added headers to calls."""
    body = json.dumps(test_bodies.REPORT).encode()
    with pytest.raises(_fields.FieldError):
        _bodies.decode_worker_report(body, worker_id)
    with pytest.raises(_fields.FieldError):
        _bodies.decode_shutdown(b'', worker_id)


@contextlib.contextmanager
def _leader(resources, run_ms=60_000):
    """Workers of a leader that calls them over HTTP, with one job."""
    machine = helpers.Machine(())
    sound = testing.HttpWorker(
        testing.FakeWorker('sound', messages.Resources(4_000, 1_000), run_ms),
        '127.0.0.1:0',
    )
    sound.server.start()
    resources.callback(sound.server.close)
    port = _http_ports.HttpWorkerPort()
    resources.callback(port.close)
    term = helpers.new_term(helpers.LocalNode(machine), port)
    supervisor = utils.Supervisor('test')
    workers = _workers.Workers(term, supervisor)
    resources.callback(supervisor.close)
    resources.callback(workers.close)
    report = _bodies.decode_worker_report(
        sound.report(), messages.WorkerId('sound')
    )
    yield machine, workers, term, report


def _restore(machine, way):
    """Bring the state back as a restart does."""
    if way == 'snapshot':
        machine.state.restore(machine.state.snapshot())


@pytest.mark.parametrize('way', ['log', 'snapshot'])
def test_stored_odd_workers_do_not_disturb_a_sound_one(way):
    """Regression test: the thread of each failed and started again."""
    with contextlib.ExitStack() as resources:
        machine, workers, term, report = resources.enter_context(
            _leader(resources)
        )
        for number, address in enumerate(STORED_ADDRESSES):
            facts = dataclasses.replace(
                report.facts, worker_id=f'odd{number}', address=address
            )
            machine(_commands.PutWorker(facts))
        odd_id = messages.WorkerId('i\r\nX: y')
        machine(
            _commands.PutWorker(
                dataclasses.replace(report.facts, worker_id=odd_id)
            )
        )
        _restore(machine, way)
        with structlog.testing.capture_logs() as logs:
            assert len(workers.restore()) == len(STORED_ADDRESSES) + 1
            workers.handle_report(report)
            testing.wait_until(
                lambda: 'sound' in term.peers and term.peers['sound'].usable()
            )
            for worker_id, peer in term.peers.items():
                testing.wait_until(
                    lambda peer=peer: peer._state.reads_count > 2
                )
                assert peer.usable() == (worker_id == 'sound')
        assert 'task failed' not in {line['event'] for line in logs}


class _OddWorker(testing.HttpWorker):
    """A worker whose list of ends has a row with a number too large."""

    def _renew(self, body):
        status, lists = super()._renew(body)
        row = [1, f'{JOB_ID}.0.0.0', 2**70, 'done', '']
        return status, {**lists, 'Ended': [row]}


def test_the_ends_of_other_workers_are_recorded_beside_an_odd_one():
    """They share commits with the ends of the odd one."""
    with contextlib.ExitStack() as resources:
        machine, workers, term, report = resources.enter_context(
            _leader(resources, run_ms=300)
        )
        odd = _OddWorker(
            testing.FakeWorker('odd', messages.Resources(4_000, 1_000), 1),
            '127.0.0.1:0',
        )
        odd.server.start()
        resources.callback(odd.server.close)
        odd_id = messages.WorkerId('odd')
        workers.handle_report(
            _bodies.decode_worker_report(odd.report(), odd_id)
        )
        workers.handle_report(report)
        for name in ('sound', 'odd'):
            testing.wait_until(lambda name=name: term.peers[name].usable())
        machine(_commands.SubmitJob(helpers.job('j', helpers.step(4))))
        for index in range(4):
            task = jobs.parse_task_key(f'j.0.0.{index}')
            order = _orders.Order(1, 'payload', '', '')
            term.peers['sound'].orders.plan(task, order)
            assert machine.assign(str(task), 1, 'sound')
            term.peers['sound'].orders.dispatch(task)
        testing.wait_until(
            lambda: machine.phase('j') is jobs.JobPhase.DONE, 5_000
        )


def test_a_lone_surrogate_can_not_be_stored():
    facts = helpers.facts('w1', address=f'{SURROGATE}:80')
    with pytest.raises(UnicodeEncodeError):
        messages.encode(_commands.PutWorker(facts))


@pytest.mark.parametrize('odd', ODD_VALUES, ids=lambda odd: repr(odd)[:20])
@pytest.mark.parametrize('column', range(5))
def test_an_odd_row_leaves_the_other_rows(column, odd):
    """Regression test: no list of the worker was read, or no end recorded."""
    body = {
        'TimeMs': 9,
        'born': 17,
        'Running': [
            RUN,
            [*RUN[:column], odd, *RUN[column + 1 :]],
            ['0b.0.0.0', 1, '', 0, 0],
        ],
        'Ended': [
            END,
            [*END[:column], odd, *END[column + 1 :]],
            [60, '0b.0.0.1', 1, 'failed', ''],
        ],
    }
    lists = _bodies.decode_worker_lists(json.dumps(body).encode(), 500)
    runs = [str(run.task) for run in lists.runs]
    assert runs[0] == RUN[0] and runs[-1] == '0b.0.0.0'
    assert [lists.ends[0].sequence, lists.ends[-1].sequence] == [58, 60]
    ends = tuple(item.end for item in lists.ends)
    assert _is_stored(_commands.EndRuns(ends))


@pytest.mark.parametrize('odd', [math.nan, None, 'x', -1, 101, 10**400])
def test_a_run_with_an_odd_percentage_still_counts(odd):
    """A run that is missing from the lists would be started elsewhere."""
    body = {'TimeMs': 9, 'Running': [[*RUN[:3], odd, 0]], 'Ended': []}
    lists = _bodies.decode_worker_lists(json.dumps(body).encode(), 500)
    assert [(run.run, run.percent) for run in lists.runs] == [(2, 0.0)]


@pytest.mark.parametrize('odd', [DEEP, '[{"x":' * 50_000, '9' * 10_000])
def test_a_row_that_json_can_not_read_leaves_the_other_rows(odd):
    """Regression test: the lists were not read, so that all runs lapsed."""
    if odd.startswith('[{'):
        odd += '0' + '}]' * 50_000
    text = '{"TimeMs":9,"Running":[%s,%s],"Ended":[%s,%s],"born":17}' % (
        odd,
        json.dumps(RUN),
        json.dumps(END),
        odd,
    )
    problems = []
    lists = _bodies.decode_worker_lists(text.encode(), 500, problems.append)
    assert [str(run.task) for run in lists.runs] == [RUN[0]]
    assert [end.sequence for end in lists.ends] == [58]
    assert lists.started_ms == 17
    assert len(problems) == 2


@pytest.mark.parametrize('end', ['', '\\', '"', '\\\n'])
def test_a_string_without_end_behind_deep_nesting_is_refused_soon(end):
    """Regression test: a search held the interpreter for 10 s."""
    text = '{"Running":[' + '[' * 100_000 + '"' + '\\"' * 20_000 + end
    started_s = time.monotonic()
    with pytest.raises(_fields.FieldError):
        _bodies.decode_worker_lists(text.encode(), 500)
    assert time.monotonic() - started_s < 5


@pytest.mark.parametrize('body', [DEEP, '{"Running":' + DEEP + '}', '[' * 9])
def test_lists_without_a_clock_are_no_lists(body):
    with pytest.raises(_fields.FieldError):
        _bodies.decode_worker_lists(body.encode(), 500)


def test_odd_grants_leave_the_others():
    rows = [['w1', 't1'], *([odd, 't'] for odd in ODD_VALUES), ['w2', 't2']]
    rows += [['w', odd] for odd in ODD_VALUES if not isinstance(odd, str)]
    rows += [[], 'w3', None, 7]
    reply = json.dumps({'Granted': rows, 'ValidityMs': 100}).encode()
    advice = _http_ports._decode_advice(reply)
    assert not advice.problem
    assert advice.grants[0] == jobs.Grant('w1', 't1')
    assert advice.grants[-1] == jobs.Grant('w2', 't2')
    assert _is_stored(advice)


@pytest.mark.parametrize(
    'fields',
    [
        {'Spec': SURROGATE},
        {'Steps': [{**test_bodies.STEP, 'Requirements': SURROGATE}]},
        {'Steps': [{**test_bodies.STEP, 'Affinity': SURROGATE}]},
    ],
)
def test_a_job_that_can_not_be_stored_is_refused(fields):
    """Regression test: it was answered with an internal error."""
    with pytest.raises(_fields.FieldError):
        test_bodies._job(**fields)


def _document(name='r'):
    route = {'Name': name, 'Host': 'h', 'PathPrefix': '/', 'Service': 's'}
    return {
        'Version': 3,
        'Services': [{'Name': 's'}],
        'Routes': [{**route, 'TimeoutMs': 1}],
    }


def test_a_document_that_can_not_be_passed_on_is_refused():
    """Regression test: it was acknowledged, and no snapshot could be made."""
    text = json.dumps(_document())
    assert isinstance(_documents.validate(text.encode()), result.Success)
    odd = json.dumps(_document(f'r{SURROGATE}')).encode()
    for document in (odd, text.encode('utf-16'), DEEP.encode()):
        assert isinstance(_documents.validate(document), result.Failure)


def test_an_odd_document_that_was_stored_does_not_stop_a_restart():
    for document in (
        json.dumps(_document(f'r{SURROGATE}')).encode(),
        json.dumps(_document()).encode('utf-16'),
    ):
        policy = _documents.decode(document)
        assert policy.version == 3
        assert _is_stored(_commands.PutPolicy(3, document))
        assert all(_fields.is_storable(queue.name) for queue in policy.queues)


def _mutate(rng, value):
    """Replace, remove or add something at a random place."""
    if rng.random() < 0.3 or not isinstance(value, list | dict) or not value:
        return rng.choice(ODD_VALUES)
    if isinstance(value, dict):
        key = rng.choice(sorted(value))
        changed = dict(value)
        if rng.random() < 0.2:
            del changed[key]
        else:
            changed[key] = _mutate(rng, value[key])
        return changed
    position = rng.randrange(len(value))
    if rng.random() < 0.2:
        return [*value[:position], *value[position + 1 :]]
    return [
        *value[:position],
        _mutate(rng, value[position]),
        *value[position + 1 :],
    ]


def _mutate_bytes(rng, data):
    """Cut, repeat or change bytes."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(changed) + 1)
        match rng.randrange(3):
            case 0:
                del changed[position : position + rng.randint(1, 9)]
            case 1:
                changed[position:position] = rng.randbytes(rng.randint(1, 4))
            case _:
                part = changed[position : position + 20]
                changed[position:position] = part * rng.randint(1, 3)
    return bytes(changed)


LISTS = {'TimeMs': 9, 'born': 17, 'Running': [RUN], 'Ended': [END]}
CASES = {
    'report': (
        test_bodies.REPORT,
        lambda data: _bodies.decode_worker_report(data, 'i-1'),
    ),
    'shutdown': (
        {'born': 17},
        lambda data: _calls.WorkerLeft(
            'i-1', _bodies.decode_shutdown(data, 'i-1')
        ),
    ),
    'lists': (
        LISTS,
        lambda data: _commands.EndRuns(
            tuple(
                item.end
                for item in _bodies.decode_worker_lists(data, 500).ends
            )
        ),
    ),
    'job': (
        {'Spec': 'text', 'Steps': [test_bodies.STEP]},
        lambda data: _commands.SubmitJob(
            _bodies.decode_job_spec(data, JOB_ID, 't', 'q', 5)
        ),
    ),
    'advice': (
        {'Granted': [['w1', 't1']], 'ValidityMs': 100},
        _http_ports._decode_advice,
    ),
}


@pytest.mark.parametrize('name', CASES)
@pytest.mark.parametrize('seed', range(20))
def test_a_decoder_accepts_only_what_can_be_stored(name, seed):
    """Anything else is refused with the error that callers handle."""
    rng = random.Random(f'{name}-{seed}')
    sound, decode = CASES[name]
    for _ in range(60):
        value = sound
        for _ in range(rng.randint(1, 3)):
            value = _mutate(rng, value)
        data = json.dumps(value).encode()
        if rng.random() < 0.3:
            data = _mutate_bytes(rng, data)
        try:
            decoded = decode(data)
        except _fields.FieldError:
            continue
        assert _is_stored(decoded), data[:200]


@pytest.mark.parametrize('seed', range(20))
def test_a_document_is_refused_or_in_force_after_a_restart(seed):
    rng = random.Random(f'document-{seed}')
    for _ in range(60):
        value = _document()
        for _ in range(rng.randint(1, 3)):
            value = _mutate(rng, value)
        data = json.dumps(value).encode()
        if rng.random() < 0.3:
            data = _mutate_bytes(rng, data)
        accepted = _documents.validate(data)
        if isinstance(accepted, result.Success):
            assert _documents.decode(data) == accepted.unwrap()
            machine = helpers.Machine(())
            machine.state._decode_policy = _documents.decode
            version = accepted.unwrap().version
            if version > machine.state.policy.version:
                machine(_commands.PutPolicy(version, data))
                machine.state.restore(machine.state.snapshot())
                assert machine.state.policy == accepted.unwrap()
