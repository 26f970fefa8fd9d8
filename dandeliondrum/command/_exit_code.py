"""Exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Exit codes of the command line.

    ``BROKEN`` means that an invariant of a daemon is broken; it has the value
    of EX_SOFTWARE in ``sysexits.h``. ``DOUBTS`` means that rules, or another
    configuration, are valid but most likely wrong.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    IN_DOUBT = 3
    UNREACHABLE = 4
    DOUBTS = 5
    BROKEN = 70
