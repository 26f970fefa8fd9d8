"""The HTTP front of a cell.

A gateway speaks HTTP to callers, workers and operators. It keeps a stream to
the leading controller, carries request bodies straight to workers and whole
answers back, and holds nothing that has to survive it.
"""

from dandeliondrum.gateway._gateway import Gateway
from dandeliondrum.gateway._gateway import StartError
from dandeliondrum.gateway._options import Options

__all__ = [
    'Gateway',
    'Options',
    'StartError',
]
