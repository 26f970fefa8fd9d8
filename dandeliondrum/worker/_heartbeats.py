"""Announces the worker and keeps its leases alive.

Each heartbeat is a short call of its own to one gateway; the next one goes to
another gateway when it fails. Its answer renews leases from the moment at
which the heartbeat was sent.
"""

import secrets
import threading

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum import utils
from dandeliondrum.worker import _attempts
from dandeliondrum.worker import _encoding
from dandeliondrum.worker import _gateways
from dandeliondrum.worker import _journal
from dandeliondrum.worker import _leases
from dandeliondrum.worker import _reports

COALESCE_MS = 20
FAILURE_PAUSE_MS = 50
MOST_DOUBLINGS = 3

_logger = structlog.get_logger()


class Heartbeats:
    """One task that talks to the gateways on behalf of a worker."""

    def __init__(
        self,
        facts: messages.WorkerFacts,
        gateways: _gateways.Gateways,
        attempts: _attempts.Attempts,
        leases: _leases.Leases,
        journal: _journal.Journal,
    ) -> None:
        self._facts = facts
        self._gateways = gateways
        self._attempts = attempts
        self._leases = leases
        self._journal = journal
        self._due = threading.Event()
        self._fenced: dict[messages.AttemptId, None] = {}
        self._announced = False
        self._leaving_acknowledged = False

    def wake(self) -> None:
        """Send a heartbeat now."""
        self._due.set()

    def run(self, stopping: threading.Event) -> None:
        """Announce, then send heartbeats, until asked to stop."""
        failures_count = 0
        while not stopping.is_set():
            if self._attempts.overflowed:
                self._begin_again('too many tombstones')
            succeeded = (
                self._heartbeat() if self._announced else self._announce()
            )
            if not succeeded:
                failures_count += 1
                stopping.wait(self._pause_ms(failures_count) / 1000)
                continue
            failures_count = 0
            self._due.wait()
            stopping.wait(COALESCE_MS / 1000)
            self._due.clear()

    def _pause_ms(self, failures_count: int) -> int:
        rounds_count = failures_count // len(self._gateways)
        doublings_count = min(rounds_count, MOST_DOUBLINGS)
        return FAILURE_PAUSE_MS << doublings_count

    def _announce(self) -> bool:
        facts = _reports.with_incarnation(
            self._facts, self._journal.incarnation
        )
        sent_ms = _journal.now_ms()
        reply = self._gateways.post(
            '/v1/workers/announce', _encoding.to_json(facts)
        )
        if isinstance(reply, result.Failure):
            return False
        self._announced = True
        self._journal.record(_journal.EventKind.ANNOUNCED)
        self._leases.answered(sent_ms)
        self._due.set()
        return True

    def _heartbeat(self) -> bool:
        sent_ms = _journal.now_ms()
        heartbeat = _reports.heartbeat(
            self._facts, self._attempts, self._journal, tuple(self._fenced)
        )
        answered = self._gateways.post(
            '/v1/workers/heartbeat', _encoding.to_json(heartbeat)
        ).bind(
            lambda body: _encoding.from_json(
                body, messages.WorkerHeartbeatReply
            )
        )
        match answered:
            case result.Success(reply):
                self._take(heartbeat, reply, sent_ms)
                return True
            case result.Failure(why):
                _logger.info('heartbeat without answer', why=why)
        return False

    def _take(
        self,
        heartbeat: messages.WorkerHeartbeat,
        reply: messages.WorkerHeartbeatReply,
        sent_ms: float,
    ) -> None:
        if reply.announce_again:
            self._begin_again('announce again')
            return
        for attempt_id in reply.stop:
            self._attempts.stop(attempt_id, 'requested')
        self._leases.answered(sent_ms)
        self._tell_leaving(heartbeat)
        self._steer(reply)
        for attempt_id in reply.acknowledged:
            self._attempts.acknowledge(attempt_id)
        for attempt_id in reply.release:
            self._attempts.release(attempt_id)
        for attempt_id in heartbeat.fenced:
            if attempt_id not in reply.stop:
                self._fenced.pop(attempt_id, None)
        new = set(reply.stop) - self._fenced.keys()
        self._fenced.update(dict.fromkeys(reply.stop))
        if new:
            self._due.set()

    def _steer(self, reply: messages.WorkerHeartbeatReply) -> None:
        for attempt in self._attempts.running():
            attempt_id = attempt.call.attempt_id
            attempt.throttle(attempt_id in reply.throttle)
            if attempt_id in reply.checkpoint:
                self._attempts.checkpoint(attempt)

    def _tell_leaving(self, heartbeat: messages.WorkerHeartbeat) -> None:
        if heartbeat.leaving and not self._leaving_acknowledged:
            self._leaving_acknowledged = True
            self._journal.record(_journal.EventKind.LEAVING_ACKNOWLEDGED)

    def _begin_again(self, reason: str) -> None:
        _logger.warning('dropping everything', why=reason)
        self._announced = False
        self._fenced.clear()
        self._attempts.reset(new_incarnation(), reason)


def new_incarnation() -> messages.Incarnation:
    """Return an incarnation that no worker had before."""
    return messages.Incarnation(secrets.token_hex(8))


def start_heartbeating(
    heartbeats: Heartbeats, timers: utils.TimerService, interval_ms: int
) -> utils.Subscription:
    """Make heartbeats due at each interval."""
    return timers.every(interval_ms, heartbeats.wake)
