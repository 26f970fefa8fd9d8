"""Replacement of a damaged data folder by an empty one.

A voter whose files are damaged can't vote. With an empty folder the leader
takes it in again like a controller whose disk was lost. That needs a leader,
and only its quorum shows that the cell does without what the folder holds;
until then the folder stays where it is, for an operator to repair.
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


def replace(
    folder: pathlib.Path,
    link_options: _leader_calls.LinkOptions,
    adviser_client: _adviser_client.AdviserClient,
    error: consensus.StartError,
) -> bool:
    """Set a damaged folder aside if the cell has a leader without it.

    Returns whether the controller can start with an empty folder.
    """
    _logger.error(
        'data folder damaged',
        file=error.file,
        offset_bytes=error.offset_bytes,
        why=error.detail,
    )
    failure = _find_quorum(link_options, adviser_client)
    if failure:
        _logger.error('damaged data folder kept', why=failure)
        return False
    match consensus.set_data_folder_aside(folder):
        case result.Success(kept):
            _logger.warning('damaged data folder set aside', folder=str(kept))
            return True
        case result.Failure(refusal):
            _logger.error('damaged data folder kept', why=refusal.detail)
    return False


def _find_quorum(
    link_options: _leader_calls.LinkOptions,
    adviser_client: _adviser_client.AdviserClient,
) -> str:
    """Ask the leader to confirm its quorum; return why it did not."""
    calls = _leader_calls.LeaderCalls(
        link_options,
        _leader_calls.ActivePolicy(lambda _document: _policy.Policy()),
        adviser_client,
    )
    supervisor = utils.Supervisor('damaged folder', 1)
    supervisor.run('leader link', calls.link.run)
    try:
        outcome = calls.call(_calls.DomainQuery(), CONFIRMATION_TIMEOUT_MS)
    finally:
        calls.link.close()
        supervisor.close()
    if isinstance(outcome, result.Failure):
        return outcome.failure().reason
    return ''
