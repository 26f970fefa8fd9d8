"""Entry point for a role: ``python3 -S -m dandeliondrum.platform ROLE``.

With ``-S`` the signal handlers are installed before the module ``site`` is
imported, which runs what other packages of the machine have installed.
"""

import sys

from dandeliondrum import signals


def main(arguments: list[str]) -> int:
    """Run the role given as the only argument and return the exit code."""
    if len(arguments) != 1:
        sys.stderr.write('usage: dandeliondrum.platform gateway|controller\n')
        return 2
    process_signals = signals.install()
    # The imports take most of a start, and signals may come meanwhile.
    if sys.flags.no_site:
        import site

        site.main()
    from dandeliondrum.platform import _programs

    return _programs.run(arguments[0], process_signals)


def _run_process() -> None:
    code = main(sys.argv[1:])
    from dandeliondrum import startup

    startup.end_process(code)


if __name__ == '__main__':
    _run_process()
