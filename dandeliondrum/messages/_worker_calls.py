"""Messages of workers, which gateways relay to the leader."""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _commands
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _task


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceWorker:
    """Announces a worker; the reply is sent once this is committed."""

    facts: _task.WorkerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that runs on a worker, with its current usage."""

    attempt_id: _ids.AttemptId
    used: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """Heartbeat of one worker.

    ``ended`` repeats each ended attempt until the reply to a heartbeat
    acknowledges it. ``fenced`` lists attempts that the worker was asked to
    stop and that neither run nor can start any more.
    """

    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    running: tuple[RunningAttempt, ...]
    ended: tuple[_commands.AttemptReport, ...] = ()
    fenced: tuple[_ids.AttemptId, ...] = ()
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeatReply:
    """The reply to a heartbeat of one worker.

    It renews the leases of all running attempts that are not in ``stop``,
    counted from the time at which the worker sent the heartbeat. With
    ``announce_again`` no lease is renewed, because the leader does not know
    this incarnation. ``acknowledged`` lists ended attempts whose end is
    committed, ``release`` attempts whose answers may be dropped.
    """

    worker_id: _ids.WorkerId
    announce_again: bool = False
    stop: tuple[_ids.AttemptId, ...] = ()
    checkpoint: tuple[_ids.AttemptId, ...] = ()
    throttle: tuple[_ids.AttemptId, ...] = ()
    acknowledged: tuple[_ids.AttemptId, ...] = ()
    release: tuple[_ids.AttemptId, ...] = ()


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeats:
    """Heartbeats that a gateway has collected within a few milliseconds."""

    heartbeats: tuple[WorkerHeartbeat, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeatReplies:
    """The replies to :class:`WorkerHeartbeats`, in the same order."""

    replies: tuple[WorkerHeartbeatReply, ...]
