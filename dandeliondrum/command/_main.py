"""Entry point of the command line."""

import sys
import types

from dandeliondrum import signals


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit with one of the exit codes.

    Without ``arguments`` it runs those of the process, which it owns: a daemon
    handles SIGTERM, SIGINT and SIGHUP from here on.
    """
    if arguments is not None:
        sys.exit(_import_commands().run(arguments))
    if sys.argv[1:2] == ['run']:
        # The imports take most of a start, and signals may come meanwhile.
        signals.install()
        _run_daemon()
    sys.exit(_import_commands().run(sys.argv[1:]))


def _run_daemon() -> None:
    code = None
    try:
        code = _import_commands().run(sys.argv[1:])
    except Exception:
        sys.excepthook(*sys.exc_info())
    from dandeliondrum import startup

    # Threads of a daemon that has failed must not keep the process.
    startup.end_process(startup.ExitCode.BROKEN if code is None else code)


def _import_commands() -> types.ModuleType:
    from dandeliondrum.command import _cli

    return _cli
