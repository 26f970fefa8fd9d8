"""Calls to whoever leads, from a process that may lead itself."""

import collections.abc
import dataclasses
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum import gateway
from dandeliondrum.jobs import _asker
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _policy
from dandeliondrum import messages
from dandeliondrum import transport

# One attempt; after that the leader may be another one.
ATTEMPT_TIMEOUT_MS = 1_500
RETRY_PAUSE_MS = 60
# By then another leader is usually found (0.7 to 1.5 s on the bench); when it
# takes longer, most of the controllers are down, and nobody knows for how
# long. Calls wait for a leader only within this time after the last was lost.
FAILOVER_MS = 1_400

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class LinkOptions:
    """Who this process is to the leader, and the first controllers to ask."""

    gateway_id: messages.GatewayId
    cell_id: messages.CellId
    region: messages.Region
    failure_domain: messages.FailureDomain
    controllers: tuple[tuple[messages.ControllerId, str], ...]


class PolicyInForce:
    """The newest policy that the leader sent; safe for any thread."""

    def __init__(
        self, decode: collections.abc.Callable[[bytes], _policy.Policy]
    ) -> None:
        self.version = messages.RulesVersion(0)
        self.policy = _policy.Policy()
        self._is_known = threading.Event()
        self._decode = decode
        self._lock = threading.Lock()

    def take(self, version: messages.RulesVersion, text: str) -> None:
        """Put a document in force unless an older or the same one."""
        with self._lock:
            if version <= self.version:
                return
            self.policy = self._decode(text.encode())
            self.version = version
        self._is_known.set()
        _logger.info('policy in force', version=version)

    def wait_known(self, timeout_ms: int) -> None:
        """Wait for the first policy, at most for so long."""
        self._is_known.wait(timeout_ms / 1000)


class Unavailable(typing.NamedTuple):
    """A call had no reply; ``not_done`` vouches that it had no effect."""

    reason: str
    not_done: bool


class LeaderCalls:
    """Sends calls to the leader, again to the next one where one fails.

    A call may be carried out twice, so all of them say the same when they
    come again.
    """

    def __init__(
        self,
        options: LinkOptions,
        rules: PolicyInForce,
        asker: _asker.Asker,
    ) -> None:
        self._asker = asker
        self.link = gateway.LeaderLink(
            options,
            gateway.LinkEvents(_do_nothing, _ignore, _ignore, self._answer),
            rules,
        )

    def failover_left_ms(self) -> int:
        """Return how long it is still likely that a leader is found."""
        return max(0, FAILOVER_MS - self.link.down_ms())

    def call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, Unavailable]:
        """Return the leader's reply, asking again until the timeout.

        A call that was not sent at all is given up once no leader has been
        known for longer than a failover takes, so that its caller learns at
        once that it can't be served.
        """
        deadline_ms = _clock.elapsed_ms() + timeout_ms
        not_done = True
        reason = 'no leader is known'
        while True:
            left_ms = deadline_ms - _clock.elapsed_ms()
            hopeless = not_done and not self.failover_left_ms()
            if left_ms <= 0 or hopeless:
                return result.Failure(Unavailable(reason, not_done))
            reply = self.link.call(
                message, max(1, min(left_ms, ATTEMPT_TIMEOUT_MS))
            )
            match reply:
                case result.Success(messages.NotLeader()):
                    reason = 'the leader has changed'
                case result.Success(messages.CallFailed() as failed):
                    reason = failed.reason
                    not_done = not_done and failed.not_done
                case result.Success(value):
                    return result.Success(value)
                case result.Failure(error):
                    reason = error.failure.value
                    unsent = transport.CallFailure.NOT_SENT
                    not_done = not_done and error.failure is unsent
            time.sleep(RETRY_PAUSE_MS / 1000)

    def _answer(
        self, _connection: transport.Connection, message: typing.Any
    ) -> typing.Any:
        if isinstance(message, _calls.AdviceRequest):
            return self._asker.ask(message)
        return messages.CallFailed('unknown call', True)


def _do_nothing() -> None:
    """Nothing waits for the link to come up: calls ask again."""


def _ignore(message: object) -> None:
    _logger.warning('unexpected push', kind=type(message).__name__)
