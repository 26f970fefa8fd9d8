"""Tools for tests: fault proxy, real processes, histories and checks."""

from dandeliondrum.testing._fake_gateway import FakeGateway
from dandeliondrum.testing._fake_gateway import SeenBeat
from dandeliondrum.testing._fake_gateway import wait_for
from dandeliondrum.testing._worker_client import Reply
from dandeliondrum.testing._worker_client import Start
from dandeliondrum.testing._worker_client import WorkerClient

__all__ = [
    'FakeGateway',
    'Reply',
    'SeenBeat',
    'Start',
    'WorkerClient',
    'wait_for',
]
