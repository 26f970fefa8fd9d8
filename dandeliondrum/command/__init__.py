"""The ``dandeliondrum`` command line: daemons and operator tools.

Its import loads nothing else, as daemons handle signals from then on.
"""

from dandeliondrum.command._exit_code import ExitCode
from dandeliondrum.command._main import main

__all__ = ['ExitCode', 'main']
