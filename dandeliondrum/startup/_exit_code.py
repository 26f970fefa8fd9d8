"""Exit codes of a program."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of a program.

    ``BROKEN`` stands for a broken invariant or an unexpected error; it has
    the value of EX_SOFTWARE in ``sysexits.h``.
    """

    STOPPED = 0
    NOT_STARTED = 1
    USAGE = 2
    BROKEN = 70
