"""Parameters and checks that the settings of several roles share."""

import collections.abc
import dataclasses

from dandeliondrum import messages
from dandeliondrum.settings import _parameters

LOG_LEVELS = ('debug', 'info', 'warning', 'error', 'critical')
DAY_MS = 86_400_000

NAME = _parameters.Name()
ADDRESS = _parameters.Address()
LOG_LEVEL = _parameters.parameter(
    _parameters.Choice(LOG_LEVELS), 'Minimum level of log lines.', 'info'
)
TRACES = _parameters.parameter(
    _parameters.Integer('traces', 0, 1_000),
    'Traces started here that are logged, per thousand.',
    10,
)
DRAIN_MAX = _parameters.parameter(
    _parameters.Integer('ms', 0, 3_600_000),
    'How long a planned stop waits for calls or tasks in progress.',
    30_000,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A field whose valid value conflicts with that of another field."""

    field: str
    found: str
    allowed: str


Conflicts = collections.abc.Iterator[Conflict]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerAddress:
    """The id of a controller and the address at which others reach it."""

    controller_id: messages.ControllerId = _parameters.parameter(
        NAME, 'Id of a controller.'
    )
    address: str = _parameters.parameter(
        ADDRESS, 'Address at which other controllers and gateways reach it.'
    )


def find_duplicate_addresses(settings: object, *names: str) -> Conflicts:
    """Find fields with the same address.

    Port 0 is exempt, as the system assigns a free port to each use.
    """
    seen: dict[str, str] = {}
    for name in names:
        address = getattr(settings, name)
        if address in seen and not address.endswith(':0'):
            yield Conflict(
                name, address, f'an address other than that of {seen[address]}'
            )
        seen.setdefault(address, name)
