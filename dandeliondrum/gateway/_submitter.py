"""Hands tasks of waiting callers to the leader, again if it is lost."""

import dataclasses
import functools

from returns import result
import structlog

from dandeliondrum.gateway import _leader_link
from dandeliondrum.gateway import _waiters
from dandeliondrum import messages
from dandeliondrum import transport
from dandeliondrum import utils

RETRY_PAUSE_MS = 200

_logger = structlog.get_logger()


class Submitter:
    """Submits each waiter's task to whoever leads.

    The leader merges tasks by their ids, so a task may be submitted more
    than once.
    """

    def __init__(
        self,
        link: _leader_link.LeaderLink,
        waiters: _waiters.Waiters,
        timers: utils.TimerService,
    ) -> None:
        self._link = link
        self._waiters = waiters
        self._timers = timers

    def submit(self, waiter: _waiters.Waiter) -> None:
        """Send the task; without a leader it is sent once there is one."""
        left_ms = waiter.left_ms()
        if left_ms <= 0:
            return
        spec = dataclasses.replace(waiter.spec, timeout_ms=left_ms)
        call = messages.SubmitTasks((spec,), (), waiter.key)
        waiter.submit_begins()
        self._link.call_async(call).add_done_callback(
            functools.partial(self._replied, waiter)
        )

    def submit_all(self) -> None:
        """Send every task whose caller waits, to a new leader."""
        for waiter in self._waiters.snapshot():
            self.submit(waiter)

    def _replied(
        self, waiter: _waiters.Waiter, future: transport.CallFuture
    ) -> None:
        match future.result():
            case result.Success(messages.TaskStatuses(statuses=(status,))):
                waiter.submit_ended(True)
                self._take(waiter, status)
            case result.Success(messages.CallFailed() as failed):
                waiter.submit_ended(not failed.not_done)
                _logger.info(
                    'submit failed',
                    task=waiter.spec.task_id,
                    why=failed.reason,
                )
                self._retry(waiter)
            case result.Failure(transport.CallError(failure=failure)):
                waiter.submit_ended(
                    failure is not transport.CallFailure.NOT_SENT
                )
            case other:
                waiter.submit_ended(True)
                _logger.warning('unexpected reply', reply=str(other))

    def _take(
        self, waiter: _waiters.Waiter, status: messages.TaskStatus
    ) -> None:
        if status.state is messages.TaskState.UNKNOWN:
            # The leader could not put it on record, or was deposed.
            self._retry(waiter)
        else:
            waiter.notify(status)

    def _retry(self, waiter: _waiters.Waiter) -> None:
        self._timers.after(
            RETRY_PAUSE_MS, functools.partial(self._again, waiter)
        )

    def _again(self, waiter: _waiters.Waiter) -> None:
        if waiter in self._waiters.snapshot():
            self.submit(waiter)
