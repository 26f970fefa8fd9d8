"""Tools for tests: fault proxy, real processes, histories and checks."""

from dandeliondrum.testing._fake_gateway import FakeGateway
from dandeliondrum.testing._fake_gateway import SeenBeat
from dandeliondrum.testing._fake_gateway import wait_for
from dandeliondrum.testing._faults import BLACKHOLE
from dandeliondrum.testing._faults import CUT
from dandeliondrum.testing._faults import Faults
from dandeliondrum.testing._faults import Flow
from dandeliondrum.testing._faults import NO_FAULTS
from dandeliondrum.testing._faults import Pacer
from dandeliondrum.testing._faults import STALLED
from dandeliondrum.testing._mesh import LinkName
from dandeliondrum.testing._mesh import ProxyMesh
from dandeliondrum.testing._proxy import Proxy
from dandeliondrum.testing._worker_client import Reply
from dandeliondrum.testing._worker_client import Start
from dandeliondrum.testing._worker_client import WorkerClient

__all__ = [
    'BLACKHOLE',
    'CUT',
    'FakeGateway',
    'Faults',
    'Flow',
    'LinkName',
    'NO_FAULTS',
    'Pacer',
    'Proxy',
    'ProxyMesh',
    'Reply',
    'STALLED',
    'SeenBeat',
    'Start',
    'WorkerClient',
    'wait_for',
]
