"""Tests of the log stream with slow readers and too many lines."""

import io
import json
import os
import threading
import time

from dandeliondrum.observability import _bounded_stream


def test_lines_are_written_in_order():
    target = io.StringIO()
    stream = _bounded_stream.BoundedStream(target)
    stream.start()
    for number in range(1_000):
        stream.write(f'{number}\n')
    stream.close()
    assert target.getvalue().split() == [str(n) for n in range(1_000)]


def test_writers_do_not_wait_for_a_stalled_reader():
    read_fd, write_fd = os.pipe()
    with open(write_fd, 'w', encoding='utf-8') as target:
        stream = _bounded_stream.BoundedStream(target, lines_max=100)
        stream.start()
        start_s = time.monotonic()
        for _ in range(2_000):
            stream.write('x' * 1_000 + '\n')
        assert time.monotonic() - start_s < 1
        assert stream.dropped_count > 0
        drain_thread = threading.Thread(target=_drain, args=(read_fd,))
        drain_thread.start()
        stream.close()
    drain_thread.join()


def _drain(read_fd):
    while os.read(read_fd, 65_536):
        pass
    os.close(read_fd)


def test_dropped_lines_are_counted_in_the_log():
    target = io.StringIO()
    stream = _bounded_stream.BoundedStream(target, per_second_max=10)
    for _ in range(50):
        stream.write('line\n')
    stream.start()
    stream.close()
    last = json.loads(target.getvalue().splitlines()[-1])
    assert last['event'] == 'log lines dropped'
    assert last['lines_count'] == stream.dropped_count >= 20
