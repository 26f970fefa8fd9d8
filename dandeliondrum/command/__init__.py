"""The ``dandeliondrum`` command line: daemons and operator tools.

Its import loads next to nothing, as daemons handle signals only afterwards.
"""

from dandeliondrum.command._exit_code import ExitCode
from dandeliondrum.command._main import main

# As in the module typing, which takes longer to import.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from dandeliondrum.command._report import Report
    from dandeliondrum.command._report import write_report

__all__ = ['ExitCode', 'Report', 'main', 'write_report']


def __getattr__(name: str) -> object:
    if name not in __all__:
        raise AttributeError(f'module {__name__} has no attribute {name}')
    from dandeliondrum.command import _report

    return getattr(_report, name)
