"""Large submissions and rules at a gateway on a link of 2 Mbit/s."""

import pytest

from dandeliondrum import testing

LINK_BYTES_PER_SECOND = 250_000
RULES_LINES = 10_000


@pytest.fixture
def cell(make_meshed_cell):
    cell = make_meshed_cell()
    forward = testing.Pacer(LINK_BYTES_PER_SECOND)
    backward = testing.Pacer(LINK_BYTES_PER_SECOND)
    for name in cell.controllers:
        for proxy in cell.mesh.between('g2', name):
            proxy.change(forward_pacer=forward, backward_pacer=backward)
    return cell


def submit(cell, keys, tasks_count, body_bytes):
    body = {'run_ms': 1, 'text': 'x' * body_bytes}
    tasks = [
        {'request_id': f'r{number}', 'body': body}
        for number in range(tasks_count)
    ]
    return cell.submit_job(keys['harbour'].text, tasks, 'g2')


def test_a_job_of_many_bodies_is_accepted(cell, keys):
    assert submit(cell, keys, 16, 60_000).status == 202


def test_a_large_body_is_accepted(cell, keys):
    assert submit(cell, keys, 1, 600_000).status == 202


def test_large_rules_can_be_read(cell, rules_text):
    comment = ''.join(f'// {number:_^80}\n' for number in range(RULES_LINES))
    assert cell.apply_rules(comment + rules_text, 1, 'large').status == 200
    testing.wait_until(lambda: cell.is_ready('g2'))
    assert cell.operate('GET', '/v1/rules', gateway='g2').status == 200
