"""Storage of a node's term and vote, and of its disk's identity.

Both are small files that are replaced atomically and synced before a reply
that depends on them is sent. Each begins with a checksum of the rest.
"""

import dataclasses
import pathlib
import uuid
import zlib

import msgpack

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _files
from dandeliondrum import messages

_CHECKSUM_BYTES = 4
STATE_FILE_NAME = 'hard-state'
IDENTITY_FILE_NAME = 'identity'


@dataclasses.dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must survive a restart of the node."""

    term: int = 0
    voted_for: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Owner and id of a data folder.

    The disk id is generated when the folder is first used.
    """

    cell_id: messages.CellId
    controller_id: messages.ControllerId
    disk_id: str


def new_identity(
    cell_id: messages.CellId, controller_id: messages.ControllerId
) -> Identity:
    """Return an identity with a new unique disk id."""
    return Identity(cell_id, controller_id, uuid.uuid4().hex)


def save(
    files: _files.Files, path: pathlib.Path, value: HardState | Identity
) -> None:
    """Replace the file; raises OSError when the disk refuses."""
    body = msgpack.packb(dataclasses.astuple(value))
    checksum = zlib.crc32(body).to_bytes(_CHECKSUM_BYTES, 'big')
    files.replace(path, checksum + body)


def load_state(path: pathlib.Path) -> HardState | None:
    """Return the stored term and vote, None when there is no file.

    Raises StorageError when the file is damaged.
    """
    fields = _load(path)
    return None if fields is None else HardState(*fields)


def load_identity(path: pathlib.Path) -> Identity | None:
    """Return the stored identity, None when there is no file.

    Raises StorageError when the file is damaged.
    """
    fields = _load(path)
    return None if fields is None else Identity(*fields)


def _load(path: pathlib.Path) -> list | None:
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return None
    body = data[_CHECKSUM_BYTES:]
    checksum = int.from_bytes(data[:_CHECKSUM_BYTES], 'big')
    if not body or zlib.crc32(body) != checksum:
        raise _errors.StorageError(
            _errors.StartError(
                'checksum does not match', str(path), is_damage=True
            )
        )
    return msgpack.unpackb(body)
