"""Damaged files of a node, moved into folders of their own.

These are in the data folder, since a process may not be able to write next to
it. While there is one, the node founds no cell: that its log is empty does not
tell that there is none.
"""

import pathlib

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum.consensus import _hard_state
from dandeliondrum.consensus import _recovery

FOLDER_NAME_PREFIX = 'damaged-'
# With more damage than this the disk is not to be trusted.
FOLDERS_MAX = 3


def exist(folder: pathlib.Path) -> bool:
    """Return whether files of this data folder were damaged and moved."""
    return any(folder.glob(FOLDER_NAME_PREFIX + '*'))


def move(files: _files.Files, folder: pathlib.Path) -> pathlib.Path:
    """Move all files of a node, so that it starts with an empty log.

    Returns the folder that holds them. Raises StorageError when another
    process uses the data folder, or when FOLDERS_MAX folders are in use, and
    OSError when the files can't be moved.
    """
    with _recovery.lock_folder(files, folder):
        paths = [
            path
            for path in sorted(folder.iterdir())
            if path.is_file() and path.name != _recovery.LOCK_FILE_NAME
        ]
        target = _choose_folder(folder, paths)
        files.make_folder(target)
        files.sync_folder(folder)
        # What is left of an interrupted move must not be taken for the intact
        # files of the former identity.
        identity = folder / _hard_state.IDENTITY_FILE_NAME
        _move_files(
            files, [path for path in paths if path == identity], target
        )
        _move_files(
            files, [path for path in paths if path != identity], target
        )
    return target


def _move_files(
    files: _files.Files, paths: list[pathlib.Path], target: pathlib.Path
) -> None:
    for path in paths:
        files.rename(path, target / path.name)
    files.sync_folder(target)
    files.sync_folder(target.parent)


def _choose_folder(
    folder: pathlib.Path, paths: list[pathlib.Path]
) -> pathlib.Path:
    """Return the first folder that has none of the files."""
    for number in range(1, FOLDERS_MAX + 1):
        target = folder / f'{FOLDER_NAME_PREFIX}{number}'
        if not any((target / path.name).exists() for path in paths):
            return target
    raise _errors.StorageError(
        _errors.StartError(
            f'{FOLDERS_MAX} folders of damaged files are kept already',
            str(folder),
        )
    )
