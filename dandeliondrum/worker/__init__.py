"""Stand-in worker: a simple implementation of the worker protocol."""

from dandeliondrum.worker._calls import Refused
from dandeliondrum.worker._encoding import from_json
from dandeliondrum.worker._encoding import to_json
from dandeliondrum.worker._journal import Event
from dandeliondrum.worker._journal import EventKind
from dandeliondrum.worker._journal import now_ms
from dandeliondrum.worker._journal import read_journal
from dandeliondrum.worker._leases import START_FRESHNESS_MS
from dandeliondrum.worker._options import Options
from dandeliondrum.worker._task import seeded_bytes
from dandeliondrum.worker._task import TaskBody
from dandeliondrum.worker._worker import StartError
from dandeliondrum.worker._worker import Worker

__all__ = [
    'Event',
    'EventKind',
    'Options',
    'Refused',
    'START_FRESHNESS_MS',
    'StartError',
    'TaskBody',
    'Worker',
    'from_json',
    'now_ms',
    'read_journal',
    'seeded_bytes',
    'to_json',
]
