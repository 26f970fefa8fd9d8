"""Errors of calls on a connection."""

import dataclasses
import enum


class CallFailure(enum.Enum):
    """How a call failed.

    ``NOT_SENT``: the connection could not be opened or was already closed.
    ``TIMEOUT``: no reply arrived in time. ``CLOSED``: the connection was
    closed while the call was pending.
    """

    NOT_SENT = 'not_sent'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """The error of a call that got no reply.

    Only ``NOT_SENT`` guarantees that the peer has not received the call.
    """

    failure: CallFailure
    detail: str = ''
