"""A cell whose roles run as threads of one process, and a demo of it."""

from dandeliondrum.embedded._cell import EmbeddedCell
from dandeliondrum.embedded._cell import WorkerConfig
from dandeliondrum.embedded._demo import DemoOptions
from dandeliondrum.embedded._demo import DemoResult
from dandeliondrum.embedded._demo import run
from dandeliondrum.embedded._summary import passed
from dandeliondrum.embedded._summary import RunResults
from dandeliondrum.embedded._summary import summarize
from dandeliondrum.embedded._summary import Summary

__all__ = [
    'DemoOptions',
    'DemoResult',
    'EmbeddedCell',
    'RunResults',
    'Summary',
    'WorkerConfig',
    'passed',
    'run',
    'summarize',
]
