"""Takes controllers in, in place of those that are lost."""

import typing

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _calls
from dandeliondrum import messages

# A voter that was silent for so long gives its place to another controller.
# Restarts take less, and a place that changes costs a copy of the state.
SILENCE_MAX_MS = 8_000

_logger = structlog.get_logger()


class Voters:
    """Decides who votes; used by the leader."""

    def __init__(self, node: consensus.Node, voters_count: int) -> None:
        self._node = node
        self._voters_count = voters_count

    def join(self, request: _calls.JoinRequest) -> typing.Any:
        """Take a controller in while a place is free.

        The change goes on by itself; the controller asks again until it is
        a member.
        """
        members = self._node.status().members
        known = [one.controller_id for one in members]
        if request.controller_id in known:
            return messages.Done()
        if len(members) < self._voters_count:
            _logger.info('controller taken in', controller=request)
            self._node.add_member(
                request.controller_id, request.address
            ).add_done_callback(_log_outcome)
            return messages.Done()
        lost = [one for one in members if one.silent_ms > SILENCE_MAX_MS]
        if lost:
            silent = max(lost, key=lambda one: one.silent_ms)
            _logger.warning(
                'lost voter removed',
                controller=silent.controller_id,
                silent_ms=silent.silent_ms,
            )
            self._node.remove_member(silent.controller_id).add_done_callback(
                _log_outcome
            )
        return messages.CallFailed('no place is free', True)


def _log_outcome(done: typing.Any) -> None:
    outcome = done.result()
    if isinstance(outcome, result.Failure):
        _logger.info('membership not changed', why=str(outcome.failure()))
