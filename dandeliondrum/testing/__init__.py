"""Test utilities: fault proxies, processes, run histories and checks."""

from dandeliondrum.testing._callers import Callers
from dandeliondrum.testing._callers import Workload
from dandeliondrum.testing._callers_checks import all_sending_outcomes
from dandeliondrum.testing._callers_checks import SendingOutcomes
from dandeliondrum.testing._cell import Cell
from dandeliondrum.testing._cell_calls import CELL_ID
from dandeliondrum.testing._cell_calls import CellCalls
from dandeliondrum.testing._cell_calls import task_headers
from dandeliondrum.testing._cell_calls import wait_until
from dandeliondrum.testing._chaos import ChaosOutcome
from dandeliondrum.testing._chaos import run_chaos
from dandeliondrum.testing._checker import check
from dandeliondrum.testing._fake_gateway import FakeGateway
from dandeliondrum.testing._fake_gateway import ReceivedHeartbeat
from dandeliondrum.testing._fake_gateway import wait_for
from dandeliondrum.testing._fake_job_workers import FakeAdviser
from dandeliondrum.testing._fake_job_workers import FakeFleet
from dandeliondrum.testing._fake_job_workers import FakeWorker
from dandeliondrum.testing._faults import BLACKHOLE
from dandeliondrum.testing._faults import CUT
from dandeliondrum.testing._faults import Faults
from dandeliondrum.testing._faults import Flow
from dandeliondrum.testing._faults import NO_FAULTS
from dandeliondrum.testing._faults import Pacer
from dandeliondrum.testing._faults import STALLED
from dandeliondrum.testing._history import History
from dandeliondrum.testing._history import KeyWithdrawal
from dandeliondrum.testing._history import Outage
from dandeliondrum.testing._history import OutageKind
from dandeliondrum.testing._history import Outcome
from dandeliondrum.testing._history import OutcomeKind
from dandeliondrum.testing._history import Sending
from dandeliondrum.testing._history import SendingKind
from dandeliondrum.testing._history import TeamLimit
from dandeliondrum.testing._http import call
from dandeliondrum.testing._http import HttpReply
from dandeliondrum.testing._mesh import LinkName
from dandeliondrum.testing._mesh import ProxyMesh
from dandeliondrum.testing._platform_cell import document
from dandeliondrum.testing._platform_cell import HEADERS
from dandeliondrum.testing._platform_cell import make_workers
from dandeliondrum.testing._platform_cell import PlatformCell
from dandeliondrum.testing._platform_cell import route
from dandeliondrum.testing._platform_cell import tenant
from dandeliondrum.testing._platform_fakes import HttpAdviser
from dandeliondrum.testing._platform_fakes import HttpWorker
from dandeliondrum.testing._ports import free_address
from dandeliondrum.testing._ports import free_addresses
from dandeliondrum.testing._processes import daemon
from dandeliondrum.testing._processes import ProcessError
from dandeliondrum.testing._processes import Processes
from dandeliondrum.testing._processes import Program
from dandeliondrum.testing._proxy import Proxy
from dandeliondrum.testing._recorder import Recorder
from dandeliondrum.testing._runs import Run
from dandeliondrum.testing._runs import runs
from dandeliondrum.testing._violations import CheckOptions
from dandeliondrum.testing._violations import Violation
from dandeliondrum.testing._violations import ViolationKind
from dandeliondrum.testing._worker_client import Reply
from dandeliondrum.testing._worker_client import Start
from dandeliondrum.testing._worker_client import WorkerClient

__all__ = [
    'BLACKHOLE',
    'CELL_ID',
    'CUT',
    'Callers',
    'Cell',
    'CellCalls',
    'ChaosOutcome',
    'CheckOptions',
    'FakeAdviser',
    'FakeFleet',
    'FakeGateway',
    'FakeWorker',
    'Faults',
    'Flow',
    'History',
    'HttpAdviser',
    'HttpReply',
    'HttpWorker',
    'KeyWithdrawal',
    'LinkName',
    'NO_FAULTS',
    'Outage',
    'OutageKind',
    'Outcome',
    'OutcomeKind',
    'Pacer',
    'PlatformCell',
    'ProcessError',
    'Processes',
    'Program',
    'Proxy',
    'ProxyMesh',
    'ReceivedHeartbeat',
    'Recorder',
    'Reply',
    'Run',
    'STALLED',
    'Sending',
    'SendingKind',
    'SendingOutcomes',
    'Start',
    'TeamLimit',
    'Violation',
    'ViolationKind',
    'WorkerClient',
    'Workload',
    'all_sending_outcomes',
    'call',
    'check',
    'daemon',
    'document',
    'free_address',
    'free_addresses',
    'make_workers',
    'route',
    'run_chaos',
    'runs',
    'task_headers',
    'tenant',
    'wait_for',
    'wait_until',
]
