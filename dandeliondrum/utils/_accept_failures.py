"""Log lines for a listener that can't accept connections."""

import math
import time

import structlog

LOG_INTERVAL_MS = 1_000

_logger = structlog.get_logger()


class AcceptFailures:
    """Logs failures to accept, with a limit to the number of lines.

    To be used by one thread.
    """

    def __init__(self) -> None:
        self._count = 0
        self._logged_s = -math.inf

    def record(self, error: OSError, **details: object) -> None:
        """Log a failure and the number of those since the last line.

        A line has the ``details`` of the failure that it is written for.
        """
        self._count += 1
        now_s = time.monotonic()
        if now_s - self._logged_s < LOG_INTERVAL_MS / 1000:
            return
        _logger.warning(
            'accept failed',
            why=str(error),
            failures_count=self._count,
            **details,
        )
        self._count = 0
        self._logged_s = now_s
