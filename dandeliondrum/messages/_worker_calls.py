"""What workers say, as gateways relay it to the leader."""

import dataclasses

from dandeliondrum.messages import _codec
from dandeliondrum.messages import _commands
from dandeliondrum.messages import _ids
from dandeliondrum.messages import _task


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceWorker:
    """A worker offers itself; the reply comes once that is agreed."""

    facts: _task.WorkerFacts


@dataclasses.dataclass(frozen=True, slots=True)
class RunningAttempt:
    """An attempt that runs on a worker now, with its latest usage."""

    attempt_id: _ids.AttemptId
    used: _task.Resources


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A worker's heartbeat.

    ``ended`` repeats each ended attempt until the answer to a heartbeat
    acknowledges it. ``fenced`` names attempts that the worker was asked to
    stop and that now neither run nor ever will.
    """

    worker_id: _ids.WorkerId
    incarnation: _ids.Incarnation
    running: tuple[RunningAttempt, ...]
    ended: tuple[_commands.AttemptReport, ...] = ()
    fenced: tuple[_ids.AttemptId, ...] = ()
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeatReply:
    """The answer to a heartbeat.

    The leases of all running attempts that are not in ``stop`` are renewed,
    counted from the moment at which the worker sent the heartbeat. With
    ``announce_again`` nothing is renewed: the leader does not know this
    incarnation. ``acknowledged`` lists ended attempts that are on record;
    ``release`` lists attempts whose answers may be dropped.
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
    """Heartbeats that one gateway gathered within a few milliseconds."""

    heartbeats: tuple[WorkerHeartbeat, ...]


@_codec.message
@dataclasses.dataclass(frozen=True, slots=True)
class WorkerHeartbeatReplies:
    """The replies, in the order of the heartbeats."""

    replies: tuple[WorkerHeartbeatReply, ...]
