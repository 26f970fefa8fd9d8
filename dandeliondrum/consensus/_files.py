"""The few file operations that must not be wrong, in one place.

Tests replace :class:`Files` to bring about a full or failing disk.
"""

import contextlib
import os
import pathlib


class Files:
    """Writes files so that they are whole after a loss of power."""

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data at the descriptor's position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def sync(self, descriptor: int) -> None:
        """Return when what was written is on the disk."""
        os.fdatasync(descriptor)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Return when names made or removed in the folder are on the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def free_bytes(self, folder: pathlib.Path) -> int:
        """Return how much may still be written on the folder's disk."""
        room = os.statvfs(folder)
        return room.f_bavail * room.f_frsize

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace a file by one with this data, as a whole or not at all."""
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
