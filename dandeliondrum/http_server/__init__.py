"""HTTP server whose memory, descriptors and threads its clients can't use up.

Requests are received without a thread: one is occupied only by a request that
has arrived completely. See docs/design/untrusted-clients.md.
"""

import typing

from dandeliondrum.http_server._budget import ByteBudget
from dandeliondrum.http_server._budget import Reservation
from dandeliondrum.http_server._limits import Limits
from dandeliondrum.http_server._limits import ProcessLimits
from dandeliondrum import utils

if typing.TYPE_CHECKING:
    from dandeliondrum.http_server._connection import Connection
    from dandeliondrum.http_server._connection import Request
    from dandeliondrum.http_server._manager import ConnectionManager
    from dandeliondrum.http_server._server import CONNECTION_KEY
    from dandeliondrum.http_server._server import Server
else:
    __getattr__ = utils.import_on_use(
        __name__,
        {
            '_connection': (
                'Connection',
                'Request',
            ),
            '_manager': ('ConnectionManager',),
            '_server': (
                'CONNECTION_KEY',
                'Server',
            ),
        },
    )

__all__ = [
    'ByteBudget',
    'CONNECTION_KEY',
    'Connection',
    'ConnectionManager',
    'Limits',
    'ProcessLimits',
    'Request',
    'Reservation',
    'Server',
]
