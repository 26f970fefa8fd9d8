"""Single requests through a whole cell, before and after a failover."""

from dandeliondrum import worker


def test_a_request_is_answered_also_after_the_leader_is_killed(cell, keys):
    key = keys['harbour'].text
    reply = cell.run_task({'echo': 'ring 1'}, key)
    assert (reply.status, reply.json()['echo']) == (200, 'ring 1')
    assert reply.outcome == 'answered'
    cell.processes.kill(cell.leader())
    reply = cell.run_task({'echo': 'ring 2'}, key, 'g2')
    assert (reply.status, reply.json()['echo']) == (200, 'ring 2')
    starts = [
        event
        for event in cell.journals()
        if event.kind is worker.EventKind.START
    ]
    assert len(starts) == 2
