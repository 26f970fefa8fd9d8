"""Records the actions of callers and operators for a history."""

import itertools
import threading
import typing

from dandeliondrum import messages
from dandeliondrum.testing import _history
from dandeliondrum import worker


class Recorder:
    """Records requests, outcomes and changes of a run; thread-safe.

    Example::

        sending_id = recorder.sent(team_id=team, request_id='r1', ...)
        ...
        recorder.outcome(sending_id, testing.OutcomeKind.ANSWERED, echo='r1')
        violations = testing.check(recorder.history(worker.events()))
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._numbers = itertools.count(1)
        self._sendings: list[_history.Sending] = []
        self._outcomes: list[_history.Outcome] = []
        self._withdrawals: list[_history.KeyWithdrawal] = []
        self._limits: list[_history.TeamLimit] = []

    def sent(self, **fields: typing.Any) -> str:
        """Record a sending at the current time and return its id."""
        with self._lock:
            sending_id = str(next(self._numbers))
            self._sendings.append(
                _history.Sending(
                    sending_id=sending_id, at_ms=worker.now_ms(), **fields
                )
            )
        return sending_id

    def outcome(
        self,
        sending_id: str,
        kind: _history.OutcomeKind,
        **fields: typing.Any,
    ) -> None:
        """Record an outcome of a sending at the current time."""
        with self._lock:
            self._outcomes.append(
                _history.Outcome(
                    sending_id=sending_id,
                    at_ms=worker.now_ms(),
                    kind=kind,
                    **fields,
                )
            )

    def withdrawn(self, key_id: str) -> None:
        """Record that the withdrawal of an API key was acknowledged."""
        with self._lock:
            self._withdrawals.append(
                _history.KeyWithdrawal(key_id=key_id, at_ms=worker.now_ms())
            )

    def limited(
        self,
        team_id: messages.TeamId,
        running_max: int | None = None,
        resources_max: messages.Resources | None = None,
    ) -> None:
        """Record that an upper limit is in force from now on."""
        with self._lock:
            self._limits.append(
                _history.TeamLimit(
                    team_id=team_id,
                    at_ms=worker.now_ms(),
                    running_max=running_max,
                    resources_max=resources_max,
                )
            )

    def history(
        self,
        worker_events: tuple[worker.Event, ...],
        outages: tuple[_history.Outage, ...] = (),
    ) -> _history.History:
        """Return the history recorded so far, with the given events."""
        with self._lock:
            return _history.History(
                sendings=tuple(self._sendings),
                outcomes=tuple(self._outcomes),
                worker_events=worker_events,
                withdrawals=tuple(self._withdrawals),
                limits=tuple(self._limits),
                outages=outages,
            )
