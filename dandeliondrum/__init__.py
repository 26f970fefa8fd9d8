"""A cluster scheduler for services, batches, gangs and urgent work.

The package is a library; the daemons in :mod:`dandeliondrum.command` only
read their settings and start its components. A cell has three roles:
gateways serve HTTP to callers, operators and workers; controllers agree on
every decision through a replicated log; workers, which users provide, run
tasks under leases.
"""

import time

__version__ = '0.1.0'

# Time of import on the monotonic clock, in nanoseconds. Daemons import this
# package first, so it approximates the start time of their process.
IMPORTED_NS = time.monotonic_ns()
