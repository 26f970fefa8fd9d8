"""HTTP gateway of a cell.

A gateway serves HTTP to callers, workers and operators. It keeps a stream to
the leading controller, sends request bodies directly to workers and returns
their complete answers. It stores no state that has to survive a restart.
"""

import typing

from dandeliondrum.gateway._leader_link import LeaderLink
from dandeliondrum.gateway._leader_link import LinkEvents
from dandeliondrum.gateway._options import Options
from dandeliondrum import utils

if typing.TYPE_CHECKING:
    from dandeliondrum.gateway._gateway import Gateway
    from dandeliondrum.gateway._gateway import StartError
    from dandeliondrum.gateway._http import Application
    from dandeliondrum.gateway._http import Call
    from dandeliondrum.gateway._http import json_response
    from dandeliondrum.gateway._http import Problem
    from dandeliondrum.gateway._http import problem_response
    from dandeliondrum.gateway._http import Route
    from dandeliondrum.gateway._metrics import Metrics
    from dandeliondrum.gateway._server import Server
    from dandeliondrum.gateway._worker_client import NoReply
    from dandeliondrum.gateway._worker_client import NotSent
    from dandeliondrum.gateway._worker_client import WorkerClient
    from dandeliondrum.gateway._worker_client import WorkerReply
    from dandeliondrum.gateway._worker_client import WorkerRequest
else:
    __getattr__ = utils.import_on_use(
        __name__,
        {
            '_gateway': (
                'Gateway',
                'StartError',
            ),
            '_http': (
                'Application',
                'Call',
                'json_response',
                'Problem',
                'problem_response',
                'Route',
            ),
            '_metrics': ('Metrics',),
            '_server': ('Server',),
            '_worker_client': (
                'NoReply',
                'NotSent',
                'WorkerClient',
                'WorkerReply',
                'WorkerRequest',
            ),
        },
    )

__all__ = [
    'Application',
    'Call',
    'Gateway',
    'LeaderLink',
    'LinkEvents',
    'Metrics',
    'NoReply',
    'NotSent',
    'Options',
    'Problem',
    'Route',
    'Server',
    'StartError',
    'WorkerClient',
    'WorkerReply',
    'WorkerRequest',
    'json_response',
    'problem_response',
]
