"""Rereads the seeds in the settings file while a role runs."""

import collections.abc
import contextlib

from returns import result
import structlog

from dandeliondrum import messages
from dandeliondrum.platform import _settings
from dandeliondrum.platform import _settings_path
from dandeliondrum import utils

RELOAD_EVERY_MS = 1_000

SetSeeds = collections.abc.Callable[
    [tuple[tuple[messages.ControllerId, str], ...]], object
]

_logger = structlog.get_logger()


def reload_regularly(
    set_seeds: SetSeeds,
    timers: utils.TimerService,
    resources: contextlib.ExitStack,
) -> collections.abc.Callable[[], None]:
    """Pass on the seed controllers each second until ``resources`` close.

    Returns a function that does so at once. A file that can't be read in full,
    as one that is being written, changes nothing.
    """

    def reload() -> None:
        match _settings.load(_settings_path.find_path()):
            case result.Success(settings):
                set_seeds(settings.controllers)
            case result.Failure(error):
                _logger.warning('settings not readable', why=error)

    subscription = timers.every(RELOAD_EVERY_MS, reload)
    resources.callback(subscription.cancel)
    return reload
