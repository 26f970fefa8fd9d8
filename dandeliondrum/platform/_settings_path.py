"""Where the settings file of a process is; imports nothing large."""

import os

SETTINGS_VARIABLE = 'DANDELIONDRUM_SETTINGS'
DEFAULT_PATH = '/etc/dandeliondrum/local.conf'


def find_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
