"""Tests of the spans of a request and of the trace context it carries."""

import pytest
from structlog import testing

from dandeliondrum.gateway.tests import fakes
from dandeliondrum import messages
from dandeliondrum import observability

TRACE = 'a' * 32
CALLER = f'00-{TRACE}-{"b" * 16}-01'


@pytest.fixture(scope='module')
def provider():
    """Record all traces; a process can set its tracer provider only once."""
    provider = observability.configure_tracing('gateway', 'g1', 1_000)
    yield provider
    provider.shutdown()


def test_a_trace_has_a_span_for_each_hop(provider, gw, leader, worker):
    worker.on_start = lambda _seen: fakes.running()
    worker.on_fetch = lambda _seen: fakes.ended(b'ring')
    leader.start_on(worker)
    with testing.capture_logs() as lines:
        fakes.call(
            gw.callers_address,
            'POST',
            '/v1/tasks',
            b'',
            {**fakes.headers(Request_Id='r1'), 'traceparent': CALLER},
        )
        provider.force_flush()
    spans = {
        line['name']: line
        for line in lines
        if line['event'] == 'span' and line['trace_id'] == TRACE
    }
    run = spans['run task']
    assert run['parent_id'] == 'b' * 16
    assert run['attributes']['task'] == 'bureau/r1'
    for name in ('wait for the leader', 'start attempt', 'fetch answer'):
        assert spans[name]['parent_id'] == run['span_id'], name
    (submit,) = leader.received_of(messages.SubmitTasks)
    to_leader = submit.tasks[0].trace_parent
    assert to_leader == f'00-{TRACE}-{run["span_id"]}-01'
    to_worker = worker.starts()[0].headers['Traceparent']
    start_id = spans['start attempt']['span_id']
    assert to_worker == f'00-{TRACE}-{start_id}-01'
