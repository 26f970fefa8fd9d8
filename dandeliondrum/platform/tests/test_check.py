"""Tests of the check of a configuration document."""

import http.server
import json
import pathlib
import threading

import pytest

from dandeliondrum import json_text
from dandeliondrum.platform import __main__ as program
from dandeliondrum.platform import _control_api
from dandeliondrum import testing

EXAMPLE = pathlib.Path(__file__).parents[3] / 'examples/platform/config.json'
TENANTS = [testing.tenant('a', ('k1',)), testing.tenant('b', ('k2',))]


@pytest.fixture
def check(tmp_path, capsys):
    """Return a function that checks a document and returns what it prints."""

    def run(document, *flags):
        path = tmp_path / 'config.json'
        path.write_bytes(document)
        code = program.main(['check', str(path), *flags])
        captured = capsys.readouterr()
        return code, captured.out, captured.err.replace(f'{tmp_path}/', '')

    return run


def make(version=1, **fields):
    """Return a document with a field on each line."""
    text = testing.document(version, **{'Tenants': TENANTS, **fields})
    return json.dumps(json.loads(text), indent=1).encode()


class Unready(http.server.BaseHTTPRequestHandler):
    """A controller that knows no document."""

    def do_GET(self):  # noqa: N802
        self.send_error(503, 'no policy')

    def log_message(self, *_):
        pass


def test_a_document_without_mistakes(check):
    code, out, err = check(make(7), '--strict')
    assert (code, err) == (0, '')
    assert 'no problem (Version 7, Routes 1, Services 1, Tenants 2)' in out
    code, out, _ = check(make(7), '--json')
    assert json.loads(out) == {
        'problems': [],
        'warnings': [],
        'Version': 7,
        'Routes': 1,
        'Services': 1,
        'Tenants': 2,
    }


def test_the_example_lacks_nothing_but_keys(capsys):
    assert program.main(['check', str(EXAMPLE), '--json']) == 0
    warnings = json.loads(capsys.readouterr().out)['warnings']
    assert {warning['field'].split('.')[1] for warning in warnings} == {
        'ApiKeys',
        'Public',
    }


@pytest.mark.parametrize(
    ('fields', 'path', 'detail'),
    [
        (
            {'Routes': [testing.route(), testing.route('r2', TimeoutMs=0)]},
            'Routes[1].TimeoutMs',
            'TimeoutMs must be positive',
        ),
        (
            {'Routes': [testing.route(Service='unknown')]},
            'Routes[0].Service',
            'unknown service unknown',
        ),
        (
            {'Routes': [testing.route(), testing.route('b', PathPrefix=5)]},
            'Routes[1].PathPrefix',
            'PathPrefix must be str',
        ),
        (
            {
                'Routes': [
                    testing.route(),
                    testing.route('r2', PathPrefix='/r1/'),
                ]
            },
            'Routes[1].PathPrefix',
            'duplicate host and prefix; the first is Routes[0].PathPrefix',
        ),
        (
            {'Tenants': [testing.tenant('a'), testing.tenant('b')]},
            'Tenants[1].ApiKeys[0]',
            'duplicate key; the first is Tenants[0].ApiKeys[0]',
        ),
        ({'Services': [{}]}, 'Services[0].Name', 'Name is missing'),
    ],
)
def test_an_error_names_the_line_of_its_field(check, fields, path, detail):
    document = make(**fields)
    line, column = json_text.Positions(document.decode()).of(path)
    code, out, err = check(document)
    assert (code, out) == (1, '')
    assert err == f'config.json:{line}:{column}: {path}: {detail}\n'
    code, out, _ = check(document, '--json')
    (problem,) = json.loads(out)['problems']
    assert (code, problem['line'], problem['field']) == (1, line, path)


@pytest.mark.parametrize(
    ('document', 'start'),
    [
        (b'{\n"Version": 1,\n}', 'config.json:3:1: not JSON: '),
        (b'\xff', 'config.json:1:1: not UTF-8: '),
        (b'[]', 'config.json:1:1: body must be an object'),
        (b'{"Version": 1}', 'config.json:1:1: Routes: Routes is missing'),
    ],
)
def test_a_document_that_can_not_be_read(check, document, start):
    code, _, err = check(document)
    assert code == 1
    assert err.startswith(start)


def with_route(**fields):
    return {'Routes': [testing.route(**fields)]}


def with_tenant(**fields):
    return {'Tenants': [{**TENANTS[0], **fields}, TENANTS[1]]}


@pytest.mark.parametrize(
    ('fields', 'path', 'part'),
    [
        (with_route(Host='a:80'), 'Routes[0].Host', 'no request matches'),
        (
            with_route(PathPrefix='r1/'),
            'Routes[0].PathPrefix',
            'no request matches',
        ),
        (
            {
                'Routes': [
                    testing.route(),
                    testing.route('r2', PathPrefix='/r1/ab'),
                ]
            },
            'Routes[1].PathPrefix',
            'submissions to route "r1" whose ids',
        ),
        (with_route(Stretch=0.5), 'Routes[0].Stretch', 'below 1'),
        (with_route(TargetLatencyMs=0), 'Routes[0].Stretch', 'no effect'),
        (
            with_route(TargetLatencyMs=-1),
            'Routes[0].TargetLatencyMs',
            'always missed',
        ),
        (
            with_route(TargetLatencyMs=3_001),
            'Routes[0].TargetLatencyMs',
            'is above TimeoutMs, which is 3000',
        ),
        (with_route(MaxAttempts=0), 'Routes[0].MaxAttempts', 'counts as 1'),
        (with_route(Strech=1.5), 'Routes[0].Strech', 'did you mean "Stretch"'),
        (
            with_route(PlacementAdvisor={'ValidityMs': 0}),
            'Routes[0].PlacementAdvisor.ValidityMs',
            'nothing can start',
        ),
        (
            {'Services': [{'Name': 'pool'}, {'Name': 'idle'}]},
            'Services[1].Name',
            'no route uses the service',
        ),
        (
            {'Services': [{'Name': 'pool', 'Standby': True}]},
            'Routes[0].Service',
            'until machines are moved',
        ),
        (with_tenant(ApiKeys=[]), 'Tenants[0].ApiKeys', 'has no key'),
        (with_tenant(ApiKeys=['']), 'Tenants[0].ApiKeys', 'an empty key'),
        (with_tenant(ApiKeys=['k ']), 'Tenants[0].ApiKeys', 'with a space'),
        (with_tenant(Weight=0), 'Tenants[1].Weight', 'has no effect'),
        (with_tenant(Cap={'Cpu': -1}), 'Tenants[0].Cap', 'below 0'),
        (
            {'Limits': {'MaxHeaderBytes': 65_536}},
            'Limits.MaxHeaderBytes',
            'no more than 32768',
        ),
        (
            {'Limits': {'MaxBodyBytes': 262_145}},
            'Limits.MaxBodyBytes',
            'no more than 262144',
        ),
    ],
)
def test_a_valid_document_with_a_mistake_is_warned_of(
    check, fields, path, part
):
    """The controllers accept it, so nothing else tells the operator."""
    document = make(**fields)
    line, column = json_text.Positions(document.decode()).of(path)
    code, out, err = check(document)
    assert code == 0
    assert 'no problem' in out
    assert err.startswith(f'config.json:{line}:{column}: warning: {path}: ')
    assert part in err
    assert err.count('\n') == 1
    assert check(document, '--strict')[0] == 5


def test_routes_that_need_a_key_while_no_tenant_has_one(check):
    _, _, err = check(make(Tenants=[]))
    assert 'Routes[0].Public: nobody may use the route' in err


def test_a_negative_weight(check):
    tenants = [*TENANTS, {**testing.tenant('c', ('k3',)), 'Weight': -1}]
    _, _, err = check(make(Tenants=tenants))
    assert 'Tenants[2].Weight: a negative weight counts as 0' in err


def test_a_field_that_is_given_twice(check):
    _, _, err = check(make().replace(b'"Host"', b'"Host": "a", "Host"'))
    assert 'Routes[0].Host: is given twice' in err


def test_a_standby_service_needs_no_route(check):
    services = [{'Name': 'pool'}, {'Name': 'idle', 'Standby': True}]
    assert check(make(Services=services), '--strict')[0] == 0


def test_what_differs_from_another_file(check, tmp_path):
    other = tmp_path / 'other.json'
    other.write_bytes(make(1))
    flag = f'--against={other}'
    document = make(2, Routes=[testing.route(TimeoutMs=2_000)])
    code, out, err = check(document, flag, '--strict')
    assert (code, err) == (0, '')
    assert out.splitlines()[1:] == [
        'Version 1 -> 2',
        'Routes "r1": TimeoutMs 3000 -> 2000',
    ]
    assert check(make(1), flag, '--strict')[1].endswith('no difference\n')
    code, out, err = check(make(1, Limits={'A': 1}), flag, '--strict')
    assert code == 5
    assert 'Version: is not above 1: nothing would change' in err
    other.write_bytes(b'\xff')
    code, _, err = check(document, flag)
    assert code == 1
    assert err.startswith('other.json:1:1: ')


def test_a_controller_that_does_not_know_the_document(check):
    """A known one is compared in test_programs.py."""
    with http.server.HTTPServer(('127.0.0.1', 0), Unready) as server:
        threading.Thread(target=server.handle_request).start()
        flag = f'--against=127.0.0.1:{server.server_port}'
        code, _, err = check(make(), flag)
    assert code == 4
    assert '503' in err and 'no policy' in err
    assert check(make(), flag)[0] == 4


def test_wrong_usage_and_missing_files(check, tmp_path):
    for words in ([], ['a', 'b'], ['a', '--nonsense']):
        with pytest.raises(SystemExit) as exit_info:
            program.main(['check', *words])
        assert exit_info.value.code == 2
    assert program.main(['check', str(tmp_path / 'none')]) == 1
    assert check(make(), '--against=none.json')[0] == 1


def test_a_document_longer_than_a_controller_accepts(check, monkeypatch):
    monkeypatch.setattr(_control_api, 'DOCUMENT_BYTES_MAX', 100)
    code, _, err = check(make())
    assert code == 1
    assert 'longer than 100 bytes' in err
