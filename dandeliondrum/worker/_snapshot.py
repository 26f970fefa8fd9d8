"""What a heartbeat has to report, read at one moment."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.worker import _attempt


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """What runs, what ended and what is fenced, all at one moment.

    ``forgotten`` names fenced attempts that were started here and of which
    nothing else is known any more.
    """

    running: tuple[_attempt.Attempt, ...]
    ended: tuple[_attempt.Attempt, ...]
    never_started: tuple[messages.AttemptId, ...]
    fenced: tuple[messages.AttemptId, ...]
    fenced_ends: tuple[_attempt.Attempt, ...]
    forgotten: tuple[messages.AttemptId, ...]
