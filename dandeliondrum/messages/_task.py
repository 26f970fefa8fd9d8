"""What a task is, what a worker has, and how an answer is found."""

import dataclasses

from dandeliondrum.messages import _ids
from dandeliondrum.messages import _states


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Amounts that a task asks for or a worker has; a task takes one slot."""

    cpu_millicores: int
    memory_mb: int
    accelerators_count: int = 0

    def fits_in(self, other: 'Resources') -> bool:
        """Return whether these amounts are all within the other's."""
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

    ``timeout_ms`` is what is left of the caller's deadline when the message
    is sent, so that no two clocks have to agree. ``body_digest`` is the
    SHA-256 of the request body in hexadecimal; the same id with another
    digest is a conflict. A ``durable`` task is one whose caller does not
    wait: its body is part of the replicated log.
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
    """What a worker announced about itself.

    ``address`` is ``host:port`` by IP number. The incarnation changes at
    every start of the worker's process.
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
    """Where an answer lies until its caller has it.

    ``body`` holds the answer itself once it is part of the replicated log;
    otherwise it has to be fetched from the worker.
    """

    worker_id: _ids.WorkerId
    worker_address: str
    attempt_id: _ids.AttemptId
    length_bytes: int
    digest: str
    status: int = 200
    body: bytes | None = None
