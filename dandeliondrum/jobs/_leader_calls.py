"""Calls to the current leader, with retries across a change of leader."""

import collections.abc
import dataclasses
import threading
import time
import typing

from returns import result
import structlog

from dandeliondrum import gateway
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _policy
from dandeliondrum import messages
from dandeliondrum import transport

RETRY_DELAY_MS = 60
# Calls wait for a leader only this long after the last one was lost. A new
# leader is usually found by then (after 0.7 to 1.5 s in benchmarks); if it
# takes longer, most controllers are down for an unknown time.
FAILOVER_MS = 1_400

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class LinkOptions:
    """Identity of this process and the controllers to contact first."""

    gateway_id: messages.GatewayId
    cell_id: messages.CellId
    region: messages.Region
    failure_domain: messages.FailureDomain
    controllers: tuple[tuple[messages.ControllerId, str], ...]


class ActivePolicy:
    """The newest policy that the leader sent; thread-safe."""

    def __init__(
        self, decode: collections.abc.Callable[[bytes], _policy.Policy]
    ) -> None:
        self.version = messages.RulesVersion(0)
        self.policy = _policy.Policy()
        self._has_policy = threading.Event()
        self._decode = decode
        self._lock = threading.Lock()

    def update_if_newer(
        self, version: messages.RulesVersion, text: str
    ) -> None:
        """Activate a document if it is newer than the active one."""
        with self._lock:
            if version <= self.version:
                return
            self.policy = self._decode(text.encode())
            self.version = version
        self._has_policy.set()
        _logger.info('policy in force', version=version)

    def wait_until_known(self, timeout_ms: int) -> None:
        """Wait for the first policy, at most ``timeout_ms``."""
        self._has_policy.wait(timeout_ms / 1000)


class Unavailable(typing.NamedTuple):
    """Failure of a call.

    ``not_done`` guarantees that the call had no effect. ``retry_after_ms`` is
    set if the leader has refused the call because it is overloaded.
    """

    reason: str
    not_done: bool
    retry_after_ms: int = 0


class LeaderCalls:
    """Sends calls to the leader and retries them after a failure.

    A call that is not answered yet is sent again only if its stream has
    closed; the link closes the stream of a leader that stops answering. A
    retried call may be executed twice, so all calls are idempotent.
    """

    def __init__(
        self,
        options: LinkOptions,
        rules: ActivePolicy,
        adviser_client: _adviser_client.AdviserClient,
    ) -> None:
        self._adviser_client = adviser_client
        self.link = gateway.LeaderLink(
            options,
            gateway.LinkEvents(
                _do_nothing, _ignore, _ignore, self._handle_call
            ),
            rules,
        )

    def failover_left_ms(self) -> int:
        """Return the milliseconds left within which a failover is likely."""
        return max(0, FAILOVER_MS - self.link.down_ms())

    def call(
        self, message: typing.Any, timeout_ms: int
    ) -> result.Result[typing.Any, Unavailable]:
        """Return the leader's reply, retrying until the timeout.

        A call that certainly had no effect fails early once no leader has
        been known for longer than a failover takes, so that its caller need
        not wait for the timeout. A call that an overloaded leader refuses
        fails at once.
        """
        deadline_ms = _clock.elapsed_ms() + timeout_ms
        not_done = True
        reason = 'no leader is known'
        while True:
            left_ms = deadline_ms - _clock.elapsed_ms()
            gives_up = not_done and not self.failover_left_ms()
            if left_ms <= 0 or gives_up:
                return result.Failure(Unavailable(reason, not_done))
            match self.link.call(message, left_ms):
                case result.Success(messages.NotLeader()):
                    reason = 'the leader has changed'
                case result.Success(messages.CallFailed() as failed):
                    reason = failed.reason
                    not_done = not_done and failed.not_done
                    if failed.retry_after_ms:
                        return result.Failure(
                            Unavailable(
                                reason, not_done, failed.retry_after_ms
                            )
                        )
                case result.Success(value):
                    return result.Success(value)
                case result.Failure(error):
                    reason = error.failure.value
                    unsent = transport.CallFailure.NOT_SENT
                    not_done = not_done and error.failure is unsent
            time.sleep(RETRY_DELAY_MS / 1000)

    def _handle_call(
        self, _connection: transport.Connection, message: typing.Any
    ) -> typing.Any:
        if isinstance(message, _calls.AdviceRequest):
            return self._adviser_client.ask(message)
        return messages.CallFailed('unknown call', True)


def _do_nothing() -> None:
    """Ignore that a leader was found: calls retry by themselves."""


def _ignore(message: object) -> None:
    _logger.warning('unexpected push', kind=type(message).__name__)
