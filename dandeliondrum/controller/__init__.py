"""The controllers of a cell: agreed state, and the leader's decisions."""

from dandeliondrum.controller._controller import Controller
from dandeliondrum.controller._options import Options
from dandeliondrum.controller._state import CellState

__all__ = [
    'CellState',
    'Controller',
    'Options',
]
