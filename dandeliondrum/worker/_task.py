"""What a stand-in task does, as the body of its request says."""

import dataclasses
import json
import random

from returns import result

from dandeliondrum import messages
from dandeliondrum.worker import _encoding


@dataclasses.dataclass(frozen=True)
class TaskBody:
    """The wishes of a request.

    The task waits for ``run_ms`` and answers with JSON that repeats
    ``echo``, or with ``answer_bytes`` bytes that ``echo`` seeds; see
    :func:`seeded_bytes`. ``fail`` makes it fail at its end, ``hang`` keeps
    it from ending by itself, and ``use_memory_mb`` is what it reports as
    used in place of what was declared.

    Example: ``{"run_ms": 20, "echo": "prism 7"}``
    """

    run_ms: int = 0
    echo: str = ''
    answer_bytes: int = 0
    fail: bool = False
    use_memory_mb: int | None = None
    hang: bool = False


def parse_body(data: bytes) -> result.Result[TaskBody, str]:
    """Return what the body asks for, or what is wrong with it."""
    return _encoding.from_json(data or b'{}', TaskBody)


def seeded_bytes(seed: str, length_bytes: int) -> bytes:
    """Return the bytes that a task with this ``echo`` answers with."""
    return random.Random(seed).randbytes(length_bytes)


def answer(
    body: TaskBody,
    worker_id: messages.WorkerId,
    task_id: messages.TaskId,
    attempt_id: messages.AttemptId,
) -> bytes:
    """Return the answer of a task that came to its end."""
    if body.answer_bytes:
        return seeded_bytes(body.echo, body.answer_bytes)
    return json.dumps(
        {
            'echo': body.echo,
            'task_id': task_id,
            'attempt_id': attempt_id,
            'worker_id': worker_id,
        }
    ).encode()
