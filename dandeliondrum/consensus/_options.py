"""Settings and limits of a node of the replicated log."""

import collections.abc
import dataclasses
import pathlib

from dandeliondrum import messages

# Limits of one AppendEntries message and of one batch on the disk. A command
# larger than APPEND_BYTES_MAX is sent in a message of its own.
APPEND_BYTES_MAX = 256 * 1024
APPEND_ENTRIES_MAX = 2_000
BATCH_BYTES_MAX = 4 * 1024 * 1024
# Maximum number of unanswered AppendEntries requests per peer.
IN_FLIGHT_CALLS_MAX = 2
COMMAND_BYTES_MAX = 32 * 1024 * 1024
COMPRESSION_MIN_BYTES = 512
COMPRESSION_LEVEL = 1
UNAPPLIED_PROPOSALS_MAX = 20_000
# Commands are refused while less disk space than this is free.
RESERVED_DISK_BYTES = 16 * 1024 * 1024
DISK_SPACE_CHECK_MS = 250
SEGMENT_BYTES_MAX = 16 * 1024 * 1024
# A snapshot is taken after this many bytes of entries, even if there are
# fewer entries than Options.snapshot_every_entries.
SNAPSHOT_EVERY_BYTES = 32 * 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# The timeout of a call is extended by the time in which its payload passes a
# link of this bandwidth.
BANDWIDTH_MIN_BYTES_PER_MS = 200


@dataclasses.dataclass(frozen=True)
class Options:
    """Identity, data folder and timeouts of a node.

    ``addresses`` maps controllers to ``host:port`` and overrides the
    addresses of the membership, for example to route calls through a proxy.
    ``started_ns`` is the monotonic time at which the process started, in
    nanoseconds, or None for the time at which the node is created. The first
    election timeout is counted from then, since the process can't have heard
    from a leader between its start and the creation of the node; the first
    election waits only for what is left of the timeout. ``grants_founding``
    is unset where an empty disk does not tell that there is no cell, since a
    disk may have been lost. A learner is promoted only while there are fewer
    than ``voters_max`` voters; None is no limit.
    """

    controller_id: messages.ControllerId
    cell_id: messages.CellId
    data_folder: pathlib.Path
    addresses: collections.abc.Mapping[messages.ControllerId, str] = (
        dataclasses.field(default_factory=dict)
    )
    heartbeat_ms: int = 100
    election_min_ms: int = 600
    election_max_ms: int = 1_200
    started_ns: int | None = None
    grants_founding: bool = True
    voters_max: int | None = None
    snapshot_every_entries: int = 20_000
