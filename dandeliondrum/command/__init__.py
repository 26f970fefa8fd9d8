"""The ``dandeliondrum`` command: daemons and the tools of operators."""

from dandeliondrum.command._cli import main
from dandeliondrum.command._report import ExitCode

__all__ = ['ExitCode', 'main']
