"""The worker under test, as the conformance checks access it."""

import dataclasses
import itertools
import secrets
import typing

from dandeliondrum import messages
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _worker_client
from dandeliondrum import worker

WAIT_TIMEOUT_MS = 10_000
DEFAULT_LEASE_MS = 60_000


class ConformanceError(Exception):
    """The worker violated the protocol."""


@dataclasses.dataclass(frozen=True)
class Bodies:
    """Request bodies for the tasks of the worker under test.

    The task of ``quick`` has to end within a second with an answer of at most
    64 KiB; that of ``long`` has to run for a minute or more.
    """

    quick: bytes = b'{"echo": "quick"}'
    long: bytes = b'{"hang": true}'


class Subject:
    """The worker under test.

    Starts attempts on it, waits for its heartbeats and cleans up afterwards.
    """

    def __init__(
        self, gateway: _fake_gateway.FakeGateway, bodies: Bodies
    ) -> None:
        self.gateway = gateway
        self.bodies = bodies
        self._run_id = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._started: list[str] = []

    @property
    def facts(self) -> messages.WorkerFacts:
        """The last announcement of the worker."""
        return self.gateway.announced[-1]

    @property
    def client(self) -> _worker_client.WorkerClient:
        """A client for the announced address of the worker."""
        return _worker_client.WorkerClient(self.facts.address)

    def new_attempt_id(self) -> str:
        """Return the id of the first attempt of a new task."""
        return f'conformance/{self._run_id}-{next(self._numbers)}#1'

    def start(
        self, attempt_id: str, body: bytes, **fields: typing.Any
    ) -> _worker_client.Reply:
        """Start an attempt that takes one slot, with an increasing token."""
        defaults: dict[str, typing.Any] = {
            'task_id': attempt_id.partition('#')[0],
            'token': next(self._numbers),
            'incarnation': self.facts.incarnation,
            'lease_ms': DEFAULT_LEASE_MS,
            'resources': self.slot_resources(),
        }
        self._started.append(attempt_id)
        return self.client.start(
            _worker_client.Start(
                attempt_id=attempt_id, body=body, **{**defaults, **fields}
            )
        )

    def slot_resources(self) -> messages.Resources:
        """Return the resources of the worker divided by its slots."""
        whole = self.facts.resources
        return messages.Resources(
            whole.cpu_millicores // self.facts.slots_count,
            whole.memory_mb // self.facts.slots_count,
        )

    def heartbeat(
        self,
        matches: typing.Callable[[messages.WorkerHeartbeat], bool],
        what: str,
    ) -> messages.WorkerHeartbeat:
        """Wait for a matching heartbeat that arrives from now on.

        ``what`` describes the condition in the error when none arrives.
        """
        found = self.gateway.wait_for_heartbeat(
            matches, WAIT_TIMEOUT_MS, after_ms=worker.now_ms()
        )
        if found is None:
            raise ConformanceError(f'no heartbeat received in which {what}')
        return found

    def clean_up(self) -> None:
        """Stop and release the attempts that a check has started."""
        self.gateway.answering = True
        self.gateway.answer_delay_ms = 0
        started = tuple(self._started)
        self._started.clear()
        self.gateway.reply_with(stop=started)
        self.heartbeat(
            lambda heartbeat: set(started) <= set(heartbeat.fenced),
            'all stopped attempts are fenced',
        )
        self.gateway.reply_with(acknowledged=started, release=started)
        self.heartbeat(
            lambda heartbeat: not heartbeat.ended and not heartbeat.fenced,
            'there is nothing left to acknowledge',
        )
        self.gateway.reply_with()


def expect(
    reply: _worker_client.Reply, status: int, state: str = ''
) -> _worker_client.Reply:
    """Return the reply if it has the status and, if given, the state.

    Raises ConformanceError otherwise.
    """
    if reply.status != status or (state and reply.state != state):
        raise ConformanceError(
            f'expected status {status} {state}, got {reply.status} '
            f'{reply.state} {reply.refused}: {reply.body!r:.200}'
        )
    return reply


def expect_refused(
    reply: _worker_client.Reply, *reasons: worker.Refused
) -> None:
    """Check that a start was refused for one of the reasons."""
    expect(reply, 409)
    allowed = [reason.value for reason in reasons]
    if reply.refused not in allowed:
        raise ConformanceError(
            f'header Refused: expected {" or ".join(allowed)}, '
            f'got {reply.refused!r}'
        )
