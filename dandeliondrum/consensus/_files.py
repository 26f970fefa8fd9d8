"""File operations on which the durability of a node depends.

Tests replace :class:`Files` to simulate a full or failing disk, or a loss of
power.
"""

import contextlib
import os
import pathlib

FILE_MODE = 0o640


class Files:
    """Writes files so that they stay consistent after a power failure.

    All methods raise OSError when the operating system refuses.
    """

    def open_for_append(self, path: pathlib.Path) -> int:
        """Open a file for reading and appending, and create it if needed.

        Returns the descriptor. The name of a new file is durable after
        :meth:`sync_folder`.
        """
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        return os.open(path, flags, FILE_MODE)

    def open_for_write(self, path: pathlib.Path, *, keeps_data: bool) -> int:
        """Open a file for writing, and create it if needed.

        Returns the descriptor. The contents are removed first unless
        ``keeps_data``.
        """
        flags = os.O_WRONLY | os.O_CREAT
        if not keeps_data:
            flags |= os.O_TRUNC
        return os.open(path, flags, FILE_MODE)

    def close(self, descriptor: int) -> None:
        """Close a descriptor without syncing it."""
        os.close(descriptor)

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of the data at the descriptor's position."""
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def seek(self, descriptor: int, offset_bytes: int) -> None:
        """Set the descriptor's position in bytes from the start."""
        os.lseek(descriptor, offset_bytes, os.SEEK_SET)

    def truncate(self, descriptor: int, size_bytes: int) -> None:
        """Cut a file to a size in bytes, without syncing it."""
        os.ftruncate(descriptor, size_bytes)

    def sync(self, descriptor: int) -> None:
        """Flush the written data to the disk and wait for it."""
        os.fdatasync(descriptor)

    def make_folder(self, folder: pathlib.Path) -> None:
        """Create a folder in an existing one, without syncing its name."""
        folder.mkdir(exist_ok=True)

    def sync_folder(self, folder: pathlib.Path) -> None:
        """Flush created, renamed and removed names of a folder to the disk."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, path: pathlib.Path, target: pathlib.Path) -> None:
        """Rename a file over another one, without syncing the folders."""
        path.replace(target)

    def remove(self, path: pathlib.Path) -> None:
        """Remove a file, without syncing the folder."""
        path.unlink()

    def free_bytes(self, folder: pathlib.Path) -> int:
        """Return the free space on the folder's file system in bytes."""
        stats = os.statvfs(folder)
        return stats.f_bavail * stats.f_frsize

    def replace(self, path: pathlib.Path, data: bytes) -> None:
        """Replace the contents of a file atomically and durably."""
        temporary = path.with_name(path.name + '.new')
        descriptor = self.open_for_write(temporary, keeps_data=False)
        try:
            self.write(descriptor, data)
            self.sync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                self.remove(temporary)
            raise
        finally:
            self.close(descriptor)
        self.rename(temporary, path)
        self.sync_folder(path.parent)
