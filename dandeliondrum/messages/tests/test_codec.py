"""Tests of the message codec."""

import importlib
import pkgutil
import subprocess
import sys

import pytest
from returns import result

from dandeliondrum import messages
from dandeliondrum.messages import _codec

DECODING = """
import sys
from dandeliondrum import messages
print(messages.decode(sys.stdin.buffer.read()).unwrap())
"""
FINDING = """
import sys
from dandeliondrum import messages
from dandeliondrum.messages import _codec
assert _codec._find_class(sys.argv[1]).__name__ == sys.argv[1]
"""
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


@pytest.mark.parametrize(
    'message',
    [
        messages.AnnounceWorker(FACTS),
        messages.ExplainTask(messages.TaskId('bureau/ring')),
    ],
)
def test_a_message_that_was_never_used_in_the_process_is_decoded(message):
    done = subprocess.run(
        [sys.executable, '-c', DECODING],
        input=messages.encode(message),
        capture_output=True,
        check=True,
        timeout=60,
    )
    assert done.stdout.decode().strip() == str(message)


def test_no_module_of_messages_is_unknown_to_a_new_process():
    for module in pkgutil.iter_modules(messages.__path__):
        importlib.import_module(f'{messages.__name__}.{module.name}')
    one_by_module = {
        cls.__module__: tag for tag, cls in _codec._classes_by_tag.items()
    }
    tags = [
        tag
        for module, tag in one_by_module.items()
        if module.startswith(f'{messages.__name__}._')
    ]
    assert len(tags) >= 5
    for tag in tags:
        subprocess.run(
            [sys.executable, '-c', FINDING, tag], check=True, timeout=60
        )
