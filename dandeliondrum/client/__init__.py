"""Client library for those who submit work.

It keeps the three outcomes apart: the whole answer, a refusal that is not
run, and a doubt that can be resolved later by the request's id.
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
