"""Selection of the log lines of a request."""

import json

from dandeliondrum.command import _exit_code
from dandeliondrum.command import _why


def _entry(second, event, process='c1', **fields):
    return json.dumps(
        {
            'event': event,
            'id': process,
            'time': f'2026-12-04T06:00:{second:02}.000Z',
            **fields,
        }
    )


LINES = [
    _entry(9, 'run ended', task='j1.0.0.1', worker='w1', outcome='lapsed'),
    'no log line at all',
    '{"cut": ',
    f' 3.10 core-1 {_entry(3, "run assigned", task="j1.0.0.1", worker="w1")}',
    _entry(2, 'job accepted', job='j1'),
    _entry(2, 'job accepted', job='j10'),
    _entry(4, 'worker does not answer', worker='w1'),
    _entry(4, 'worker does not answer', worker='w2'),
    _entry(5, 'leading', 'c2', term=3),
    _entry(50, 'leading', 'c3', term=4),
]


def test_lines_of_a_request_are_sorted_and_include_context():
    text = _why.report('j1', LINES).text
    events = [row.split('  ')[2] for row in text.splitlines()]
    assert events == [
        'job accepted',
        'run assigned',
        'worker does not answer',
        'leading',
        'run ended',
    ]
    assert 'worker=w2' not in text
    assert 'j10' not in text


def test_an_unknown_request_is_refused():
    outcome = _why.report('j2', LINES)
    assert outcome.code is _exit_code.ExitCode.REFUSED
    assert 'j2' in outcome.note
