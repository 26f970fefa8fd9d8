"""A cluster scheduler for services, batches, gangs and urgent work.

The package is a library; the daemons in :mod:`dandeliondrum.command` only
read their settings and start its parts. Three roles make up a cell: gateways
speak HTTP to callers, operators and workers; controllers agree on every
decision in a replicated log; workers, which belong to the user, run tasks
under leases.
"""

import time

__version__ = '0.1.0'

# When the package was loaded, in nanoseconds of the monotonic clock. Daemons
# load it first of all, so it stands for the start of their process.
LOADED_NS = time.monotonic_ns()
