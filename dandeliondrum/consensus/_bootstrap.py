"""Bootstrap of a new cell, which an operator requests once.

The bootstrapping node needs a durable vote from every member in the same
term, and only a node with an empty log grants one. Of two nodes that
bootstrap at the same time at most one can therefore succeed, and none can
where a member already has a log.
"""

import concurrent.futures
import contextlib
import typing

from returns import result
import structlog

from dandeliondrum.consensus import _errors
from dandeliondrum.consensus import _messages
from dandeliondrum.consensus import _peer_connection
from dandeliondrum.consensus import _state
from dandeliondrum.consensus import _work_items
from dandeliondrum import messages

LOCAL_TIMEOUT_S = 10
# Unlike an election, founding may wait for a slow disk: no leader is missed.
VOTE_TIMEOUT_MS = 5_000
ATTEMPTS_MAX = 3

_logger = structlog.get_logger()

Members = tuple[tuple[messages.ControllerId, str], ...]


def bootstrap_cell(
    state: _state.NodeState, members: Members
) -> _work_items.ChangeResult:
    """Collect the votes of all members and write the first entry."""
    names = [controller_id for controller_id, _ in members]
    if state.node_id not in names or len(set(names)) < len(names):
        return _refusal(
            _errors.ChangeFailure.REFUSED,
            f'members must include {state.node_id} and have no duplicates',
        )
    outcome: _work_items.ChangeResult = _refusal(_errors.ChangeFailure.REFUSED)
    for _ in range(ATTEMPTS_MAX):
        with state.lock:
            term = state.term + 1
        votes = _request_all_votes(state, members, term)
        outcome = _write_first_entry(state, members, votes, term)
        if isinstance(outcome, result.Success) or not _is_term_outdated(
            votes, term
        ):
            return outcome
        state.enqueue_work(
            _work_items.ObserveTerm(max(vote.term for vote in votes if vote))
        )
    return outcome


def _is_term_outdated(
    votes: list[_messages.FoundReply | None], term: int
) -> bool:
    refusals = [vote for vote in votes if vote and not vote.granted]
    return bool(refusals) and all(
        not vote.detail and vote.term >= term for vote in refusals
    )


def _request_all_votes(
    state: _state.NodeState, members: Members, term: int
) -> list[_messages.FoundReply | None]:
    request = _messages.FoundCell(term, state.node_id)
    with concurrent.futures.ThreadPoolExecutor(len(members)) as executor:
        calls = [
            executor.submit(
                _request_vote, state, controller_id, address, request
            )
            for controller_id, address in members
        ]
        return [call.result() for call in calls]


def _request_vote(
    state: _state.NodeState,
    controller_id: messages.ControllerId,
    address: str,
    request: _messages.FoundCell,
) -> _messages.FoundReply | None:
    reply: typing.Any = None
    if controller_id == state.node_id:
        own_reply: concurrent.futures.Future[typing.Any]
        own_reply = concurrent.futures.Future()
        state.enqueue_work(_work_items.PeerRequest(request, own_reply))
        with contextlib.suppress(concurrent.futures.TimeoutError):
            reply = own_reply.result(LOCAL_TIMEOUT_S)
    else:
        peer_address = state.options.addresses.get(controller_id, address)
        with contextlib.closing(
            _peer_connection.PeerConnection(state.options)
        ) as connection:
            reply = connection.call(
                peer_address, request, timeout_ms=VOTE_TIMEOUT_MS
            ).value_or(None)
    return reply if isinstance(reply, _messages.FoundReply) else None


def _write_first_entry(
    state: _state.NodeState,
    members: Members,
    votes: list[_messages.FoundReply | None],
    term: int,
) -> _work_items.ChangeResult:
    voters = []
    for (controller_id, address), vote in zip(members, votes, strict=True):
        if vote is None:
            return _refusal(
                _errors.ChangeFailure.UNREACHABLE,
                f'no reply from {controller_id}',
            )
        if not vote.granted:
            failure = _errors.ChangeFailure.REFUSED
            if vote.detail:
                failure = _errors.ChangeFailure.HAS_LOG
            return _refusal(failure, f'{controller_id}: {vote.detail}')
        voters.append(_messages.Member(controller_id, address, vote.disk_id))
    membership = _messages.Membership(tuple(voters))
    future: _work_items.ChangeFuture = concurrent.futures.Future()
    state.enqueue_work(_work_items.BootstrapCell(term, membership, future))
    try:
        return future.result(LOCAL_TIMEOUT_S)
    except concurrent.futures.TimeoutError:
        return _refusal(_errors.ChangeFailure.TIMEOUT)


def _refusal(
    failure: _errors.ChangeFailure, detail: str = ''
) -> _work_items.ChangeResult:
    return result.Failure(_errors.ChangeError(failure, detail))
