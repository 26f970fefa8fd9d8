"""Tasks of the stand-in worker, described by the request body."""

import dataclasses
import json
import random

from returns import result

from dandeliondrum import messages
from dandeliondrum.worker import _encoding


@dataclasses.dataclass(frozen=True)
class TaskBody:
    """Description of a simulated task.

    The task waits for ``run_ms`` and answers with JSON that contains
    ``echo``, or with ``answer_bytes`` random bytes seeded with ``echo``; see
    :func:`seeded_bytes`. With ``fail`` it fails at its end, with ``hang`` it
    runs until it is stopped. ``use_memory_mb`` is reported as the used
    memory in place of the declared amount.

    Example: ``{"run_ms": 20, "echo": "prism 7"}``
    """

    run_ms: int = 0
    echo: str = ''
    answer_bytes: int = 0
    fail: bool = False
    use_memory_mb: int | None = None
    hang: bool = False


def parse_body(data: bytes) -> result.Result[TaskBody, str]:
    """Parse a request body; return the error if it is invalid."""
    return _encoding.from_json(data or b'{}', TaskBody)


def seeded_bytes(seed: str, length_bytes: int) -> bytes:
    """Return the answer of a task with this ``echo`` as seed."""
    return random.Random(seed).randbytes(length_bytes)


def answer(
    body: TaskBody,
    worker_id: messages.WorkerId,
    task_id: messages.TaskId,
    attempt_id: messages.AttemptId,
) -> bytes:
    """Return the answer of a task that finished."""
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
