"""Settings files: one for each daemon, in JSON with comments.

A file is checked as a whole before anything starts. Each problem names the
file, the line, the field, what was found and what is allowed.
"""

from dandeliondrum.settings._common import ControllerAddress
from dandeliondrum.settings._common import LOG_LEVELS
from dandeliondrum.settings._controller import ControllerSettings
from dandeliondrum.settings._declare import described
from dandeliondrum.settings._declare import Parameter
from dandeliondrum.settings._declare import parameters
from dandeliondrum.settings._gateway import GatewaySettings
from dandeliondrum.settings._kinds import Settings
from dandeliondrum.settings._load import load
from dandeliondrum.settings._load import load_any
from dandeliondrum.settings._problems import SettingsProblem
from dandeliondrum.settings._worker import WorkerSettings

__all__ = [
    'ControllerAddress',
    'ControllerSettings',
    'GatewaySettings',
    'LOG_LEVELS',
    'Parameter',
    'Settings',
    'SettingsProblem',
    'WorkerSettings',
    'described',
    'load',
    'load_any',
    'parameters',
]
