"""The ``dandeliondrum`` command line: daemons and operator tools."""

from dandeliondrum.command._cli import main
from dandeliondrum.command._exit_code import ExitCode

__all__ = ['ExitCode', 'main']
