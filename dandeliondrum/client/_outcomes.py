"""What a caller gets: the whole answer, a refusal or a doubt."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Answer:
    """The whole answer to one's own request.

    ``failed`` is true when the task ran and failed on its worker.
    """

    request_id: str
    attempt_id: str
    body: bytes
    failed: bool = False


@dataclasses.dataclass(frozen=True)
class Refused:
    """The task did not run and, under this id, never will.

    It may be submitted again under another id, at best not before
    ``retry_after_ms`` have passed.
    """

    request_id: str
    reason: str
    detail: str = ''
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class InDoubt:
    """Whether the task ran is not known yet; its id can be asked for."""

    request_id: str
    reason: str
    detail: str = ''


@dataclasses.dataclass(frozen=True)
class Pending:
    """The task is owed an answer that is not there yet."""

    request_id: str
    state: str


Outcome = Refused | InDoubt


@dataclasses.dataclass(frozen=True)
class TaskStatus:
    """Where one task stands, as the gateway reported it."""

    request_id: str
    state: str
    reason: str | None = None
    detail: str = ''
    retry_after_ms: int = 0
    attempts_count: int = 0

    @classmethod
    def from_plain(cls, plain: dict[str, typing.Any]) -> 'TaskStatus':
        """Return the status that a JSON object holds, as far as known."""
        names = {field.name for field in dataclasses.fields(cls)}
        return cls(**{name: plain[name] for name in names & plain.keys()})
