"""Settings of a node of the replicated log, and its bounds."""

import collections.abc
import dataclasses
import pathlib

from dandeliondrum import messages

# Bounds of one AppendEntries message and of one batch on the disk. A command
# may be longer than the first; it then travels alone.
APPEND_BYTES_MAX = 256 * 1024
APPEND_ENTRIES_MAX = 2_000
BATCH_BYTES_MAX = 4 * 1024 * 1024
# How many AppendEntries may be under way to one peer.
CALLS_UNDER_WAY_MAX = 2
COMMAND_BYTES_MAX = 32 * 1024 * 1024
COMPRESS_FROM_BYTES = 512
COMPRESSION_LEVEL = 1
PROPOSALS_WAITING_MAX = 20_000
# Commands are refused while the disk has less room than this.
RESERVED_BYTES = 16 * 1024 * 1024
ROOM_CHECK_MS = 250
SEGMENT_BYTES_MAX = 16 * 1024 * 1024
# A snapshot is taken after so many bytes, also when it is fewer entries.
SNAPSHOT_EVERY_BYTES = 32 * 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024
# A call may take this much longer for what it carries.
SLOWEST_LINK_BYTES_PER_MS = 200


@dataclasses.dataclass(frozen=True)
class Options:
    """Who a node is, where its files are, and its times.

    ``addresses`` maps controllers to ``host:port`` and overrides what the
    membership says, for example so that a proxy can stand between.
    ``started_ns`` is the monotonic time at which the process started, in
    nanoseconds, or None for the time at which the node is made. The node can
    have heard no leader since then, so its first election needs to wait only
    for what is left of the usual time.
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
    snapshot_every_entries: int = 20_000
