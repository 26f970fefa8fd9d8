"""Options and requests of a caller for its tasks."""

import base64
import dataclasses
import typing

DEFAULT_TIMEOUT_MS = 60_000
DAY_MS = 24 * 3_600_000


@dataclasses.dataclass(frozen=True)
class TaskOptions:
    """Options for running a task; None means the gateway's default.

    ``task_class`` is ``urgent`` or ``batch``; ``timeout_ms`` is the limit for
    all attempts together.
    """

    queue: str = 'default'
    task_class: str = 'batch'
    idempotent: bool = False
    timeout_ms: int = DEFAULT_TIMEOUT_MS
    expected_run_ms: int | None = None
    cpu_millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    region: str | None = None
    trace_parent: str = ''

    def headers(self) -> dict[str, str]:
        """Return the headers for all options except the timeout."""
        fields: dict[str, typing.Any] = {
            'Queue': self.queue,
            'Class': self.task_class,
            'Idempotent': 'true' if self.idempotent else 'false',
            'Expected-Run-Ms': self.expected_run_ms,
            'Cpu-Millicores': self.cpu_millicores,
            'Memory-Mb': self.memory_mb,
            'Accelerators': self.accelerators,
            'Region': self.region,
        }
        headers = {
            f'Dandeliondrum-{name}': str(value)
            for name, value in fields.items()
            if value is not None
        }
        if self.trace_parent:
            headers['traceparent'] = self.trace_parent
        return headers


@dataclasses.dataclass(frozen=True)
class JobTask:
    """A durable task; its answer is fetched later by its id."""

    request_id: str
    body: bytes = b''
    task_class: str = 'batch'
    idempotent: bool = False
    timeout_ms: int = DAY_MS
    expected_run_ms: int | None = None
    cpu_millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    region: str | None = None

    def to_json(self) -> dict[str, typing.Any]:
        """Return the task as a JSON object for the gateway."""
        json_object = dataclasses.asdict(self)
        json_object['class'] = json_object.pop('task_class')
        json_object['body_base64'] = base64.b64encode(
            json_object.pop('body')
        ).decode()
        return {
            name: value
            for name, value in json_object.items()
            if value is not None
        }
