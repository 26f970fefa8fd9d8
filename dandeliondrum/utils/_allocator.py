"""Lets the C library return large freed blocks to the system."""

import ctypes

import structlog

# From malloc.h of the GNU C library.
_M_MMAP_THRESHOLD = -3
MAPPED_BYTES_MIN = 128 * 1024

_logger = structlog.get_logger()


def return_large_blocks() -> None:
    """Map each large block on its own, so that freeing it returns it.

    The library raises this threshold whenever such a block is freed; later
    blocks are then taken from its heaps, which small blocks keep from
    shrinking. Measured: 170 MB instead of 77 MB resident after six crowds
    with bodies of 256 KiB.
    """
    try:
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAPPED_BYTES_MIN)
    except (AttributeError, OSError) as error:
        # Other C libraries have no such function.
        _logger.info('allocator not configured', why=str(error))
