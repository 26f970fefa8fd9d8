"""Errors of starting a node, of proposals and of membership changes."""

import dataclasses
import enum

from dandeliondrum import messages
from dandeliondrum import startup
from dandeliondrum import utils


@dataclasses.dataclass(frozen=True, slots=True)
class StartError:
    """The files of a node can't be used.

    ``file`` is the path of the affected file or folder, empty when unknown.
    ``offset_bytes`` is the position in the file at which damage begins.
    ``is_damage`` tells that the files could be read, and that their contents
    are damaged, incomplete or inconsistent. ``may_pass`` tells that another
    attempt may succeed without an operator.
    """

    detail: str
    file: str = ''
    offset_bytes: int = 0
    is_damage: bool = False
    may_pass: bool = False


class StorageError(Exception):
    """Raised for files that can't be used; holds a :class:`StartError`."""

    def __init__(self, error: StartError) -> None:
        super().__init__(
            f'{error.detail} ({error.file}, offset {error.offset_bytes})'
        )
        self.error = error


def make_disk_error(
    operation: str, error: OSError, file: str, offset_bytes: int = 0
) -> StorageError:
    """Return the error of an operation that the system has refused.

    ``may_pass`` is set if the cause of the refusal may pass.
    """
    return StorageError(
        StartError(
            f'{operation}: {error}',
            file,
            offset_bytes,
            may_pass=utils.is_passing(error),
        )
    )


class NodeNotReadyError(startup.NotReadyError):
    """The files of a node can't be used yet; holds a :class:`StartError`."""

    def __init__(self, error: StartError) -> None:
        super().__init__(str(error))
        self.error = error


class ProposeFailure(enum.Enum):
    """Reason why a proposal or a confirmation failed."""

    NOT_LEADING = 'not_leading'
    DEPOSED = 'deposed'
    STORAGE_FULL = 'storage_full'
    STORAGE_FAILED = 'storage_failed'
    OVERLOADED = 'overloaded'
    TOO_LARGE = 'too_large'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class ProposeError:
    """A proposal that is not known to have succeeded.

    ``never_committed`` is true when the command is certain never to be
    committed; otherwise its outcome is unknown. ``leader_id`` is the current
    leader as far as this node knows, None when it is this node or unknown.
    """

    failure: ProposeFailure
    never_committed: bool
    leader_id: messages.ControllerId | None = None


class ChangeFailure(enum.Enum):
    """Reason why a cell was not formed or its membership not changed."""

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
    """A change of the cell that was refused or not completed."""

    failure: ChangeFailure
    detail: str = ''
