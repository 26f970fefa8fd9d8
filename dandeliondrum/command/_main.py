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
    is_daemon = sys.argv[1:2] == ['run']
    if is_daemon:
        # The imports take most of a start, and signals may come meanwhile.
        signals.install()
    code = _import_commands().run(sys.argv[1:])
    if is_daemon:
        from dandeliondrum import startup

        startup.end_process(code)
    sys.exit(code)


def _import_commands() -> types.ModuleType:
    from dandeliondrum.command import _cli

    return _cli
