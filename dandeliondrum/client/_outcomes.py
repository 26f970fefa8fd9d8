"""Outcomes of a call: an answer, a refusal or a doubt."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Answer:
    """The complete answer to a request.

    ``failed`` is true when the task ran and failed on its worker.
    """

    request_id: str
    attempt_id: str
    body: bytes
    failed: bool = False


@dataclasses.dataclass(frozen=True)
class Refused:
    """The task did not run and never will under this id.

    It may be submitted again under another id, preferably after
    ``retry_after_ms``.
    """

    request_id: str
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class InDoubt:
    """It is not known yet whether the task ran; query it by its id."""

    request_id: str
    reason: str
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Pending:
    """The answer of the task is not available yet."""

    request_id: str
    state: str


Outcome = Refused | InDoubt


@dataclasses.dataclass(frozen=True)
class TaskStatus:
    """The status of a task, as reported by a gateway."""

    request_id: str
    state: str
    reason: str | None = None
    detail: str = ''
    retry_after_ms: int = 0
    attempts_count: int = 0

    @classmethod
    def from_json(cls, json_object: dict[str, typing.Any]) -> 'TaskStatus':
        """Return the status in a JSON object; unknown fields are ignored."""
        names = {field.name for field in dataclasses.fields(cls)}
        return cls(
            **{name: json_object[name] for name in names & json_object.keys()}
        )
