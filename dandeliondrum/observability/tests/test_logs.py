"""Log lines are JSON and carry the ids of the log context."""

import concurrent.futures
import datetime

import structlog

from dandeliondrum import observability


def test_a_line_has_its_process_and_time(lines):
    structlog.get_logger().info('task accepted', queue='figuring')
    (line,) = lines.all()
    time = datetime.datetime.fromisoformat(line.pop('time'))
    assert time.utcoffset() == datetime.timedelta(0)
    assert line == {
        'event': 'task accepted',
        'queue': 'figuring',
        'role': 'gateway',
        'id': 'g1',
        'level': 'info',
    }


def test_ids_are_on_all_lines_of_the_block_and_no_others(lines):
    logger = structlog.get_logger()
    with observability.log_context(request_id='r1', task='harbour/r1'):
        with observability.log_context(attempt='harbour/r1#1', term=7):
            logger.info('inner')
        logger.info('outer')
    logger.info('after')
    inner, outer, after = lines.all()
    assert inner['request_id'] == outer['request_id'] == 'r1'
    assert inner['task'] == 'harbour/r1'
    assert (inner['attempt'], inner['term']) == ('harbour/r1#1', 7)
    assert 'attempt' not in outer and 'term' not in outer
    assert not {'request_id', 'task'} & after.keys()


def test_ids_of_one_thread_are_not_on_lines_of_another(lines):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        with observability.log_context(request_id='r1'):
            pool.submit(structlog.get_logger().info, 'other').result()
    assert 'request_id' not in lines.all()[0]


def test_lines_below_the_level_are_dropped(lines):
    structlog.get_logger().debug('detail')
    assert lines.all() == []


def test_an_exception_is_one_line(lines):
    try:
        raise ValueError('two\nlines')
    except ValueError:
        structlog.get_logger().exception('task failed')
    (line,) = lines.all()
    assert 'ValueError: two\nlines' in line['exception']


def test_values_that_are_not_json_are_written(lines):
    structlog.get_logger().info('odd', data=b'\xff', thing=object())
    (line,) = lines.all()
    assert 'object' in line['thing']


def test_a_line_within_a_span_has_its_trace_id(lines):
    provider = observability.make_tracer_provider('gateway', 'g1', 1000)
    with observability.span('hop', provider=provider) as opened:
        structlog.get_logger().info('within')
    trace_id = opened.get_span_context().trace_id
    assert lines.all()[0]['trace_id'] == f'{trace_id:032x}'
    provider.shutdown()
