"""Whether the balancer should send callers here."""

import enum
import threading

from dandeliondrum.gateway import _leader_link


class Phase(enum.Enum):
    """Where a gateway is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class Readiness:
    """Ready while serving with a leader that answers.

    ``stopping`` is set when calls that still wait have to be given back.
    """

    def __init__(self, link: _leader_link.LeaderLink) -> None:
        self.phase = Phase.STARTING
        self.stopping = threading.Event()
        self._link = link

    def problem(self) -> str:
        """Return why the gateway is not ready, or nothing."""
        if self.phase is not Phase.SERVING:
            return self.phase.value
        if not self._link.answering():
            return 'no leader answers'
        return ''
