"""Tests of the log stream with slow readers and too many lines."""

import contextlib
import errno
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


def test_a_write_that_fails_does_not_end_the_log():
    """A pipe that does not block, and is full, is an example."""
    read_fd, write_fd = os.pipe()
    os.set_blocking(write_fd, False)
    os.set_blocking(read_fd, False)
    with open(write_fd, 'w', encoding='utf-8') as target:
        stream = _bounded_stream.BoundedStream(target)
        stream.start()
        for _ in range(200):
            stream.write('x' * 1_000 + '\n')
        _wait_for(
            lambda: stream.dropped_count or not stream._thread.is_alive()
        )
        received = b''
        end_s = time.monotonic() + 10
        while b'last' not in received and time.monotonic() < end_s:
            stream.write('last\n')
            with contextlib.suppress(BlockingIOError):
                received += os.read(read_fd, 1_000_000)
            time.sleep(0.05)
        stream.close()
    os.close(read_fd)
    assert b'last\n' in received
    assert b'"log lines dropped"' in received


def test_a_log_whose_reader_is_gone_does_not_hold_up_a_close():
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    target = open(write_fd, 'w', encoding='utf-8')
    stream = _bounded_stream.BoundedStream(target)
    stream.start()
    stream.write('line\n')
    stream._thread.join(10)
    assert not stream._thread.is_alive()
    stream.close()
    with contextlib.suppress(BrokenPipeError):
        target.close()


def _wait_for(condition):
    end_s = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.01)


class _FullDisk(io.StringIO):
    """A target of which the first writes fail."""

    failures_left = 3

    def write(self, text):
        if self.failures_left:
            self.failures_left -= 1
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return super().write(text)


def test_lines_of_failed_writes_are_counted_in_the_log():
    target = _FullDisk()
    stream = _bounded_stream.BoundedStream(target, per_second_max=10)
    for _ in range(50):
        stream.write('line\n')
    stream.start()
    _wait_for(target.getvalue)
    stream.close()
    reports = [
        json.loads(line)['lines_count']
        for line in target.getvalue().splitlines()
        if line != 'line'
    ]
    assert sum(reports) == stream.dropped_count == 50
