"""Bootstrap of a new cell, which an operator requests once.

The bootstrapping node needs a durable vote from every member in the same
term, or from a majority of them, and only a node with an empty log grants one.
The voters become the members of the cell. Two majorities share a voter, which
grants the votes in different terms: the first entry of the earlier term is
then never stored on it, so at most one of two cells can commit anything. No
cell is founded where a member that answers already has a log.
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
# A member that is down is waited for no longer where no disk has to be waited
# for, or where a majority suffices.
SHORT_TIMEOUT_MS = 1_500
ATTEMPTS_MAX = 3

_logger = structlog.get_logger()

Members = tuple[tuple[messages.ControllerId, str], ...]


def bootstrap_cell(
    state: _state.NodeState, members: Members, by_majority: bool
) -> _work_items.ChangeResult:
    """Collect the votes of the members and write the first entry."""
    names = [controller_id for controller_id, _ in members]
    if state.node_id not in names or len(set(names)) < len(names):
        return _refusal(
            _errors.ChangeFailure.REFUSED,
            f'members must include {state.node_id} and have no duplicates',
        )
    refusal = _check_logs(state, members, by_majority)
    if refusal is not None:
        return refusal
    outcome: _work_items.ChangeResult = _refusal(_errors.ChangeFailure.REFUSED)
    for _ in range(ATTEMPTS_MAX):
        with state.lock:
            term = state.term + 1
        votes = _request_all_votes(state, members, term, by_majority)
        outcome = _write_first_entry(state, members, votes, term, by_majority)
        if isinstance(outcome, result.Success) or not _is_term_outdated(
            votes, term
        ):
            return outcome
        state.enqueue_work(
            _work_items.ObserveTerm(max(vote.term for vote in votes if vote))
        )
    return outcome


def _check_logs(
    state: _state.NodeState, members: Members, by_majority: bool
) -> _work_items.ChangeResult | None:
    """Return why no votes are requested, None if they may be.

    A request for votes raises the term of those that grant it, which would
    depose the leader of a cell that some of them have just founded.
    """
    replies = _ask_all(
        state, members, _messages.IdentifyDisk(), SHORT_TIMEOUT_MS
    )
    missing = None
    for (controller_id, _), reply in zip(members, replies, strict=True):
        if not isinstance(reply, _messages.DiskIdentity):
            missing = controller_id
        elif reply.last_index:
            return _refusal(
                _errors.ChangeFailure.HAS_LOG, f'{controller_id} has a log'
            )
    if missing is None or by_majority:
        return None
    return _refusal(
        _errors.ChangeFailure.UNREACHABLE, f'no reply from {missing}'
    )


def _is_term_outdated(
    votes: list[_messages.FoundReply | None], term: int
) -> bool:
    refusals = [vote for vote in votes if vote and not vote.granted]
    return bool(refusals) and all(
        not vote.detail and vote.term >= term for vote in refusals
    )


def _request_all_votes(
    state: _state.NodeState, members: Members, term: int, by_majority: bool
) -> list[_messages.FoundReply | None]:
    request = _messages.FoundCell(term, state.node_id)
    timeout_ms = SHORT_TIMEOUT_MS if by_majority else VOTE_TIMEOUT_MS
    return [
        reply if isinstance(reply, _messages.FoundReply) else None
        for reply in _ask_all(state, members, request, timeout_ms)
    ]


def _ask_all(
    state: _state.NodeState,
    members: Members,
    request: _messages.Request,
    timeout_ms: int,
) -> list[typing.Any]:
    """Return the replies of the members in their order, None for no reply."""
    with concurrent.futures.ThreadPoolExecutor(len(members)) as executor:
        calls = [
            executor.submit(
                _ask, state, controller_id, address, request, timeout_ms
            )
            for controller_id, address in members
        ]
        return [call.result() for call in calls]


def _ask(
    state: _state.NodeState,
    controller_id: messages.ControllerId,
    address: str,
    request: _messages.Request,
    timeout_ms: int,
) -> typing.Any:
    if controller_id == state.node_id:
        own_reply: concurrent.futures.Future[typing.Any]
        own_reply = concurrent.futures.Future()
        state.enqueue_work(_work_items.PeerRequest(request, own_reply))
        with contextlib.suppress(concurrent.futures.TimeoutError):
            return own_reply.result(LOCAL_TIMEOUT_S)
        return None
    peer_address = state.options.addresses.get(controller_id, address)
    with contextlib.closing(
        _peer_connection.PeerConnection(state.options)
    ) as connection:
        return connection.call(
            peer_address, request, timeout_ms=timeout_ms
        ).value_or(None)


def _write_first_entry(
    state: _state.NodeState,
    members: Members,
    votes: list[_messages.FoundReply | None],
    term: int,
    by_majority: bool,
) -> _work_items.ChangeResult:
    voters = []
    refusals: list[_work_items.ChangeResult] = []
    for (controller_id, address), vote in zip(members, votes, strict=True):
        if vote is None:
            refusals.append(
                _refusal(
                    _errors.ChangeFailure.UNREACHABLE,
                    f'no reply from {controller_id}',
                )
            )
        elif vote.granted:
            voters.append(
                _messages.Member(controller_id, address, vote.disk_id)
            )
        elif vote.detail:
            return _refusal(
                _errors.ChangeFailure.HAS_LOG,
                f'{controller_id}: {vote.detail}',
            )
        else:
            refusals.append(
                _refusal(_errors.ChangeFailure.REFUSED, f'{controller_id}: ')
            )
    is_majority = 2 * len(voters) > len(members)
    if refusals and not (by_majority and is_majority):
        return refusals[0]
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
