"""Records that describe tasks, workers and the location of answers."""

import dataclasses

from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task needs or a worker has.

    Slots are not part of them, since each task takes exactly one.
    """

    cpu_millicores: int
    memory_mb: int
    accelerators_count: int = 0

    def fits_in(self, other: 'Resources') -> bool:
        """Return whether no amount exceeds that of ``other``."""
        return (
            self.cpu_millicores <= other.cpu_millicores
            and self.memory_mb <= other.memory_mb
            and self.accelerators_count <= other.accelerators_count
        )

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators_count + other.accelerators_count,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators_count - other.accelerators_count,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task as its caller declared it.

    ``timeout_ms`` is the time left until the caller's deadline when the
    message is sent, so that clocks need not be synchronized.
    ``body_digest`` is the SHA-256 of the request body in hexadecimal; the
    same id with another digest is a conflict. The caller of a ``durable``
    task does not wait; its request body is stored in the replicated log.
    """

    task_id: _ids.TaskId
    team_id: _ids.TeamId
    queue: _ids.QueueName
    task_class: _states.TaskClass
    resources: Resources
    idempotent: bool
    timeout_ms: int
    expected_run_ms: int
    body_digest: str
    durable: bool = False
    region: _ids.Region | None = None
    gang_id: _ids.GangId | None = None
    gang_size: int = 1
    trace_parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerFacts:
    """Facts that a worker has announced about itself.

    ``address`` is ``host:port`` with an IP address as host. The incarnation
    changes with every start of the worker's process.
    """

    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    address: str
    region: _ids.Region
    failure_domain: _ids.FailureDomain
    rack: _ids.Rack
    resources: Resources
    slots_count: int
    connections_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerPlace:
    """Location of an answer until it is delivered to the caller.

    ``body`` holds the answer itself if it is stored in the replicated log;
    otherwise it has to be fetched from the worker.
    """

    worker_id: _ids.WorkerId
    worker_address: str
    attempt_id: _ids.AttemptId
    length_bytes: int
    digest: str
    status: int = 200
    body: bytes | None = None
