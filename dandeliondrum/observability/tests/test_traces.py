"""Spans: taken from and given to ``traceparent``, written to the log."""

import pytest

from dandeliondrum import observability

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
KEPT = f'00-{TRACE_ID}-b7ad6b7169203331-01'
NOT_KEPT = f'00-{TRACE_ID}-b7ad6b7169203331-00'


@pytest.fixture
def provider(lines):
    made = observability.make_tracer_provider('gateway', 'g1', 1000)
    yield made
    made.shutdown()


def test_a_span_continues_the_trace_of_the_header(lines, provider):
    with observability.span('caller', KEPT, provider=provider):
        given = observability.current_trace_parent()
        with observability.span('worker', given, {'n': 1}, provider):
            pass
    provider.force_flush()
    inner, outer = lines.all()
    assert inner['event'] == outer['event'] == 'span'
    assert inner['trace_id'] == outer['trace_id'] == TRACE_ID
    assert outer['parent_id'] == 'b7ad6b7169203331'
    assert inner['parent_id'] == outer['span_id']
    assert inner['attributes'] == {'n': 1}
    assert 0 <= inner['length_us'] <= outer['length_us']
    assert given == f'00-{TRACE_ID}-{outer["span_id"]}-01'


@pytest.mark.parametrize('header', ['', 'x', '00-0-0-01', KEPT[:-5], '\0'])
def test_a_bad_header_begins_a_new_trace(lines, provider, header):
    with observability.span('caller', header, provider=provider):
        pass
    provider.force_flush()
    (line,) = lines.all()
    assert line['parent_id'] == ''
    assert line['trace_id'] != TRACE_ID


def test_a_trace_that_its_caller_does_not_keep_is_not_written(lines, provider):
    with observability.span('caller', NOT_KEPT, provider=provider):
        given = observability.current_trace_parent()
    provider.force_flush()
    assert lines.all() == []
    assert given.startswith(f'00-{TRACE_ID}-') and given.endswith('-00')


def test_a_span_that_raised_is_marked(lines, provider):
    with pytest.raises(ValueError):
        with observability.span('caller', provider=provider):
            raise ValueError('broken')
    provider.force_flush()
    assert lines.all()[0]['failed'] is True


def test_no_trace_is_kept_at_nought_per_thousand(lines):
    made = observability.make_tracer_provider('gateway', 'g1', 0)
    for _ in range(50):
        with observability.span('caller', provider=made):
            pass
    made.shutdown()
    assert lines.all() == []


def test_what_is_left_is_written_at_the_end(lines):
    made = observability.make_tracer_provider('gateway', 'g1', 1000)
    with observability.span('caller', provider=made):
        pass
    made.shutdown()
    assert len(lines.all()) == 1


def test_there_is_no_header_without_a_span():
    assert observability.current_trace_parent() == ''
