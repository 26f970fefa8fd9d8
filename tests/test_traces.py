"""A traced call has spans of the gateway, the leader and a worker."""

from dandeliondrum import testing

TRACE_ID = 'a' * 32
TRACE_PARENT = f'00-{TRACE_ID}-{"b" * 16}-01'


def spans_of(cell, name):
    return {
        line['name']
        for line in cell.processes.log(name)
        if line.get('event') == 'span' and line['trace_id'] == TRACE_ID
    }


def test_gateway_leader_and_worker_each_have_spans_of_a_call(cell, keys):
    leader = cell.leader()
    address = cell.addresses['g1/callers']
    headers = testing.task_headers(keys['harbour'].text, request_id='r')
    reply = testing.call(
        f'http://{address}/v1/tasks',
        'POST',
        b'{"echo": "r"}',
        {**headers, 'traceparent': TRACE_PARENT},
    )
    assert reply.status == 200
    for name, expected in (
        ('g1', {'run task', 'start attempt'}),
        (leader, {'judge task', 'assign attempt'}),
    ):
        testing.wait_until(
            lambda process=name, spans=expected: (
                spans_of(cell, process) >= spans
            )
        )
    testing.wait_until(lambda: any(spans_of(cell, w) for w in cell.workers))
