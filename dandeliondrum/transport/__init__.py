"""Connections that carry msgpack messages between processes of a cell."""

from dandeliondrum.transport._connection import Callbacks
from dandeliondrum.transport._connection import CallFuture
from dandeliondrum.transport._connection import Connection
from dandeliondrum.transport._connection import DEFAULT_IDLE_TIMEOUT_MS
from dandeliondrum.transport._connection import Handler
from dandeliondrum.transport._connection import PINGS_PER_IDLE_TIMEOUT
from dandeliondrum.transport._connection import SEND_QUEUE_MAX_FRAMES
from dandeliondrum.transport._connection import WRITE_BATCH_BYTES
from dandeliondrum.transport._documents import DocumentReceiver
from dandeliondrum.transport._documents import DocumentSender
from dandeliondrum.transport._errors import CallError
from dandeliondrum.transport._errors import CallFailure
from dandeliondrum.transport._frames import FRAME_MAX_BYTES
from dandeliondrum.transport._frames import FrameError
from dandeliondrum.transport._frames import FrameKind
from dandeliondrum.transport._frames import pack
from dandeliondrum.transport._frames import read
from dandeliondrum.transport._server import connect
from dandeliondrum.transport._server import HANDSHAKE_TIMEOUT_MS
from dandeliondrum.transport._server import parse_address
from dandeliondrum.transport._server import PORT_MAX
from dandeliondrum.transport._server import PROTOCOL_VERSION
from dandeliondrum.transport._server import Server
from dandeliondrum.transport._server import ServerOptions
from dandeliondrum.transport._sessions import Session
from dandeliondrum.transport._sessions import SessionTable

__all__ = [
    'CallError',
    'CallFailure',
    'CallFuture',
    'Callbacks',
    'Connection',
    'DEFAULT_IDLE_TIMEOUT_MS',
    'DocumentReceiver',
    'DocumentSender',
    'FRAME_MAX_BYTES',
    'FrameError',
    'FrameKind',
    'HANDSHAKE_TIMEOUT_MS',
    'Handler',
    'PINGS_PER_IDLE_TIMEOUT',
    'PROTOCOL_VERSION',
    'SEND_QUEUE_MAX_FRAMES',
    'Server',
    'ServerOptions',
    'Session',
    'SessionTable',
    'WRITE_BATCH_BYTES',
    'connect',
    'pack',
    'PORT_MAX',
    'parse_address',
    'read',
]
