"""Client library for submitting work to the gateways.

A call has one of three outcomes: a complete answer; a refusal, after which
the task certainly does not run; or a doubt, which can be resolved later by
the id of the request.
"""

from dandeliondrum.client._client import Client
from dandeliondrum.client._outcomes import Answer
from dandeliondrum.client._outcomes import InDoubt
from dandeliondrum.client._outcomes import Outcome
from dandeliondrum.client._outcomes import Pending
from dandeliondrum.client._outcomes import Refused
from dandeliondrum.client._outcomes import TaskStatus
from dandeliondrum.client._requests import JobTask
from dandeliondrum.client._requests import TaskOptions
from dandeliondrum.client._retries import RetryPolicy

__all__ = [
    'Answer',
    'Client',
    'InDoubt',
    'JobTask',
    'Outcome',
    'Pending',
    'Refused',
    'RetryPolicy',
    'TaskOptions',
    'TaskStatus',
]
