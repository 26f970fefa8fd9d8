"""The end of a process after its last log line."""

import collections.abc
import contextlib
import os
import sys
import typing

import structlog

from dandeliondrum.startup import _exit_code
from dandeliondrum import utils


def end_process(code: int) -> typing.NoReturn:
    """End the process with a code, whatever its threads and output do.

    Unlike at the end of the interpreter, neither a thread that does not end
    nor an output that nobody reads any more changes the code or delays it.
    """
    # Either is None if the launcher has closed it.
    for stream in filter(None, (sys.stdout, sys.stderr)):
        # Nobody reads an output that can't be written.
        with contextlib.suppress(OSError, ValueError), _unblocked(stream):
            stream.flush()
    os._exit(code)


def end_broken_process(error: utils.InvariantError) -> typing.NoReturn:
    """Log a broken invariant and exit at once, without cleanup.

    So nothing acts on an inconsistent state. The line goes to standard error,
    as queued log lines would not be written any more.
    """
    try:
        with _unblocked(sys.stderr):
            logger = structlog.wrap_logger(structlog.WriteLogger(sys.stderr))
            logger.critical(
                'process ended',
                why=str(error),
                code=int(_exit_code.ExitCode.BROKEN),
                exc_info=error,
            )
    finally:
        os._exit(_exit_code.ExitCode.BROKEN)


@contextlib.contextmanager
def _unblocked(stream: typing.TextIO) -> collections.abc.Iterator[None]:
    """Let writes fail instead of waiting for the reader of a stream.

    The flag is restored, as other processes may share the open file.
    """
    descriptor = stream.fileno()
    was_blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    try:
        yield
    finally:
        os.set_blocking(descriptor, was_blocking)
