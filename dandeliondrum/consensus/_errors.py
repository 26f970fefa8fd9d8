"""Why a node did not start, or a proposal was not carried out."""

import dataclasses
import enum

from dandeliondrum import messages


@dataclasses.dataclass(frozen=True, slots=True)
class StartError:
    """The files of a node can't be used.

    ``file`` names the damaged file, when it is one, and ``offset_bytes``
    where in it the damage begins.
    """

    detail: str
    file: str = ''
    offset_bytes: int = 0


class StorageError(Exception):
    """Files that can't be used; carries the :class:`StartError`."""

    def __init__(self, error: StartError) -> None:
        super().__init__(
            f'{error.detail} ({error.file}, offset {error.offset_bytes})'
        )
        self.error = error


class ProposeFailure(enum.Enum):
    """Why there is no success to report."""

    NOT_LEADING = 'not_leading'
    DEPOSED = 'deposed'
    STORAGE_FULL = 'storage_full'
    STORAGE_FAILED = 'storage_failed'
    OVERLOADED = 'overloaded'
    TOO_LARGE = 'too_large'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeError:
    """A proposal without a known success.

    ``not_done`` is true when it is certain that the command is in no log
    that could ever commit it; else its fate is unknown. ``leader_id`` is who
    leads now, as far as this node has heard.
    """

    failure: ProposeFailure
    not_done: bool
    leader_id: messages.ControllerId | None = None


class ChangeFailure(enum.Enum):
    """Why a cell was not formed or its membership not changed."""

    HAS_LOG = 'has_log'
    UNREACHABLE = 'unreachable'
    REFUSED = 'refused'
    NOT_LEADING = 'not_leading'
    CHANGE_IN_PROGRESS = 'change_in_progress'
    UNKNOWN_MEMBER = 'unknown_member'
    ALREADY_MEMBER = 'already_member'
    LOSES_QUORUM = 'loses_quorum'
    IS_LEADER = 'is_leader'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeError:
    """A change of the cell that was refused or did not come about."""

    failure: ChangeFailure
    detail: str = ''
