"""Tests of decoding the operator's configuration document."""

import json

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum.platform import _documents
from dandeliondrum import testing


def test_decodes_document_into_policy():
    advice = {'DecideMs': 496.0, 'PeriodMs': 4, 'ValidityMs': 2_000}
    route = testing.route(PlacementAdvisor=advice)
    policy = _documents.validate(testing.document(7, Routes=[route])).unwrap()
    assert policy.version == 7
    queue = policy.queue_at('nony24.example', '/r1/0123')
    assert queue.pool == 'pool'
    assert queue.advice.call_ms(10) == 536.0
    assert policy.team_for_key('k1').team_id == 'kaje80'
    assert policy.team_for_key('k2') is None


def test_longest_path_prefix_wins():
    routes = [
        testing.route('a', PathPrefix='/q/'),
        testing.route('b', PathPrefix='/q/long/'),
    ]
    policy = _documents.validate(testing.document(Routes=routes)).unwrap()
    assert policy.queue_at('nony24.example', '/q/long/1').name == 'b'
    assert policy.queue_at('nony24.example', '/q/1').name == 'a'
    assert policy.queue_at('other.example', '/q/1') is None


def test_omitted_resources_are_zero():
    body = {'Cpu': 500}
    assert _documents.decode_resources(body) == messages.Resources(500, 0, 0)


@pytest.mark.parametrize(
    'fields',
    [
        {'Routes': [testing.route(Service='unknown')]},
        {'Routes': [testing.route(), testing.route()]},
        {'Routes': [testing.route(), testing.route('r2', PathPrefix='/r1/')]},
        {'Routes': [testing.route(TimeoutMs=0)]},
        {'Routes': [testing.route(TimeoutMs='3000')]},
        {'Routes': [testing.route(Stretch=float('inf'))]},
        {'Routes': [testing.route(Stretch=float('nan'))]},
        {'Routes': [testing.route(TargetLatencyMs=2**64)]},
        {'Routes': None},
        {'Tenants': [testing.tenant('a'), testing.tenant('b')]},
        {'Tenants': [testing.tenant(keys=(1,))]},
        {'Version': True},
        {'Version': 0},
    ],
)
def test_rejects_invalid_document(fields):
    assert isinstance(
        _documents.validate(testing.document(**fields)), result.Failure
    )


@pytest.mark.parametrize('body', [b'', b'\xff', b'[]', b'[' * 100_000])
def test_rejects_malformed_bytes(body):
    assert isinstance(_documents.validate(body), result.Failure)


def test_rejects_truncated_document():
    whole = testing.document()
    for length in range(len(whole)):
        outcome = _documents.validate(whole[:length])
        assert isinstance(outcome, result.Failure)
    assert json.loads(whole)


def test_all_errors_are_found_with_the_paths_of_their_fields():
    """Otherwise an operator would learn of one error for each attempt."""
    routes = [
        testing.route(TimeoutMs=0),
        testing.route('r2', PlacementAdvisor={'ValidityMs': 'x'}),
        testing.route('r3', Service='unknown'),
        testing.route('r4'),
        testing.route('r5', PathPrefix='/r4/'),
    ]
    tenants = [
        testing.tenant('a', ('k1', 'k1')),
        testing.tenant('a', ('k2',)),
        {**testing.tenant('c', ()), 'Cap': {'Cpu': 0.5}},
        7,
    ]
    document = testing.document(0, Routes=routes, Tenants=tenants)
    errors = _documents.read(document).failure()
    assert [error.path for error in errors] == [
        'Routes[0].TimeoutMs',
        'Routes[1].PlacementAdvisor.ValidityMs',
        'Routes[2].Service',
        'Tenants[2].Cap.Cpu',
        'Tenants[3]',
        'Version',
        'Routes[4].PathPrefix',
        'Tenants[1].Name',
        'Tenants[0].ApiKeys[1]',
    ]


def test_a_list_that_is_no_list_does_not_hide_other_errors():
    document = testing.document(0, Services=None, Routes=[testing.route()])
    errors = _documents.read(document).failure()
    assert [error.path for error in errors] == ['Services', 'Version']


def nested(levels):
    """Return a document with an unknown field of many levels."""
    content = testing.document(7)[:-1]
    return content + b', "New": ' + b'[' * levels + b']' * levels + b'}'


@pytest.mark.parametrize('levels', (33, 500, 950, 20_000))
def test_rejects_a_document_that_is_nested_deeply(levels):
    outcome = _documents.validate(nested(levels))
    assert isinstance(outcome, result.Failure)


@pytest.mark.parametrize('levels', (1, 20, 500, 950, 20_000))
def test_a_document_in_force_can_be_read_on_any_stack(levels):
    def read_below(frames_count):
        if frames_count:
            return read_below(frames_count - 1)
        return _documents.decode(nested(levels))

    assert read_below(400).version == 7
