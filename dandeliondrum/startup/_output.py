"""The end of a process after its last log line."""

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
    for stream in (sys.stdout, sys.stderr):
        # Nobody reads an output that can't be written.
        with contextlib.suppress(OSError, ValueError):
            os.set_blocking(stream.fileno(), False)
            stream.flush()
    os._exit(code)


def end_broken_process(error: utils.InvariantError) -> typing.NoReturn:
    """Log a broken invariant and exit at once, without cleanup.

    So nothing acts on an inconsistent state. The line goes to standard error,
    as queued log lines would not be written any more.
    """
    with contextlib.suppress(OSError, ValueError):
        os.set_blocking(sys.stderr.fileno(), False)
        logger = structlog.wrap_logger(structlog.WriteLogger(sys.stderr))
        logger.critical(
            'process ended',
            why=str(error),
            code=int(_exit_code.ExitCode.BROKEN),
        )
    os._exit(_exit_code.ExitCode.BROKEN)
