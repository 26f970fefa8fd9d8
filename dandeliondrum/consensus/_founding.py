"""Founds a cell, once, at an operator's command.

The founder needs the durable vote of each member in one term, and only an
empty node gives it. Of two founders at most one can have them all, and none
where any member already has a log.
"""

import concurrent.futures
import contextlib
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _link
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _works
from dandeliondrum import messages

WAIT_S = 10
ATTEMPTS_MAX = 3

_logger = structlog.get_logger()

Members = tuple[tuple[messages.ControllerId, str], ...]


def found(state: _state.NodeState, members: Members) -> _works.ChangeResult:
    """Ask all members for their votes and write the first entry."""
    names = [controller_id for controller_id, _ in members]
    if state.me not in names or len(set(names)) < len(names):
        return _refusal(
            _errors.ChangeFailure.REFUSED,
            f'{state.me} must be one of the members, each named once',
        )
    outcome: _works.ChangeResult = _refusal(_errors.ChangeFailure.REFUSED)
    for _ in range(ATTEMPTS_MAX):
        with state.lock:
            term = state.term + 1
        votes = _ask_all(state, members, term)
        outcome = _write_first(state, members, votes, term)
        if isinstance(outcome, result.Success) or not _outdated(votes, term):
            return outcome
        state.put(_works.ObserveTerm(max(vote.term for vote in votes if vote)))
    return outcome


def _outdated(votes: list[_messages.FoundReply | None], term: int) -> bool:
    refusals = [vote for vote in votes if vote and not vote.granted]
    return bool(refusals) and all(
        not vote.detail and vote.term >= term for vote in refusals
    )


def _ask_all(
    state: _state.NodeState, members: Members, term: int
) -> list[_messages.FoundReply | None]:
    request = _messages.FoundCell(term, state.me)
    with concurrent.futures.ThreadPoolExecutor(len(members)) as executor:
        calls = [
            executor.submit(_ask, state, controller_id, address, request)
            for controller_id, address in members
        ]
        return [call.result() for call in calls]


def _ask(
    state: _state.NodeState,
    controller_id: messages.ControllerId,
    address: str,
    request: _messages.FoundCell,
) -> _messages.FoundReply | None:
    reply: typing.Any = None
    if controller_id == state.me:
        own: concurrent.futures.Future[typing.Any]
        own = concurrent.futures.Future()
        state.put(_works.Incoming(request, own))
        with contextlib.suppress(concurrent.futures.TimeoutError):
            reply = own.result(WAIT_S)
    else:
        dialled = state.options.addresses.get(controller_id, address)
        with contextlib.closing(_link.Link(state.options)) as link:
            reply = link.call(dialled, request).value_or(None)
    return reply if isinstance(reply, _messages.FoundReply) else None


def _write_first(
    state: _state.NodeState,
    members: Members,
    votes: list[_messages.FoundReply | None],
    term: int,
) -> _works.ChangeResult:
    voters = []
    for (controller_id, address), vote in zip(members, votes, strict=True):
        if vote is None:
            return _refusal(
                _errors.ChangeFailure.UNREACHABLE,
                f'no answer: {controller_id}',
            )
        if not vote.granted:
            failure = _errors.ChangeFailure.REFUSED
            if vote.detail:
                failure = _errors.ChangeFailure.HAS_LOG
            return _refusal(failure, f'{controller_id}: {vote.detail}')
        voters.append(_messages.Member(controller_id, address, vote.disk_id))
    membership = _messages.Membership(tuple(voters))
    future: _works.ChangeFuture = concurrent.futures.Future()
    state.put(_works.Found(term, membership, future))
    try:
        return future.result(WAIT_S)
    except concurrent.futures.TimeoutError:
        return _refusal(_errors.ChangeFailure.TIMEOUT)


def _refusal(
    failure: _errors.ChangeFailure, detail: str = ''
) -> _works.ChangeResult:
    return result.Failure(_errors.ChangeError(failure, detail))
