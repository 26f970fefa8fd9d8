"""The worker's own record of what it did, for checks from outside.

A line of JSON for each event, stamped with the monotonic clock, which all
processes of one machine share. Each line is handed to the system at once, so
a killed process loses none that it wrote.
"""

import collections
import dataclasses
import enum
import pathlib
import threading
import time
import typing

from returns import result

from dandeliondrum import messages
from dandeliondrum.worker import _calls
from dandeliondrum.worker import _encoding


EVENTS_MAX = 500_000


class EventKind(enum.Enum):
    """What an entry of the journal records.

    ``OVERLOAD`` is a start that the worker had to refuse because it was
    given more than it has. ``LEAVING`` is the decision to leave and
    ``LEAVING_ACKNOWLEDGED`` the first answer of a gateway that has heard of
    it.
    """

    BEGUN = 'begun'
    ANNOUNCED = 'announced'
    START = 'start'
    END = 'end'
    REFUSED = 'refused'
    OVERLOAD = 'overload'
    CHECKPOINT = 'checkpoint'
    DROPPED = 'dropped'
    LEAVING = 'leaving'
    LEAVING_ACKNOWLEDGED = 'leaving_acknowledged'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
    """One entry of the journal.

    ``at_ms`` is a reading of the monotonic clock. ``resources`` and
    ``slots_count`` hold the worker's capacity in ``BEGUN`` and the declared
    needs of the attempt elsewhere. ``expired_ms`` is when the lease ran out
    of an attempt that ended for that reason.
    """

    at_ms: float
    kind: EventKind
    worker_id: messages.WorkerId
    incarnation: messages.Incarnation
    attempt_id: messages.AttemptId = messages.AttemptId('')
    task_id: messages.TaskId = messages.TaskId('')
    team_id: messages.TeamId = messages.TeamId('')
    queue: messages.QueueName = messages.QueueName('')
    token: messages.FencingToken = messages.FencingToken(0)
    resources: messages.Resources | None = None
    slots_count: int = 0
    state: messages.AttemptState | None = None
    reason: str = ''
    expired_ms: float | None = None


class Journal:
    """Collects events in memory and, when there is a path, in a file.

    The file holds all events, memory the newest ``EVENTS_MAX``.
    """

    def __init__(self, worker_id: messages.WorkerId, path: str) -> None:
        self.incarnation = messages.Incarnation('')
        self._worker_id = worker_id
        self._lock = threading.Lock()
        self._events: collections.deque[Event] = collections.deque(
            maxlen=EVENTS_MAX
        )
        self._file: typing.BinaryIO | None = None
        if path:
            self._file = open(path, 'ab', buffering=0)

    def record(self, kind: EventKind, **fields: typing.Any) -> Event:
        """Add an event that happens now, to this incarnation by default."""
        fields.setdefault('incarnation', self.incarnation)
        with self._lock:
            event = Event(
                at_ms=now_ms(),
                kind=kind,
                worker_id=self._worker_id,
                **fields,
            )
            self._events.append(event)
            if self._file is not None:
                self._file.write(_encoding.to_json(event) + b'\n')
        return event

    def record_call(
        self,
        kind: EventKind,
        call: _calls.StartCall,
        **fields: typing.Any,
    ) -> Event:
        """Add an event of the attempt that a call started or wanted to."""
        return self.record(
            kind,
            attempt_id=call.attempt_id,
            task_id=call.task_id,
            team_id=call.team_id,
            queue=call.queue,
            token=call.token,
            resources=call.resources,
            slots_count=1,
            **fields,
        )

    def events(self) -> tuple[Event, ...]:
        """Return the newest ``EVENTS_MAX`` events, oldest first."""
        with self._lock:
            return tuple(self._events)

    def close(self) -> None:
        """Close the file; later events stay in memory alone."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, to the microsecond."""
    return time.monotonic_ns() // 1_000 / 1_000


def read_journal(path: str | pathlib.Path) -> tuple[Event, ...]:
    """Read a journal's file.

    A last line that a killed process left unfinished is passed over; any
    other line that is no event raises ValueError.
    """
    lines = pathlib.Path(path).read_bytes().split(b'\n')
    events = []
    for line in lines[:-1]:
        match _encoding.from_json(line, Event):
            case result.Success(event):
                events.append(event)
            case result.Failure(why):
                raise ValueError(f'{path}: {why}')
    return tuple(events)
