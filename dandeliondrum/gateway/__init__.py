"""HTTP gateway of a cell.

A gateway serves HTTP to callers, workers and operators. It keeps a stream to
the leading controller, sends request bodies directly to workers and returns
their complete answers. It stores no state that has to survive a restart.
"""

from dandeliondrum.gateway._gateway import Gateway
from dandeliondrum.gateway._gateway import StartError
from dandeliondrum.gateway._http import Application
from dandeliondrum.gateway._http import Call
from dandeliondrum.gateway._http import json_response
from dandeliondrum.gateway._http import Problem
from dandeliondrum.gateway._http import problem_response
from dandeliondrum.gateway._http import Route
from dandeliondrum.gateway._leader_link import LeaderLink
from dandeliondrum.gateway._leader_link import LinkEvents
from dandeliondrum.gateway._metrics import Metrics
from dandeliondrum.gateway._options import Options
from dandeliondrum.gateway._server import Server
from dandeliondrum.gateway._worker_client import Head
from dandeliondrum.gateway._worker_client import NoReply
from dandeliondrum.gateway._worker_client import NotSent
from dandeliondrum.gateway._worker_client import Outcome
from dandeliondrum.gateway._worker_client import WorkerClient
from dandeliondrum.gateway._worker_client import WorkerReply
from dandeliondrum.gateway._worker_client import WorkerRequest

__all__ = [
    'Application',
    'Call',
    'Gateway',
    'Head',
    'LeaderLink',
    'LinkEvents',
    'Metrics',
    'NoReply',
    'NotSent',
    'Options',
    'Outcome',
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
