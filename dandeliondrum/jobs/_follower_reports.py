"""Reports of workers that a follower answers without the leader."""

import threading
import typing

from returns import result
import structlog

from dandeliondrum import gateway
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum.jobs import _state
from dandeliondrum import messages
from dandeliondrum import transport

# The leader removes a worker after 20 s without a report.
FORWARD_INTERVAL_MS = 5_000
# A follower that no leader has answered for this long acknowledges nothing,
# since the leader would not get to know that the worker is alive.
LEADER_AGE_MAX_MS = 5_000

_logger = structlog.get_logger()


class FollowerReports:
    """Acknowledges reports whose facts are committed already; thread-safe.

    Most reports repeat what the leader knows. A worker does not wait for the
    leader then, which gets only one of them each ``FORWARD_INTERVAL_MS``.
    """

    def __init__(
        self, state: _state.JobsState, link: gateway.LeaderLink
    ) -> None:
        self._state = state
        self._link = link
        self._lock = threading.Lock()
        self._forwarded_ms: dict[messages.WorkerId, int] = {}

    def acknowledges(self, report: _calls.WorkerReport) -> bool:
        """Return whether a report needs no answer from the leader.

        It is forwarded in the background if it is due.
        """
        # Read without the lock, as a snapshot of the state may hold it.
        known = self._state.workers.get(report.facts.worker_id)
        if known is None or known.facts != report.facts:
            return False
        age_ms = self._link.since_last_answer_ms()
        if age_ms is None or age_ms > LEADER_AGE_MAX_MS:
            return False
        if self._is_due(report):
            self._forward(report)
        return True

    def _is_due(self, report: _calls.WorkerReport) -> bool:
        worker_id, now_ms = report.facts.worker_id, _clock.elapsed_ms()
        with self._lock:
            last_ms = self._forwarded_ms.get(worker_id)
            if report.leaves_in_ms is None and last_ms is not None:
                if now_ms - last_ms < FORWARD_INTERVAL_MS:
                    return False
            self._forwarded_ms[worker_id] = now_ms
            if len(self._forwarded_ms) > 2 * len(self._state.workers):
                self._forwarded_ms = {
                    one: forwarded_ms
                    for one, forwarded_ms in self._forwarded_ms.items()
                    if now_ms - forwarded_ms < FORWARD_INTERVAL_MS
                }
        return True

    def _forward(self, report: _calls.WorkerReport) -> None:
        def finish(done: transport.CallFuture) -> None:
            why = _failure_reason(done.result())
            if why is None:
                return
            worker_id = report.facts.worker_id
            _logger.info('report not forwarded', worker=worker_id, why=why)
            with self._lock:
                self._forwarded_ms.pop(worker_id, None)

        self._link.call_async(report).add_done_callback(finish)


def _failure_reason(
    outcome: result.Result[typing.Any, transport.CallError],
) -> str | None:
    """Return why the leader has not noted a report, None if it has."""
    match outcome:
        case result.Success(messages.CallFailed(reason)):
            return reason
        case result.Success(messages.NotLeader()):
            return 'not the leader'
        case result.Success():
            return None
    return outcome.failure().failure.value
