"""Free ports for tests."""

import contextlib
import random
import socket

# Below the range from which the system takes ports for outgoing connections.
FIRST_PORT = 15_000
LAST_PORT = 32_000

_TRIES = 1_000


def free_addresses(count: int, host: str = '127.0.0.1') -> tuple[str, ...]:
    """Return so many ``host:port`` on which nothing listens now.

    Raises OSError when none can be found.
    """
    addresses: list[str] = []
    with contextlib.ExitStack() as held:
        for _ in range(_TRIES):
            if len(addresses) == count:
                return tuple(addresses)
            port = random.SystemRandom().randint(FIRST_PORT, LAST_PORT)
            with contextlib.suppress(OSError):
                listener = socket.create_server((host, port))
                held.enter_context(listener)
                addresses.append(f'{host}:{port}')
    raise OSError('no free port found')


def free_address(host: str = '127.0.0.1') -> str:
    """Return one ``host:port`` on which nothing listens now."""
    return free_addresses(1, host)[0]
