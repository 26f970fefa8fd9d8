"""Tests of valid settings files and of each kind of problem in one."""

import random

import pytest
from returns import result

from dandeliondrum import settings

CONTROLLER = """{
  // the controller on the first VM
  "controller_id": "c1",
  "cell_id": "bureau",
  "region": "gulf",
  "failure_domain": "sattahip",
  "listen_address": "127.0.0.1:7001",
  "metrics_address": "127.0.0.1:7101",
  "data_folder": "data/c1",
  "controllers": [
    {"controller_id": "c1", "address": "127.0.0.1:7001"},
    {
      "controller_id": "c2",
      "address": "127.0.0.1:7002",
    },
  ],
  "heartbeat_ms": 100,
}
"""
GATEWAY = """{
  "gateway_id": "g1", "cell_id": "bureau", "region": "gulf",
  "failure_domain": "sattahip",
  "callers_address": "127.0.0.1:8001",
  "workers_address": "127.0.0.1:8002",
  "operators_address": "127.0.0.1:8003",
  "controllers": [{"controller_id": "c1", "address": "127.0.0.1:7001"}]
}
"""
WORKER = """{
  "worker_id": "w1", "address": "127.0.0.1:0",
  "advertised_address": "127.0.0.1:9001",
  "region": "gulf", "failure_domain": "sattahip", "rack": "r1",
  "cpu_millicores": 16000, "memory_mb": 32768,
  "gateways": ["127.0.0.1:8002"]
}
"""


def problems_of(tmp_path, text, kind=settings.ControllerSettings):
    path = tmp_path / 'settings.json5'
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    outcome = settings.load(path, kind)
    assert isinstance(outcome, result.Failure), outcome
    return outcome.failure()


@pytest.mark.parametrize(
    ('text', 'kind'),
    [
        (CONTROLLER, settings.ControllerSettings),
        (GATEWAY, settings.GatewaySettings),
        (WORKER, settings.WorkerSettings),
    ],
)
def test_loads_file_of_each_role(tmp_path, text, kind):
    path = tmp_path / 'settings.json5'
    path.write_text(text)
    loaded = settings.load(path, kind).unwrap()
    assert type(loaded) is kind
    assert settings.load_any(path).unwrap() == loaded
    assert loaded.log_level == 'info'


def test_values_and_defaults(tmp_path):
    path = tmp_path / 'settings.json5'
    path.write_text(CONTROLLER)
    loaded = settings.load(path, settings.ControllerSettings).unwrap()
    assert loaded.election_max_ms == 1_200
    assert loaded.controllers[1] == settings.ControllerAddress(
        controller_id='c2', address='127.0.0.1:7002'
    )


@pytest.mark.parametrize(
    ('old', 'new', 'line', 'field', 'allowed'),
    [
        ('"cell_id"', '"cell"', 4, 'cell', 'did you mean "cell_id"?'),
        ('"bureau"', '7', 4, 'cell_id', 'a name of 1 to 64'),
        ('"bureau"', '"a/b"', 4, 'cell_id', 'a name of 1 to 64'),
        (
            '"127.0.0.1:7101"',
            '"here:1"',
            8,
            'metrics_address',
            'an IP address',
        ),
        ('"127.0.0.1:7101"', '"::1"', 8, 'metrics_address', 'an IP address'),
        (':7101', ':70000', 8, 'metrics_address', 'an IP address'),
        (':7101', ':7001', 8, 'metrics_address', 'an address other than'),
        ('"data/c1"', '""', 9, 'data_folder', 'a path'),
        ('127.0.0.1:7002', 'x', 14, 'controllers[1].address', 'an IP address'),
        ('"c2"', '"c1"', 13, 'controllers[1].controller_id', 'no other item'),
        ('7002",', '7002", "x": 1', 14, 'controllers[1].x', 'known are'),
        ('100,', '"100 ms",', 17, 'heartbeat_ms', 'number of ms from 10'),
        ('100,', '1.5,', 17, 'heartbeat_ms', 'number of ms from 10'),
        ('100,', 'true,', 17, 'heartbeat_ms', 'number of ms from 10'),
        ('100,', '9,', 17, 'heartbeat_ms', 'number of ms from 10'),
        ('100,', 'Infinity,', 17, 'heartbeat_ms', 'number of ms from 10'),
        ('100,', '500,', 1, 'election_min_ms', 'at least 3 times'),
        ('100,', '100, "log_level": "all"', 17, 'log_level', 'one of "debug"'),
        (
            '100,',
            '100, heartbeat_ms: 90',
            17,
            'heartbeat_ms',
            'each field once',
        ),
        ('"c1",\n', '"c3",\n', 10, 'controllers', 'a list that includes c3'),
    ],
)
def test_problem_names_invalid_field(tmp_path, old, new, line, field, allowed):
    text = CONTROLLER.replace(old, new, 1)
    assert text != CONTROLLER
    found = problems_of(tmp_path, text)
    matching = [item for item in found if item.field == field]
    assert len(matching) == 1, found
    assert matching[0].line == line
    assert allowed in matching[0].allowed
    assert f'settings.json5:{line}: {field}: found ' in str(matching[0])


def test_problem_names_missing_field(tmp_path):
    text = CONTROLLER.replace('"region": "gulf",', '')
    (problem,) = problems_of(tmp_path, text)
    assert (problem.field, problem.found) == ('region', 'nothing')


def test_all_problems_are_reported_in_file_order(tmp_path):
    text = CONTROLLER.replace('bureau', '-').replace('100,', '1, "x": 2')
    found = problems_of(tmp_path, text)
    assert [item.field for item in found] == ['cell_id', 'heartbeat_ms', 'x']


def test_election_max_must_exceed_election_min(tmp_path):
    text = CONTROLLER.replace('100,', '100, "election_max_ms": 600')
    (problem,) = problems_of(tmp_path, text)
    assert problem.field == 'election_max_ms'


def test_operator_key_is_required_unless_address_is_loopback(tmp_path):
    text = GATEWAY.replace('127.0.0.1:8003', '10.0.0.5:8003')
    (problem,) = problems_of(tmp_path, text, settings.GatewaySettings)
    assert problem.field == 'operator_key_digest'


@pytest.mark.parametrize(
    ('old', 'new', 'field'),
    [
        ('"127.0.0.1:8002"]', '"127.0.0.1:8002", "127.0.0.1:8002"]',
         'gateways[1]'),
        ('["127.0.0.1:8002"]', '[]', 'gateways'),
        ('["127.0.0.1:8002"]', '"127.0.0.1:8002"', 'gateways'),
        ('"r1",', '"r1", "slots_count": 65,', 'connections_count'),
        ('"r1",', '"r1", "fails_everything": 1,', 'fails_everything'),
    ],
)  # fmt: skip
def test_problem_names_invalid_field_of_worker(tmp_path, old, new, field):
    text = WORKER.replace(old, new)
    (problem,) = problems_of(tmp_path, text, settings.WorkerSettings)
    assert problem.field == field


@pytest.mark.parametrize(
    ('data', 'line', 'found'),
    [
        (b'', 1, 'invalid JSON'),
        (b'[]', 1, '[]'),
        (b'{"a": 1,\n  oops', 2, 'invalid JSON'),
        (b'\xff\xfe{}', 0, 'invalid UTF-8'),
        (b'[' * 20_000, 1, 'invalid JSON'),
        (b' ' * 300_000, 0, 'more than 65536 bytes'),
    ],
)
def test_rejects_file_without_object(tmp_path, data, line, found):
    (problem, *_) = problems_of(tmp_path, data)
    assert problem.line == line
    assert found in problem.found


def test_reports_missing_file(tmp_path):
    outcome = settings.load(tmp_path / 'no', settings.WorkerSettings)
    (problem,) = outcome.failure()
    assert problem.line == 0
    assert 'No such file' in problem.found


def test_load_any_reports_file_without_role(tmp_path):
    path = tmp_path / 'settings.json5'
    path.write_text('{"region": "gulf"}')
    (problem,) = settings.load_any(path).failure()
    assert 'controller_id' in problem.allowed


def test_random_bytes_are_reported_as_problems(tmp_path):
    source = random.Random(20261204)
    for _ in range(200):
        text = source.randbytes(source.randrange(1, 200))
        assert problems_of(tmp_path, text)


def test_damaged_files_never_raise(tmp_path):
    source = random.Random(20261205)
    path = tmp_path / 'settings.json5'
    for _ in range(100):
        damaged = bytearray(CONTROLLER.encode())
        for _ in range(source.randrange(1, 4)):
            damaged[source.randrange(len(damaged))] = source.randrange(128)
        path.write_bytes(damaged)
        outcome = settings.load(path, settings.ControllerSettings)
        assert isinstance(outcome, result.Result)
