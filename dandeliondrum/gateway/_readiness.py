"""Readiness of a gateway, as reported to the load balancer."""

import enum
import threading

from dandeliondrum.gateway import _leader_link


class Phase(enum.Enum):
    """Phases in the lifecycle of a gateway."""

    STARTING = 'starting'
    SERVING = 'serving'
    DRAINING = 'draining'


class Readiness:
    """Tells whether the gateway can serve callers.

    It is ready in the serving phase while the leader answers heartbeats.
    ``stopping`` is set when calls that are still waiting have to be ended.
    """

    def __init__(self, link: _leader_link.LeaderLink) -> None:
        self.phase = Phase.STARTING
        self.stopping = threading.Event()
        self._link = link

    def not_ready_reason(self) -> str:
        """Return why the gateway is not ready, or an empty string if it is."""
        if self.phase is not Phase.SERVING:
            return self.phase.value
        if not self._link.is_answering():
            return 'no leader answers'
        return ''
