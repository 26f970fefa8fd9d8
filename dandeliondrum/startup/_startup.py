"""Phases of a start, and waits for what a start needs."""

import collections.abc
import contextlib
import typing

import structlog

from dandeliondrum import signals
from dandeliondrum.startup import _errors
from dandeliondrum import utils

# A predecessor holds its ports while it drains; platforms kill it after 6 s
# in the deployments so far.
WAIT_MAX_MS = 10_000
RETRY_EVERY_MS = 100

_logger = structlog.get_logger()

T = typing.TypeVar('T')


class Startup:
    """The phase that a start is in, and how long it may wait.

    ``wait_max_ms`` limits each wait for a resource. Times count from the
    import of :mod:`dandeliondrum`. ``stop_grace_ms`` is the time after which
    the platform kills a process that it has asked to stop, None if unknown.

    Example::

        start = Startup(signals.install())
        with start.phase('ports'):
            start.retry('port 7001', server.open)
    """

    def __init__(
        self,
        process_signals: signals.ProcessSignals,
        wait_max_ms: int = WAIT_MAX_MS,
    ) -> None:
        self.signals = process_signals
        self.stop_grace_ms: int | None = None
        self.phase_name = 'imports'
        self.waited_ms = 0
        self.phases_ms: dict[str, int] = {}
        self._wait_max_ms = wait_max_ms

    @contextlib.contextmanager
    def phase(self, name: str) -> collections.abc.Iterator[None]:
        """Name a part of the start, which log lines about an end give.

        Raises StopRequestedError instead if a signal asks for a stop.
        """
        self.raise_if_stopping()
        self.phase_name = name
        began_ms = utils.process_age_ms()
        yield
        self.phases_ms[name] = utils.process_age_ms() - began_ms

    def raise_if_stopping(self) -> None:
        """Raise StopRequestedError if a signal asks for a stop."""
        if self.signals.stop_requested:
            raise _errors.StopRequestedError

    def retry(
        self, resource: str, action: collections.abc.Callable[[], T]
    ) -> T:
        """Call a function until a cause of failure that may pass is gone.

        The function raises NotReadyError for such a cause; OSError counts as
        one if the system reports a condition that other processes change.
        Raises NotStartedError when the wait gets too long or the cause can't
        pass, and StopRequestedError when a signal asks for a stop.
        """
        began_ms = utils.process_age_ms()
        waited = False
        while True:
            try:
                outcome = action()
                break
            except (OSError, _errors.NotReadyError) as error:
                self._check_wait(
                    resource, error, utils.process_age_ms() - began_ms
                )
                if not waited:
                    self._log_wait(resource, error)
            waited = True
            self.raise_if_stopping()
            self.signals.wait(RETRY_EVERY_MS)
            self.raise_if_stopping()
        if waited:
            waited_ms = utils.process_age_ms() - began_ms
            self.waited_ms += waited_ms
            _logger.info(
                'start goes on', resource=resource, waited_ms=waited_ms
            )
        return outcome

    def _check_wait(
        self,
        resource: str,
        error: OSError | _errors.NotReadyError,
        waited_ms: int,
    ) -> None:
        """Raise NotStartedError unless it is worth waiting."""
        if isinstance(error, OSError) and not utils.is_passing(error):
            raise _errors.NotStartedError(f'{resource}: {error}') from error
        if waited_ms >= self._wait_max_ms:
            raise _errors.NotStartedError(
                f'{resource}: {error}, for {waited_ms} ms'
            ) from error

    def _log_wait(
        self, resource: str, error: OSError | _errors.NotReadyError
    ) -> None:
        _logger.warning(
            'start waits',
            phase=self.phase_name,
            resource=resource,
            why=str(error),
            wait_max_ms=self._wait_max_ms,
        )
