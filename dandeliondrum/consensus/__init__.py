"""Replicated log of the controllers of a cell, based on Raft.

A majority of the voters elects a leader. The leader appends commands to its
log, and an entry is committed once a majority has synced it to disk.
Elections start with a pre-vote, so that a node that was partitioned does not
disrupt the others, and a leader that loses contact with a quorum steps down.
"""

from dandeliondrum.consensus._errors import ChangeError
from dandeliondrum.consensus._errors import ChangeFailure
from dandeliondrum.consensus._errors import NodeNotReadyError
from dandeliondrum.consensus._errors import ProposeError
from dandeliondrum.consensus._errors import ProposeFailure
from dandeliondrum.consensus._errors import StartError
from dandeliondrum.consensus._files import Files
from dandeliondrum.consensus._interfaces import Listener
from dandeliondrum.consensus._interfaces import MemberStatus
from dandeliondrum.consensus._interfaces import NodeStatus
from dandeliondrum.consensus._interfaces import Role
from dandeliondrum.consensus._interfaces import StateMachine
from dandeliondrum.consensus._node import move_damaged_files
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
    'NodeNotReadyError',
    'NodeStatus',
    'Options',
    'ProposeError',
    'ProposeFailure',
    'Role',
    'StartError',
    'StateMachine',
    'move_damaged_files',
]
