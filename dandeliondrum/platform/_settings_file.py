"""Reads the settings file at a start, when it may not be written yet."""

import pathlib
import time

from returns import result
import structlog

from dandeliondrum.platform import _settings
from dandeliondrum import startup

# A file that is being written in pieces has changed within this time, all the
# more if its last line has no end. The time of the file itself is not used,
# as it may come from another clock.
SETTLED_MS = 100
SETTLED_WITHOUT_END_MS = 2_000

_logger = structlog.get_logger()


class SettingsFile:
    """The settings file of a starting process.

    ``content`` is what was read at ``read_ns`` of the monotonic clock, before
    the imports, so that a start need not wait to see that it doesn't change.
    """

    def __init__(self, path: str, content: bytes, read_ns: int) -> None:
        self._path = path
        self._content = content
        self._since_ns = read_ns
        self._first_load_ns: int | None = None

    def load(self, role: str) -> _settings.Settings:
        """Return the settings of a role.

        Raises startup.NotReadyError while the file may not be complete, and
        OSError if it can't be read.
        """
        content = pathlib.Path(self._path).read_bytes()
        now_ns = time.monotonic_ns()
        if self._first_load_ns is None:
            self._first_load_ns = now_ns
        if content != self._content:
            self._content, self._since_ns = content, now_ns
        match _settings.decode(content):
            case result.Success(settings):
                problem = settings.find_missing(role)
            case result.Failure(error):
                problem = error
        if problem:
            raise startup.NotReadyError(f'{self._path}: {problem}')
        has_end = content.endswith(b'\n')
        settled_ms = SETTLED_MS
        since_ns = self._since_ns
        if not has_end:
            settled_ms = SETTLED_WITHOUT_END_MS
            # Slow imports are no sign that nobody writes any more.
            since_ns = max(since_ns, self._first_load_ns)
        if now_ns - since_ns < settled_ms * 1_000_000:
            raise startup.NotReadyError(f'{self._path} has just changed')
        if not has_end:
            _logger.warning('last line of the settings has no end')
        return settings
