"""Event journal of a worker, for checks by other processes.

The file has one line of JSON per event, with a timestamp of the monotonic
clock, which all processes of one machine share. The file is unbuffered, so
that a killed process loses no line that it wrote.
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
    """Kind of an event in the journal.

    ``OVERLOAD`` means that the worker was given more than its capacity: a
    start that it had to refuse, or too many connections. ``LEAVING`` is the
    decision to leave and ``LEAVING_ACKNOWLEDGED`` the first reply to a
    heartbeat that reported it.
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
    """One event in the journal.

    ``at_ms`` and ``expired_ms`` are times of the monotonic clock.
    ``resources`` and ``slots_count`` hold the capacity of the worker in
    ``BEGUN`` and the declared needs of the attempt in other events.
    ``expired_ms`` is the time at which the lease expired, if the attempt was
    stopped for that reason.
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
    """Stores events in memory and, if ``path`` is not empty, in a file.

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
        """Add an event with the current time.

        The event belongs to the current incarnation unless ``fields`` names
        another one.
        """
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
        """Add an event of the attempt that a start call refers to."""
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
        """Close the file; later events are stored in memory only."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None


def now_ms() -> float:
    """Return the monotonic time in milliseconds, to the microsecond."""
    return time.monotonic_ns() // 1_000 / 1_000


def read_journal(path: str | pathlib.Path) -> tuple[Event, ...]:
    """Read the events of a journal file.

    An incomplete last line, as a killed process may leave it, is ignored.
    Raises ValueError if any other line is not a valid event.
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
