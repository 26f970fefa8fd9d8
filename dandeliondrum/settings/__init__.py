"""Loads and validates settings files: one per daemon, JSON with comments.

The whole file is validated before a daemon starts. Each problem names the
file, the line, the field, the value found and the values allowed.
"""

from dandeliondrum.settings._common import ControllerAddress
from dandeliondrum.settings._common import LOG_LEVELS
from dandeliondrum.settings._controller import ControllerSettings
from dandeliondrum.settings._gateway import GatewaySettings
from dandeliondrum.settings._load import load
from dandeliondrum.settings._load import load_any
from dandeliondrum.settings._parameters import describe_allowed
from dandeliondrum.settings._parameters import Parameter
from dandeliondrum.settings._parameters import parameters
from dandeliondrum.settings._problems import SettingsProblem
from dandeliondrum.settings._roles import Settings
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
    'describe_allowed',
    'load',
    'load_any',
    'parameters',
]
