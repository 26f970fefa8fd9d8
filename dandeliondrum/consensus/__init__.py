"""The system's own replicated log among a few controllers.

The algorithm is Raft: a leader is elected by a majority, appends commands to
its log, and an entry is committed once a majority has it on their disks.
Elections have a pre-vote, so that a node that was cut off does not disturb
the others, and a leader that hears from no quorum leaves office.
"""

from dandeliondrum.consensus._errors import ChangeError
from dandeliondrum.consensus._errors import ChangeFailure
from dandeliondrum.consensus._errors import ProposeError
from dandeliondrum.consensus._errors import ProposeFailure
from dandeliondrum.consensus._errors import StartError
from dandeliondrum.consensus._files import Files
from dandeliondrum.consensus._interfaces import Listener
from dandeliondrum.consensus._interfaces import MemberStatus
from dandeliondrum.consensus._interfaces import NodeStatus
from dandeliondrum.consensus._interfaces import Role
from dandeliondrum.consensus._interfaces import StateMachine
from dandeliondrum.consensus._node import Node
from dandeliondrum.consensus._options import COMMAND_BYTES_MAX
from dandeliondrum.consensus._options import Options

__all__ = [
    'COMMAND_BYTES_MAX',
    'ChangeError',
    'ChangeFailure',
    'Files',
    'Listener',
    'MemberStatus',
    'Node',
    'NodeStatus',
    'Options',
    'ProposeError',
    'ProposeFailure',
    'Role',
    'StartError',
    'StateMachine',
]
