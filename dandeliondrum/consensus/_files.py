"""File operations on which the durability of a node depends.

Tests replace :class:`Files` to simulate a full or failing disk.
"""

import contextlib
import os
import pathlib


class Files:
    """Writes files so that they stay consistent after a power failure."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data at the descriptor's position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Flush the written data to the disk and wait for it."""
        os.fdatasync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Flush created, renamed and removed names of a folder to the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def free_bytes(self, folder: pathlib.Path) -> int:
        """Return the free space on the folder's file system in bytes."""
        stats = os.statvfs(folder)
        return stats.f_bavail * stats.f_frsize

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace the contents of a file atomically and durably."""
        temporary = path.with_name(path.name + '.new')
        descriptor = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o640
        )
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        finally:
            os.close(descriptor)
        temporary.replace(path)
        self.sync_folder(path.parent)
