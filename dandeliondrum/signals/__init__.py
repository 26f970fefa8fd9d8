"""Signals that stop a program or let it reload its settings.

A program installs its handlers before it imports anything else, so that no
signal ends it while it starts. This package therefore imports only small
modules of the standard library, and :mod:`dandeliondrum` imports none.
"""

from dandeliondrum.signals._process_signals import install
from dandeliondrum.signals._process_signals import ProcessSignals

__all__ = ['ProcessSignals', 'install']
