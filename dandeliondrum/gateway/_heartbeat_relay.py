"""Relay of worker heartbeats to the leader, in batches."""

import concurrent.futures
import dataclasses
import functools
import queue
import threading

from returns import result
import structlog

from dandeliondrum.gateway import _leader_link
from dandeliondrum import messages
from dandeliondrum import transport

BATCH_WINDOW_MS = 20
BATCH_HEARTBEATS_MAX = 500
RELAY_TIMEOUT_MS = 950
IDLE_POLL_MS = 100

HeartbeatReply = result.Result[messages.WorkerHeartbeatReply, str]
HeartbeatFuture = concurrent.futures.Future[HeartbeatReply]

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class _PendingHeartbeat:
    heartbeat: messages.WorkerHeartbeat
    future: HeartbeatFuture


class HeartbeatRelay:
    """Relays heartbeats in batches; each has its own timeout."""

    def __init__(self, link: _leader_link.LeaderLink) -> None:
        self._link = link
        self._queue: queue.SimpleQueue[_PendingHeartbeat] = queue.SimpleQueue()

    def relay(self, heartbeat: messages.WorkerHeartbeat) -> HeartbeatReply:
        """Return the leader's reply to a heartbeat, or why there is none."""
        future: HeartbeatFuture = concurrent.futures.Future()
        self._queue.put(_PendingHeartbeat(heartbeat, future))
        try:
            return future.result(RELAY_TIMEOUT_MS / 1000)
        except concurrent.futures.TimeoutError:
            return result.Failure('the leader did not answer in time')

    def run(self, stopping: threading.Event) -> None:
        """Send batches of heartbeats until ``stopping`` is set."""
        while not stopping.is_set():
            try:
                first = self._queue.get(timeout=IDLE_POLL_MS / 1000)
            except queue.Empty:
                continue
            stopping.wait(BATCH_WINDOW_MS / 1000)
            self._send(self._collect_batch(first))

    def _collect_batch(
        self, first: _PendingHeartbeat
    ) -> tuple[_PendingHeartbeat, ...]:
        batch = [first]
        while len(batch) < BATCH_HEARTBEATS_MAX:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return tuple(batch)

    def _send(self, batch: tuple[_PendingHeartbeat, ...]) -> None:
        call = messages.WorkerHeartbeats(tuple(one.heartbeat for one in batch))
        self._link.call_async(call).add_done_callback(
            functools.partial(_on_reply, batch)
        )


def _on_reply(
    batch: tuple[_PendingHeartbeat, ...], future: transport.CallFuture
) -> None:
    match future.result():
        case result.Success(messages.WorkerHeartbeatReplies(replies=replies)):
            if _match_workers(batch, replies):
                for one, reply in zip(batch, replies, strict=True):
                    one.future.set_result(result.Success(reply))
                return
            why = 'the replies do not match the heartbeats'
        case result.Success(messages.CallFailed(reason=why)):
            pass
        case result.Failure(transport.CallError(failure=failure)):
            why = failure.value
        case other:
            why = f'unexpected reply {type(other).__name__}'
    _logger.info(
        'heartbeats not relayed', heartbeats_count=len(batch), why=why
    )
    for one in batch:
        one.future.set_result(result.Failure(why))


def _match_workers(
    batch: tuple[_PendingHeartbeat, ...],
    replies: tuple[messages.WorkerHeartbeatReply, ...],
) -> bool:
    return [one.heartbeat.worker_id for one in batch] == [
        reply.worker_id for reply in replies
    ]
