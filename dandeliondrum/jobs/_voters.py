"""Addition of controllers and replacement of lost ones."""

import functools
import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _clock
from dandeliondrum import messages

# A voter that was silent for this long is replaced by a controller that asks
# to join. A restart takes less time, and the replacement of a lost VM must
# have the full state 4 s after its start.
SILENCE_MAX_MS = 2_500
# After the founding, controllers have this time to join before something is
# acknowledged without them.
FIRST_JOINS_MS = 3_000

_logger = structlog.get_logger()


class Voters:
    """Manages the voting members; the leader creates one per term."""

    def __init__(self, node: consensus.Node, voters_count: int) -> None:
        self._node = node
        self._voters_count = voters_count
        self._term_started_ms = _clock.elapsed_ms()

    def may_begin(self) -> bool:
        """Return whether a cell that holds nothing may acknowledge something.

        Only with all its voters it bears the losses that it is meant to bear.
        Those that do not join in time are lost already.
        """
        members = self._node.status().members
        voters_count = sum(member.voter for member in members)
        waited_ms = _clock.elapsed_ms() - self._term_started_ms
        return voters_count >= self._voters_count or waited_ms > FIRST_JOINS_MS

    def join(self, request: _calls.JoinRequest) -> typing.Any:
        """Add a controller if there are too few or one of them is lost.

        The change continues in the background; the controller repeats its
        request until it is a member.
        """
        members = self._node.status().members
        known = [member.controller_id for member in members]
        if request.controller_id in known:
            return messages.Done()
        if len(members) < self._voters_count:
            self._add(request)
            return messages.Done()
        lost = [
            member
            for member in members
            if self._silent_ms(member) > SILENCE_MAX_MS
        ]
        if lost:
            self._replace(max(lost, key=self._silent_ms), request)
        return messages.CallFailed('the cell has all its voters', True)

    def _silent_ms(self, member: consensus.MemberStatus) -> int:
        """Return the minimum time for which a member has been silent.

        A member that this leader has never heard from was lost before the
        term began, so it has been silent at least since then.
        """
        if member.silent_ms >= 0:
            return member.silent_ms
        return _clock.elapsed_ms() - self._term_started_ms

    def _add(self, request: _calls.JoinRequest) -> None:
        _logger.info('adding controller', controller=request.controller_id)
        self._node.add_member(
            request.controller_id, request.address
        ).add_done_callback(_log_outcome)

    def _replace(
        self, lost: consensus.MemberStatus, request: _calls.JoinRequest
    ) -> None:
        _logger.warning(
            'replacing lost voter',
            controller=lost.controller_id,
            silent_ms=self._silent_ms(lost),
            successor=request.controller_id,
        )
        self._node.remove_member(lost.controller_id).add_done_callback(
            functools.partial(self._on_removed, request)
        )

    def _on_removed(
        self, request: _calls.JoinRequest, done: typing.Any
    ) -> None:
        _log_outcome(done)
        if isinstance(done.result(), result.Success):
            self._add(request)


def _log_outcome(done: typing.Any) -> None:
    outcome = done.result()
    if isinstance(outcome, result.Failure):
        _logger.info('membership not changed', why=str(outcome.failure()))
