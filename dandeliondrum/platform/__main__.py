"""Entry point for a role: ``python3 -S -m dandeliondrum.platform ROLE``.

With ``-S`` the signal handlers are installed before the module ``site`` is
imported, which runs what other packages of the machine have installed.
"""

import sys
import time

from dandeliondrum.platform import _settings_path
from dandeliondrum import signals


def main(arguments: list[str]) -> int:
    """Run the role given as the only argument and return the exit code."""
    if len(arguments) != 1:
        sys.stderr.write('usage: dandeliondrum.platform gateway|controller\n')
        return 2
    process_signals = signals.install()
    content, read_ns = _read_settings(), time.monotonic_ns()
    # The imports take most of a start, and signals may come meanwhile.
    if sys.flags.no_site:
        import site

        site.main()
    from dandeliondrum.platform import _programs

    return _programs.run(arguments[0], process_signals, content, read_ns)


def _read_settings() -> bytes:
    try:
        with open(_settings_path.find_path(), 'rb') as file:
            return file.read()
    except OSError:
        # Read again and reported once the log is open.
        return b''


def _run_process() -> None:
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
