"""How the previous process that used a data folder has ended.

The lock file holds the boot id of the machine while a process uses the folder.
It serves diagnosis only: no decision depends on it.
"""

import collections.abc
import contextlib
import enum
import os
import pathlib

import structlog

_BOOT_ID_PATH = pathlib.Path('/proc/sys/kernel/random/boot_id')
_CLOSED = b'closed'
_TEXT_BYTES_MAX = 64

_logger = structlog.get_logger()


class PreviousEnd(enum.Enum):
    """How the previous process has ended.

    ``REBOOTED`` means that the machine has started since, as after a loss of
    power; ``KILLED`` that the process ended without closing the folder.
    """

    NONE = 'none'
    CLOSED = 'closed'
    KILLED = 'killed'
    REBOOTED = 'rebooted'
    UNKNOWN = 'unknown'


@contextlib.contextmanager
def record(
    descriptor: int, *, is_new: bool
) -> collections.abc.Iterator[PreviousEnd]:
    """Record the use of the locked file; yield how the previous one ended.

    After an exception, such as a refused start, the file tells of the previous
    process as before. Raises OSError when the file can't be read.
    """
    previous = os.pread(descriptor, _TEXT_BYTES_MAX, 0)
    boot_id = _read_boot_id()
    _write(descriptor, boot_id)
    try:
        yield _interpret(previous, boot_id, is_new)
    except BaseException:
        _write(descriptor, previous)
        raise
    _write(descriptor, _CLOSED)


def _interpret(previous: bytes, boot_id: bytes, is_new: bool) -> PreviousEnd:
    if previous == _CLOSED:
        return PreviousEnd.CLOSED
    if not previous:
        return PreviousEnd.NONE if is_new else PreviousEnd.UNKNOWN
    if not boot_id:
        return PreviousEnd.UNKNOWN
    if previous == boot_id:
        return PreviousEnd.KILLED
    return PreviousEnd.REBOOTED


def _write(descriptor: int, text: bytes) -> None:
    try:
        os.ftruncate(descriptor, 0)
        os.pwrite(descriptor, text, 0)
        os.fdatasync(descriptor)
    except OSError as error:
        # A node must start on a full disk, too.
        _logger.warning('lock file not written', why=str(error))


def _read_boot_id() -> bytes:
    try:
        return _BOOT_ID_PATH.read_bytes().strip()
    except OSError:
        return b''
