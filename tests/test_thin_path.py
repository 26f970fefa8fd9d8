"""A request is served end to end, also after the leader was killed."""

import json


def test_a_request_is_answered_also_after_the_leader_is_killed(cell, keys):
    key = keys['harbour'].text
    status, body, headers = cell.run_task({'echo': 'ring 1'}, key)
    assert (status, json.loads(body)['echo']) == (200, 'ring 1')
    assert headers['dandeliondrum-outcome'] == 'answered'
    cell.kill(cell.leader())
    status, body, _ = cell.run_task({'echo': 'ring 2'}, key, 'g2')
    assert (status, json.loads(body)['echo']) == (200, 'ring 2')
    starts = [
        event
        for name in ('w1', 'w2', 'w3')
        for event in cell.journal(name)
        if event['kind'] == 'start'
    ]
    assert len(starts) == 2
