"""The ``dandeliondrum`` command line: daemons and operator tools."""

from dandeliondrum.command._cli import main
from dandeliondrum.command._report import ExitCode
from dandeliondrum.command._report import Report
from dandeliondrum.command._report import write_report

__all__ = ['ExitCode', 'Report', 'main', 'write_report']
