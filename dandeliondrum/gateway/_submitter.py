"""Submits tasks of waiting callers to the leader, again after a failover."""

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
    """Submits the task of each waiter to the current leader.

    The leader deduplicates tasks by id, so a task may be submitted more than
    once.
    """

    def __init__(
        self,
        link: _leader_link.LeaderLink,
        waiters: _waiters.WaiterRegistry,
        timers: utils.TimerService,
    ) -> None:
        self._link = link
        self._waiters = waiters
        self._timers = timers

    def submit(self, waiter: _waiters.Waiter) -> None:
        """Send the task to the leader.

        If there is none, :meth:`submit_all` sends it once one is found.
        """
        remaining_ms = waiter.remaining_ms()
        if remaining_ms <= 0:
            return
        spec = dataclasses.replace(waiter.spec, timeout_ms=remaining_ms)
        call = messages.SubmitTasks((spec,), (), waiter.key)
        waiter.submit_started()
        self._link.call_async(call).add_done_callback(
            functools.partial(self._on_reply, waiter)
        )

    def submit_all(self) -> None:
        """Send the tasks of all waiting callers to a new leader."""
        for waiter in self._waiters.snapshot():
            self.submit(waiter)

    def _on_reply(
        self, waiter: _waiters.Waiter, future: transport.CallFuture
    ) -> None:
        match future.result():
            case result.Success(messages.TaskStatuses(statuses=(status,))):
                waiter.submit_ended(True)
                self._handle_status(waiter, status)
            case result.Success(messages.CallFailed() as failed):
                waiter.submit_ended(not failed.not_done)
                _logger.info(
                    'submit failed',
                    task=waiter.spec.task_id,
                    why=failed.reason,
                )
                self._schedule_retry(waiter)
            case result.Failure(transport.CallError(failure=failure)):
                waiter.submit_ended(
                    failure is not transport.CallFailure.NOT_SENT
                )
            case other:
                waiter.submit_ended(True)
                _logger.warning('unexpected reply', reply=str(other))

    def _handle_status(
        self, waiter: _waiters.Waiter, status: messages.TaskStatus
    ) -> None:
        if status.state is messages.TaskState.UNKNOWN:
            # The leader could not record the task, or lost its leadership.
            self._schedule_retry(waiter)
        else:
            waiter.notify(status)

    def _schedule_retry(self, waiter: _waiters.Waiter) -> None:
        self._timers.after(
            RETRY_PAUSE_MS, functools.partial(self._resubmit, waiter)
        )

    def _resubmit(self, waiter: _waiters.Waiter) -> None:
        if waiter in self._waiters.snapshot():
            self.submit(waiter)
