"""What the settings of several roles have in common."""

import collections.abc
import dataclasses

from dandeliondrum import messages
from dandeliondrum.settings import _declare

LOG_LEVELS = ('debug', 'info', 'warning', 'error', 'critical')
DAY_MS = 86_400_000

NAME = _declare.Name()
ADDRESS = _declare.Address()
LOG_LEVEL = _declare.parameter(
    _declare.Choice(LOG_LEVELS), 'Least level of log lines.', 'info'
)
TRACES = _declare.parameter(
    _declare.Whole('traces', 0, 1_000),
    'Of a thousand traces that begin here, how many are written to the log.',
    10,
)
DRAIN_MAX = _declare.parameter(
    _declare.Whole('ms', 0, 3_600_000),
    'How long a planned stop waits for what is under way.',
    30_000,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Clash:
    """Fields that are each allowed but do not go together."""

    field: str
    found: str
    allowed: str


Clashes = collections.abc.Iterator[Clash]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControllerAddress:
    """A controller and where the others reach it."""

    controller_id: messages.ControllerId = _declare.parameter(
        NAME, 'Id of a controller.'
    )
    address: str = _declare.parameter(
        ADDRESS, 'Where other controllers and gateways reach it.'
    )


def distinct(settings: object, *names: str) -> Clashes:
    """Find addresses that stand twice; port 0 takes any free port."""
    seen: dict[str, str] = {}
    for name in names:
        address = getattr(settings, name)
        if address in seen and not address.endswith(':0'):
            yield Clash(
                name, address, f'another address than {seen[address]} has'
            )
        seen.setdefault(address, name)
