"""A worker that is put to the conformance test."""

import dataclasses
import itertools
import secrets
import typing

from dandeliondrum import messages
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _worker_client
from dandeliondrum import worker

PATIENCE_MS = 10_000
DEFAULT_LEASE_MS = 60_000


class NotConforming(Exception):
    """The worker did something else than the protocol asks for."""


@dataclasses.dataclass(frozen=True)
class Bodies:
    """Request bodies that the worker under test understands.

    ``quick`` makes a task that ends by itself within a second with an answer
    of at most 64 KiB; ``long`` one that would run for a minute or more.
    """

    quick: bytes = b'{"echo": "quick"}'
    long: bytes = b'{"hang": true}'


class Subject:
    """What a check needs to talk to the worker under test."""

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
        """What the worker announced last."""
        return self.gateway.announced[-1]

    @property
    def client(self) -> _worker_client.WorkerClient:
        """Calls the worker."""
        return _worker_client.WorkerClient(self.facts.address)

    def new_attempt(self) -> str:
        """Return the id of an attempt of a task that never was before."""
        return f'conformance/{self._run_id}-{next(self._numbers)}#1'

    def start(
        self, attempt_id: str, body: bytes, **fields: typing.Any
    ) -> _worker_client.Reply:
        """Start an attempt of one slot, with a token that rises."""
        defaults: dict[str, typing.Any] = {
            'task_id': attempt_id.partition('#')[0],
            'token': next(self._numbers),
            'incarnation': self.facts.incarnation,
            'lease_ms': DEFAULT_LEASE_MS,
            'resources': self.share(),
        }
        self._started.append(attempt_id)
        return self.client.start(
            _worker_client.Start(
                attempt_id=attempt_id, body=body, **{**defaults, **fields}
            )
        )

    def share(self) -> messages.Resources:
        """Return what one slot has of the worker's resources."""
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
        """Wait for a heartbeat from now on that matches."""
        found = self.gateway.wait_for_heartbeat(
            matches, PATIENCE_MS, after_ms=worker.now_ms()
        )
        if found is None:
            raise NotConforming(f'no heartbeat in which {what}')
        return found

    def clear(self) -> None:
        """Stop and release what a check left behind."""
        self.gateway.answering = True
        self.gateway.answer_delay_ms = 0
        started = tuple(self._started)
        self._started.clear()
        self.gateway.reply_with(stop=started)
        self.heartbeat(
            lambda heartbeat: set(started) <= set(heartbeat.fenced),
            'all that was stopped is fenced',
        )
        self.gateway.reply_with(acknowledged=started, release=started)
        self.heartbeat(
            lambda heartbeat: not heartbeat.ended and not heartbeat.fenced,
            'nothing is left to acknowledge',
        )
        self.gateway.reply_with()


def expect(
    reply: _worker_client.Reply, status: int, state: str = ''
) -> _worker_client.Reply:
    """Return the reply if it has this status and, if given, this state."""
    if reply.status != status or (state and reply.state != state):
        raise NotConforming(
            f'status {status} {state} expected, found {reply.status} '
            f'{reply.state} {reply.refused}: {reply.body!r:.200}'
        )
    return reply


def expect_refused(
    reply: _worker_client.Reply, *reasons: worker.Refused
) -> None:
    """See to it that a start was refused for one of these reasons."""
    expect(reply, 409)
    allowed = [reason.value for reason in reasons]
    if reply.refused not in allowed:
        raise NotConforming(
            f'header Refused: {" or ".join(allowed)} expected, '
            f'found {reply.refused!r}'
        )
