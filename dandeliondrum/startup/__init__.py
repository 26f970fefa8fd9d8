"""The start and the end of a program, with a log line for each outcome."""

from dandeliondrum.startup._errors import NotReadyError
from dandeliondrum.startup._errors import NotStartedError
from dandeliondrum.startup._errors import StopRequestedError
from dandeliondrum.startup._exit_code import ExitCode
from dandeliondrum.startup._output import end_broken_process
from dandeliondrum.startup._output import end_process
from dandeliondrum.startup._retry import call_once
from dandeliondrum.startup._retry import Retry
from dandeliondrum.startup._run import run
from dandeliondrum.startup._startup import Startup

__all__ = [
    'ExitCode',
    'NotReadyError',
    'NotStartedError',
    'Retry',
    'Startup',
    'StopRequestedError',
    'call_once',
    'end_broken_process',
    'end_process',
    'run',
]
