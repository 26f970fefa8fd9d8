"""Free ports for tests.

No port is given twice in the life of a process, since whoever got it may not
listen yet. Each process takes its ports from a part of the range that it
claims for its life, so that test runs side by side do not take each other's.
"""

import collections.abc
import fcntl
import functools
import os
import pathlib
import random
import socket
import tempfile
import threading

# Below the range from which the system takes ports for outgoing connections.
FIRST_PORT = 15_000
LAST_PORT = 32_000
# Three test runs of four processes each, and some processes by hand.
PARTS_COUNT = 16
CLAIMS_FOLDER = pathlib.Path(tempfile.gettempdir()) / 'dandeliondrum-ports'

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
    ports = list(range(FIRST_PORT + _claimed_part(), LAST_PORT, PARTS_COUNT))
    random.SystemRandom().shuffle(ports)
    return iter(ports)


@functools.cache
def _claimed_part() -> int:
    """Return a part that no other process of this machine has.

    The lock on its file ends with the process. With more processes than
    parts, some share one.
    """
    CLAIMS_FOLDER.mkdir(mode=0o777, exist_ok=True)
    for part in range(PARTS_COUNT):
        claim = os.open(CLAIMS_FOLDER / str(part), os.O_CREAT | os.O_RDWR)
        try:
            fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(claim)
            continue
        return part
    return os.getpid() % PARTS_COUNT


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.create_server((host, port)):
            return True
    except OSError:
        return False
