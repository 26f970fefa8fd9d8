"""Start of a controller whose data folder is damaged.

Such a voter can't vote. With an empty log the leader takes it in again like a
controller whose disk was lost. A leader that confirms a quorum meanwhile shows
that the cell does not need the damaged files; without one they stay in place,
since an operator may be able to repair them.
"""

import pathlib

from returns import result
import structlog

from dandeliondrum import consensus
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _leader_calls
from dandeliondrum.jobs import _policy
from dandeliondrum import utils

CONFIRMATION_TIMEOUT_MS = 3_000

_logger = structlog.get_logger()


def recover(
    folder: pathlib.Path,
    link_options: _leader_calls.LinkOptions,
    adviser_client: _adviser_client.AdviserClient,
    error: consensus.StartError,
) -> bool:
    """Move damaged files if the cell has a leader without this controller.

    Returns whether the controller can start with an empty log.
    """
    _logger.error(
        'data folder damaged',
        file=error.file,
        offset_bytes=error.offset_bytes,
        why=error.detail,
    )
    confirmed = _confirm_quorum(link_options, adviser_client)
    if isinstance(confirmed, result.Failure):
        _logger.error('damaged files not moved', why=confirmed.failure())
        return False
    match consensus.move_damaged_files(folder):
        case result.Success(target):
            _logger.warning('damaged files moved', folder=str(target))
            return True
        case result.Failure(refusal):
            _logger.error('damaged files not moved', why=refusal.detail)
    return False


def _confirm_quorum(
    link_options: _leader_calls.LinkOptions,
    adviser_client: _adviser_client.AdviserClient,
) -> result.Result[object, str]:
    """Ask the leader to confirm its quorum."""
    calls = _leader_calls.LeaderCalls(
        link_options,
        _leader_calls.ActivePolicy(lambda _document: _policy.Policy()),
        adviser_client,
    )
    supervisor = utils.Supervisor('damaged folder')
    supervisor.run('leader link', calls.link.run)
    try:
        outcome = calls.call(_calls.DomainQuery(), CONFIRMATION_TIMEOUT_MS)
    finally:
        calls.link.close()
        supervisor.close()
    return outcome.alt(lambda unavailable: unavailable.reason)
