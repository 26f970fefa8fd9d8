"""Tests of the message codec."""

import pytest
from returns import result

from dandeliondrum import messages

FACTS = messages.WorkerFacts(
    worker_id=messages.WorkerId('lathe-1'),
    incarnation=messages.Incarnation('a1'),
    address='127.0.0.1:7100',
    region=messages.Region('gulf'),
    failure_domain=messages.FailureDomain('songkhla'),
    rack=messages.Rack('s-1'),
    resources=messages.Resources(16_000, 32_768),
    slots_count=8,
    connections_count=64,
)


def test_a_decoded_message_equals_the_encoded_one():
    status = messages.TaskStatus(
        messages.TaskId('bureau/ring'),
        messages.TaskState.REFUSED,
        messages.RefusalReason.QUEUE_FULL,
        members=(
            messages.TaskStatus(
                messages.TaskId('bureau/ring#0'), messages.TaskState.QUEUED
            ),
        ),
    )
    for message in (messages.AnnounceWorker(FACTS), status):
        assert messages.decode(messages.encode(message)) == result.Success(
            message
        )


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\x00 random',
        messages.encode(messages.AnnounceWorker(FACTS))[:-4],
        messages.encode(messages.Done()) + b'more',
        b'\x92\xa7Unknown\x80',
        # The field is an int instead of a str.
        b'\x92\xabExplainTask\x81\xa10\x07',
        # A field without a default is missing.
        b'\x92\xabExplainTask\x80',
    ],
)
def test_invalid_bytes_return_a_failure(data):
    assert isinstance(messages.decode(data), result.Failure)


def test_a_field_of_a_later_version_is_ignored():
    data = b'\x92\xabExplainTask\x82\xa10\xa1t\xa1z\x07'
    assert messages.decode(data) == result.Success(
        messages.ExplainTask(messages.TaskId('t'))
    )


def test_encoding_an_unregistered_class_raises():
    with pytest.raises(TypeError):
        messages.encode(FACTS)
