"""Free ports for tests.

A process never returns a port twice, since the first user may not listen on it
yet. Each process takes its ports from its own partition of the range, which it
locks until it exits, so that concurrent test runs use different ports.
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

# Below the ephemeral ports that Linux uses for outgoing connections.
FIRST_PORT = 15_000
LAST_PORT = 32_000
# Enough for three test runs of four processes each, and four others.
PARTITIONS_COUNT = 16
LOCKS_FOLDER = pathlib.Path(tempfile.gettempdir()) / 'dandeliondrum-ports'

_lock = threading.Lock()


def free_addresses(count: int, host: str = '127.0.0.1') -> tuple[str, ...]:
    """Return ``count`` addresses ``host:port`` on which nothing listens.

    Raises OSError if there are not enough.
    """
    return tuple(free_address(host) for _ in range(count))


def free_address(host: str = '127.0.0.1') -> str:
    """Return an address ``host:port`` on which nothing listens.

    Raises OSError if there is none.
    """
    with _lock:
        for port in _ports():
            if _is_free(host, port):
                return f'{host}:{port}'
    raise OSError('no free port found')


@functools.cache
def _ports() -> collections.abc.Iterator[int]:
    ports = list(
        range(FIRST_PORT + _claim_partition(), LAST_PORT, PARTITIONS_COUNT)
    )
    random.SystemRandom().shuffle(ports)
    return iter(ports)


@functools.cache
def _claim_partition() -> int:
    """Return a partition that no other process of this machine uses.

    The partition is claimed by a file lock, which the system releases when
    the process exits. If all are claimed, return one that is shared.
    """
    LOCKS_FOLDER.mkdir(mode=0o777, exist_ok=True)
    for partition in range(PARTITIONS_COUNT):
        lock_file = os.open(
            LOCKS_FOLDER / str(partition), os.O_CREAT | os.O_RDWR
        )
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(lock_file)
            continue
        return partition
    return os.getpid() % PARTITIONS_COUNT


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.create_server((host, port)):
            return True
    except OSError:
        return False
