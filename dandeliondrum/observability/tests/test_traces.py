"""Tests of spans, ``traceparent`` propagation and sampling."""

import pytest

from dandeliondrum import observability

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
SAMPLED = f'00-{TRACE_ID}-b7ad6b7169203331-01'
NOT_SAMPLED = f'00-{TRACE_ID}-b7ad6b7169203331-00'


@pytest.fixture
def provider(lines):
    tracer_provider = observability.make_tracer_provider('gateway', 'g1', 1000)
    yield tracer_provider
    tracer_provider.shutdown()


def test_a_span_continues_the_trace_of_the_header(lines, provider):
    with observability.span('caller', SAMPLED, provider=provider):
        trace_parent = observability.current_trace_parent()
        with observability.span('worker', trace_parent, {'n': 1}, provider):
            pass
    provider.force_flush()
    inner, outer = lines.all()
    assert inner['event'] == outer['event'] == 'span'
    assert inner['trace_id'] == outer['trace_id'] == TRACE_ID
    assert outer['parent_id'] == 'b7ad6b7169203331'
    assert inner['parent_id'] == outer['span_id']
    assert inner['attributes'] == {'n': 1}
    assert 0 <= inner['length_us'] <= outer['length_us']
    assert trace_parent == f'00-{TRACE_ID}-{outer["span_id"]}-01'


@pytest.mark.parametrize('header', ['', 'x', '00-0-0-01', SAMPLED[:-5], '\0'])
def test_an_invalid_header_starts_a_new_trace(lines, provider, header):
    with observability.span('caller', header, provider=provider):
        pass
    provider.force_flush()
    (line,) = lines.all()
    assert line['parent_id'] == ''
    assert line['trace_id'] != TRACE_ID


def test_an_unsampled_trace_is_not_written(lines, provider):
    with observability.span('caller', NOT_SAMPLED, provider=provider):
        trace_parent = observability.current_trace_parent()
    provider.force_flush()
    assert lines.all() == []
    assert trace_parent.startswith(
        f'00-{TRACE_ID}-'
    ) and trace_parent.endswith('-00')


def test_a_span_that_raised_is_marked_as_failed(lines, provider):
    with pytest.raises(ValueError):
        with observability.span('caller', provider=provider):
            raise ValueError('broken')
    provider.force_flush()
    assert lines.all()[0]['failed'] is True


def test_no_trace_is_sampled_at_0_per_thousand(lines):
    tracer_provider = observability.make_tracer_provider('gateway', 'g1', 0)
    for _ in range(50):
        with observability.span('caller', provider=tracer_provider):
            pass
    tracer_provider.shutdown()
    assert lines.all() == []


def test_shutdown_writes_the_remaining_spans(lines):
    tracer_provider = observability.make_tracer_provider('gateway', 'g1', 1000)
    with observability.span('caller', provider=tracer_provider):
        pass
    tracer_provider.shutdown()
    assert len(lines.all()) == 1


def test_there_is_no_header_without_a_span():
    assert observability.current_trace_parent() == ''
