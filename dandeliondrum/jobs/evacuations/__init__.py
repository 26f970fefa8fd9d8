"""Evacuated failure domains, in which no task is started.

An operator's order to evacuate a domain, or to restore it, is committed to
the replicated log. It is in force from then on until another order about the
same domain is committed.
"""

from dandeliondrum.jobs.evacuations._evacuations import DomainOrder
from dandeliondrum.jobs.evacuations._evacuations import Evacuations
from dandeliondrum.jobs.evacuations._evacuations import OrderOutcome
from dandeliondrum.jobs.evacuations._evacuations import Origin

__all__ = ['DomainOrder', 'Evacuations', 'OrderOutcome', 'Origin']
