"""Tests of sending and reading frames on a stream."""

import contextlib
import socket
import threading

import pytest

from dandeliondrum.transport import _frames
from dandeliondrum.transport import _sender

SILENCE_MS = 5_000
PING = _frames.pack(_frames.FrameKind.PING, 0, b'')
FRAME_BYTES = 10_000


@pytest.fixture
def streams():
    near, far = socket.socketpair()
    near.setblocking(False)
    with contextlib.closing(near), contextlib.closing(far):
        yield near, far


def make_sender(stream, queue_max_frames=1_000):
    return _sender.FrameSender(
        stream, queue_max_frames, PING, SILENCE_MS / 1000, SILENCE_MS
    )


def make_frame(number):
    payload = bytes([number % 256]) * FRAME_BYTES
    return _frames.pack(_frames.FrameKind.PUSH, number, payload)


def read_numbers(stream, count):
    stream.settimeout(SILENCE_MS / 1000)
    return [_frames.read(stream)[1] for _ in range(count)]


@contextlib.contextmanager
def running(sender):
    thread = threading.Thread(target=sender.run)
    thread.start()
    try:
        yield
    finally:
        sender.close()
        thread.join()


def test_a_frame_is_sent_without_another_thread(streams):
    near, far = streams
    assert make_sender(near).send(make_frame(1))
    assert read_numbers(far, 1) == [1]


def test_frames_keep_their_order_when_the_stream_is_full(streams):
    near, far = streams
    sender = make_sender(near)
    with running(sender):
        for number in range(200):
            send = sender.queue if number % 7 == 3 else sender.send
            assert send(make_frame(number))
        assert read_numbers(far, 200) == list(range(200))


def test_a_peer_that_does_not_read_fills_the_queue_but_blocks_nobody(streams):
    near, _ = streams
    sender = make_sender(near, queue_max_frames=3)
    sent_count = 0
    while sender.send(make_frame(sent_count)):
        sent_count += 1
    assert sent_count > 3


def test_a_failed_stream_is_reported_by_the_thread_and_not_by_send(streams):
    near, far = streams
    sender = make_sender(near)
    far.close()
    for number in range(3):
        assert sender.send(make_frame(number))
    with pytest.raises(OSError):
        sender.run()


def test_a_closed_sender_takes_no_frames(streams):
    sender = make_sender(streams[0])
    sender.close()
    assert not sender.send(PING)
    assert not sender.queue(PING)


def test_frames_that_arrive_together_are_all_read(streams):
    near, far = streams
    far.sendall(make_frame(1) + make_frame(2) + PING)
    reader = _frames.FrameReader(near, SILENCE_MS)
    assert [reader.read()[1] for _ in range(3)] == [1, 2, 0]


def test_a_frame_that_arrives_in_pieces_is_read(streams):
    near, far = streams
    frame = make_frame(1) + PING

    def send_pieces():
        for position in range(0, len(frame), 999):
            far.sendall(frame[position : position + 999])
        far.close()

    threading.Thread(target=send_pieces).start()
    reader = _frames.FrameReader(near, SILENCE_MS)
    assert reader.read()[2] == bytes([1]) * FRAME_BYTES
    assert reader.read()[0] is _frames.FrameKind.PING
    assert reader.read() is None


def test_a_reader_raises_after_the_longest_silence(streams):
    reader = _frames.FrameReader(streams[0], 50)
    with pytest.raises(TimeoutError):
        reader.read()


def test_a_frame_that_is_too_long_is_refused_before_it_has_arrived(streams):
    near, far = streams
    far.sendall((_frames.FRAME_MAX_BYTES + 1).to_bytes(4, 'big'))
    with pytest.raises(_frames.FrameError):
        _frames.FrameReader(near, SILENCE_MS).read()
