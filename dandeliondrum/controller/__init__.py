"""Controllers of a cell: replicated state and the leader's scheduling."""

from dandeliondrum.controller._controller import Controller
from dandeliondrum.controller._options import Options
from dandeliondrum.controller._state import CellState

__all__ = [
    'CellState',
    'Controller',
    'Options',
]
