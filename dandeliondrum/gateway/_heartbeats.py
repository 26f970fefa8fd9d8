"""Gathers heartbeats of workers into one call to the leader."""

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

GATHER_MS = 20
BATCH_HEARTBEATS = 500
HEARTBEAT_DEADLINE_MS = 950
IDLE_POLL_MS = 100

HeartbeatReply = result.Result[messages.WorkerHeartbeatReply, str]
HeartbeatFuture = concurrent.futures.Future[HeartbeatReply]

_logger = structlog.get_logger()


@dataclasses.dataclass(frozen=True)
class _Waiting:
    heartbeat: messages.WorkerHeartbeat
    future: HeartbeatFuture


class Heartbeats:
    """Relays heartbeats; each has a deadline of its own."""

    def __init__(self, link: _leader_link.LeaderLink) -> None:
        self._link = link
        self._queue: queue.SimpleQueue[_Waiting] = queue.SimpleQueue()

    def relay(self, heartbeat: messages.WorkerHeartbeat) -> HeartbeatReply:
        """Return the leader's answer to one heartbeat, or why none came."""
        future: HeartbeatFuture = concurrent.futures.Future()
        self._queue.put(_Waiting(heartbeat, future))
        try:
            return future.result(HEARTBEAT_DEADLINE_MS / 1000)
        except concurrent.futures.TimeoutError:
            return result.Failure('the leader did not answer in time')

    def run(self, stopping: threading.Event) -> None:
        """Send gathered heartbeats until asked to stop."""
        while not stopping.is_set():
            try:
                first = self._queue.get(timeout=IDLE_POLL_MS / 1000)
            except queue.Empty:
                continue
            stopping.wait(GATHER_MS / 1000)
            self._send(self._gather(first))

    def _gather(self, first: _Waiting) -> tuple[_Waiting, ...]:
        batch = [first]
        while len(batch) < BATCH_HEARTBEATS:
            try:
                batch.append(self._queue.get_nowait())
            except queue.Empty:
                break
        return tuple(batch)

    def _send(self, batch: tuple[_Waiting, ...]) -> None:
        call = messages.WorkerHeartbeats(tuple(one.heartbeat for one in batch))
        self._link.call_async(call).add_done_callback(
            functools.partial(_replied, batch)
        )


def _replied(
    batch: tuple[_Waiting, ...], future: transport.CallFuture
) -> None:
    match future.result():
        case result.Success(messages.WorkerHeartbeatReplies(replies=replies)):
            if _belong(batch, replies):
                for one, reply in zip(batch, replies, strict=True):
                    one.future.set_result(result.Success(reply))
                return
            why = 'the replies belong to other heartbeats'
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


def _belong(
    batch: tuple[_Waiting, ...],
    replies: tuple[messages.WorkerHeartbeatReply, ...],
) -> bool:
    return [one.heartbeat.worker_id for one in batch] == [
        reply.worker_id for reply in replies
    ]
