"""Why a call on a stream failed."""

import dataclasses
import enum


class CallFailure(enum.Enum):
    """What is known about a call that has no reply."""

    NOT_SENT = 'not_sent'
    TIMEOUT = 'timeout'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class CallError:
    """A call without a reply.

    Only ``NOT_SENT`` means that the other end did not see the call.
    """

    failure: CallFailure
    detail: str = ''
