"""Consistent view of a worker's attempts."""

import dataclasses

from dandeliondrum import messages
from dandeliondrum.worker import _attempt


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All attempts that a heartbeat reports, read under one lock.

    ``ended`` holds the attempts whose end is not acknowledged, and
    ``fenced_ends`` the ended ones among ``fenced``. ``forgotten`` lists
    fenced attempts that were started on this worker and whose state is no
    longer stored.
    """

    running: tuple[_attempt.Attempt, ...]
    ended: tuple[_attempt.Attempt, ...]
    never_started: tuple[messages.AttemptId, ...]
    fenced: tuple[messages.AttemptId, ...]
    fenced_ends: tuple[_attempt.Attempt, ...]
    forgotten: tuple[messages.AttemptId, ...]
