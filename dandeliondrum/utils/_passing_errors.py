"""Errors of the operating system whose cause may pass."""

import errno

# Causes that another process or the machine may remove.
_PASSING = frozenset(
    {
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EBUSY,
        errno.EDQUOT,
        errno.EIO,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOLCK,
        errno.ENOENT,
        errno.ENOMEM,
        errno.ENOSPC,
        errno.ESTALE,
        errno.ETIMEDOUT,
    }
)


def is_passing(error: OSError) -> bool:
    """Return whether the cause of an error may pass without an operator."""
    return error.errno in _PASSING
