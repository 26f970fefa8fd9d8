"""Announces the worker and sends heartbeats that renew its leases.

Each heartbeat is a separate short call to one gateway; after a failure the
next call goes to another gateway. A reply renews the leases as of the time at
which the heartbeat was sent.
"""

import secrets
import threading

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import utils
from dandeliondrum.worker import _attempt_table
from dandeliondrum.worker import _encoding
from dandeliondrum.worker import _gateway_client
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _leases
from dandeliondrum.worker import _reports

COALESCE_MS = 20
RETRY_BACKOFF_MS = 50
BACKOFF_DOUBLINGS_MAX = 3

_logger = structlog.get_logger()


class Heartbeats:
    """Sends announcements and heartbeats of one worker to the gateways."""

    def __init__(
        self,
        facts: messages.WorkerFacts,
        gateways: _gateway_client.GatewayClient,
        attempts: _attempt_table.AttemptTable,
        leases: _leases.Leases,
        journal: _journal.Journal,
    ) -> None:
        self._facts = facts
        self._gateway_client = gateways
        self._attempts = attempts
        self._leases = leases
        self._journal = journal
        self._due = threading.Event()
        # Attempts that the leader asked to stop, until it has received the
        # report that they are fenced.
        self._to_fence: dict[messages.AttemptId, None] = {}
        self._announced = False
        self._leaving_acknowledged = False

    def wake(self) -> None:
        """Make the loop of :meth:`run` send a heartbeat now."""
        self._due.set()

    def run(self, stopping: threading.Event) -> None:
        """Announce the worker, then send heartbeats until ``stopping`` is set.

        Failed calls are repeated after a pause that doubles each time all
        gateways have been tried, up to ``BACKOFF_DOUBLINGS_MAX`` times.
        """
        failures_count = 0
        while not stopping.is_set():
            if self._attempts.overflowed:
                self._take_new_incarnation('too many tombstones')
            succeeded = (
                self._heartbeat() if self._announced else self._announce()
            )
            if not succeeded:
                failures_count += 1
                stopping.wait(self._backoff_ms(failures_count) / 1000)
                continue
            failures_count = 0
            self._due.wait()
            stopping.wait(COALESCE_MS / 1000)
            self._due.clear()

    def _backoff_ms(self, failures_count: int) -> int:
        rounds_count = failures_count // len(self._gateway_client)
        doublings_count = min(rounds_count, BACKOFF_DOUBLINGS_MAX)
        return RETRY_BACKOFF_MS << doublings_count

    def _announce(self) -> bool:
        facts = _reports.with_incarnation(
            self._facts, self._journal.incarnation
        )
        sent_ms = _journal.now_ms()
        reply = self._gateway_client.post(
            '/v1/workers/announce', _encoding.to_json(facts)
        )
        if isinstance(reply, result.Failure):
            return False
        self._announced = True
        self._leases.record_answered_heartbeat(sent_ms)
        self._journal.record(_journal.EventKind.ANNOUNCED)
        self._due.set()
        return True

    def _heartbeat(self) -> bool:
        sent_ms = _journal.now_ms()
        heartbeat = _reports.heartbeat(
            self._facts, self._attempts, self._journal, tuple(self._to_fence)
        )
        decoded = self._gateway_client.post(
            '/v1/workers/heartbeat', _encoding.to_json(heartbeat)
        ).bind(
            lambda body: _encoding.from_json(
                body, messages.WorkerHeartbeatReply
            )
        )
        match decoded:
            case result.Success(reply):
                self._apply_reply(heartbeat, reply, sent_ms)
                return True
            case result.Failure(why):
                _logger.info('heartbeat failed', why=why)
        return False

    def _apply_reply(
        self,
        heartbeat: messages.WorkerHeartbeat,
        reply: messages.WorkerHeartbeatReply,
        sent_ms: float,
    ) -> None:
        if reply.announce_again:
            self._take_new_incarnation('announce again')
            return
        # After a freeze, the reply may be handled before the lease timer.
        self._attempts.stop_expired()
        for attempt_id in reply.stop:
            self._attempts.stop(attempt_id, 'requested')
        self._leases.record_answered_heartbeat(sent_ms)
        self._record_leaving_acknowledged(heartbeat)
        self._throttle_and_checkpoint(reply)
        for attempt_id in reply.acknowledged:
            self._attempts.acknowledge(attempt_id)
        for attempt_id in reply.release:
            self._attempts.release(attempt_id)
        for attempt_id in heartbeat.fenced:
            if attempt_id not in reply.stop:
                self._to_fence.pop(attempt_id, None)
        new_stops = set(reply.stop) - self._to_fence.keys()
        self._to_fence.update(dict.fromkeys(reply.stop))
        if new_stops:
            self._due.set()

    def _throttle_and_checkpoint(
        self, reply: messages.WorkerHeartbeatReply
    ) -> None:
        for attempt in self._attempts.running():
            attempt_id = attempt.call.attempt_id
            attempt.throttle(attempt_id in reply.throttle)
            if attempt_id in reply.checkpoint:
                self._attempts.record_checkpoint(attempt)

    def _record_leaving_acknowledged(
        self, heartbeat: messages.WorkerHeartbeat
    ) -> None:
        if heartbeat.leaving and not self._leaving_acknowledged:
            self._leaving_acknowledged = True
            self._journal.record(_journal.EventKind.LEAVING_ACKNOWLEDGED)

    def _take_new_incarnation(self, reason: str) -> None:
        _logger.warning('dropping all attempts', why=reason)
        self._announced = False
        self._to_fence.clear()
        self._attempts.reset(new_incarnation(), reason)


def new_incarnation() -> messages.Incarnation:
    """Return an incarnation that no worker had before: 64 random bits."""
    return messages.Incarnation(secrets.token_hex(8))


def schedule_heartbeats(
    heartbeats: Heartbeats, timers: utils.TimerService, interval_ms: int
) -> utils.Subscription:
    """Send a heartbeat at each interval, in milliseconds."""
    return timers.every(interval_ms, heartbeats.wake)
