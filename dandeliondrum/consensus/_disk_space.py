"""Monitoring of the free space on the disk.

A leader refuses commands before the disk is full, so that votes and the
first entry of a new term can still be written.
"""

import threading

import structlog

from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _options
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _transfer

_logger = structlog.get_logger()


class DiskSpaceMonitor:
    """Updates ``storage_full`` from the free space on the disk.

    Also starts a leadership transfer when a leader is low on space.
    """

    def __init__(self, state: _state.NodeState, files: _files.Files) -> None:
        self._state = state
        self._files = files

    def run(self, stopping: threading.Event) -> None:
        """Check the free space periodically until the node closes."""
        while not stopping.is_set():
            self._check()
            stopping.wait(_options.DISK_SPACE_CHECK_MS / 1000)

    def _check(self) -> None:
        state = self._state
        free_bytes = self._files.free_bytes(state.options.data_folder)
        full = free_bytes < _options.RESERVED_DISK_BYTES
        with state.lock:
            if full != state.storage_full:
                _logger.warning(
                    'disk space low or free again',
                    full=full,
                    free_bytes=free_bytes,
                )
            state.storage_full = full
            if full:
                _transfer.begin_if_full(state)
