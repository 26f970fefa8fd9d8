"""Entry point for a role: ``python3 -S -m dandeliondrum.platform ROLE``.

With ``-S`` the signal handlers are installed before the module ``site`` is
imported, which runs what other packages of the machine have installed.

``python3 -m dandeliondrum.platform check FILE`` is no role: it checks a
configuration document of the operators and ends.
"""

import sys
import time

from dandeliondrum.platform import _settings_path
from dandeliondrum import signals


def main(arguments: list[str]) -> int:
    """Run the role given as the only argument and return the exit code."""
    if arguments[:1] == ['check']:
        return _run_check(arguments[1:])
    if len(arguments) != 1:
        sys.stderr.write(
            'usage: dandeliondrum.platform gateway|controller\n'
            '       dandeliondrum.platform check FILE\n'
        )
        return 2
    process_signals = signals.install()
    content, read_ns = _read_settings(), time.monotonic_ns()
    # The imports take most of a start, and signals may come meanwhile.
    _import_site()
    from dandeliondrum.platform import _programs

    return _programs.run(arguments[0], process_signals, content, read_ns)


def _run_check(arguments: list[str]) -> int:
    _import_site()
    from dandeliondrum.platform import _check

    return _check.run(arguments)


def _import_site() -> None:
    if sys.flags.no_site:
        import site

        site.main()


def _read_settings() -> bytes:
    try:
        with open(_settings_path.find_path(), 'rb') as file:
            return file.read()
    except OSError:
        # Read again and reported once the log is open.
        return b''


def _run_process() -> None:
    if sys.argv[1:2] == ['check']:
        sys.exit(main(sys.argv[1:]))
    code = None
    try:
        code = main(sys.argv[1:])
    except Exception as error:
        import json

        # The log may not be open.
        line = {
            'event': 'process ended',
            'level': 'critical',
            'why': repr(error),
        }
        sys.stderr.write(json.dumps(line) + '\n')
        sys.excepthook(*sys.exc_info())
    from dandeliondrum import startup

    # Threads of a start that has failed must not keep the process.
    startup.end_process(startup.ExitCode.BROKEN if code is None else code)


if __name__ == '__main__':
    _run_process()
