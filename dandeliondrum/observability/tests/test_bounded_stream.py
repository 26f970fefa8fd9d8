"""A log stream whose reader may stall."""

import io
import json
import os
import threading
import time

from dandeliondrum.observability import _bounded


def test_lines_are_written_in_order():
    target = io.StringIO()
    stream = _bounded.BoundedStream(target)
    stream.start()
    for number in range(1_000):
        stream.write(f'{number}\n')
    stream.close()
    assert target.getvalue().split() == [str(n) for n in range(1_000)]


def test_a_reader_that_stalls_holds_up_nobody():
    reading, writing = os.pipe()
    with open(writing, 'w', encoding='utf-8') as target:
        stream = _bounded.BoundedStream(target, lines_max=100)
        stream.start()
        began_s = time.monotonic()
        for _ in range(2_000):
            stream.write('x' * 1_000 + '\n')
        assert time.monotonic() - began_s < 1
        assert stream.dropped_count > 0
        drained = threading.Thread(target=_drain, args=(reading,))
        drained.start()
        stream.close()
    drained.join()


def _drain(reading):
    while os.read(reading, 65_536):
        pass
    os.close(reading)


def test_dropped_lines_are_counted_in_the_log():
    target = io.StringIO()
    stream = _bounded.BoundedStream(target, per_second_max=10)
    for _ in range(50):
        stream.write('line\n')
    stream.start()
    stream.close()
    last = json.loads(target.getvalue().splitlines()[-1])
    assert last['event'] == 'log lines dropped'
    assert last['lines_count'] == stream.dropped_count >= 20
