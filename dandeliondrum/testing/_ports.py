"""Free ports for tests.

No port is given twice in the life of a process, since whoever got it may not
listen yet. Processes that run tests side by side take their ports from parts
of the range that do not overlap.
"""

import collections.abc
import functools
import os
import random
import socket
import threading

# Below the range from which the system takes ports for outgoing connections.
FIRST_PORT = 15_000
LAST_PORT = 32_000
PARTS_COUNT = 16
# Names the processes of a parallel test run: gw0, gw1 and so on.
PART_VARIABLE = 'PYTEST_XDIST_WORKER'

_lock = threading.Lock()


def free_addresses(count: int, host: str = '127.0.0.1') -> tuple[str, ...]:
    """Return so many ``host:port`` on which nothing listens now.

    Raises OSError when none are left.
    """
    return tuple(free_address(host) for _ in range(count))


def free_address(host: str = '127.0.0.1') -> str:
    """Return one ``host:port`` on which nothing listens now.

    Raises OSError when none is left.
    """
    with _lock:
        for port in _ports():
            if _is_free(host, port):
                return f'{host}:{port}'
    raise OSError('no free port found')


@functools.cache
def _ports() -> collections.abc.Iterator[int]:
    part = int(os.environ.get(PART_VARIABLE, '').removeprefix('gw') or 0)
    ports = list(
        range(FIRST_PORT + part % PARTS_COUNT, LAST_PORT, PARTS_COUNT)
    )
    random.SystemRandom().shuffle(ports)
    return iter(ports)


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.create_server((host, port)):
            return True
    except OSError:
        return False
