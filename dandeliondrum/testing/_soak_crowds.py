"""Crowds of clients that nobody controls, as a fault of a soak."""

import contextlib
import random
import socket
import time

from dandeliondrum import transport

CONNECTIONS_COUNT = (20, 80)
PIECE_BYTES = 8 * 1024
CONNECT_TIMEOUT_S = 2.0
STEP_S = 0.1
# Requests that stop before their end, or whose answers nobody reads.
REQUESTS = (
    b'POST /nowhere HTTP/1.1\r\nHost: h\r\nContent-Length: 200000000\r\n\r\n',
    b'POST /q/0123456789abcdef HTTP/1.1\r\nHost: h\r\n'
    b'Content-Length: 262144\r\n\r\n',
    b'POST /nowhere HTTP/1.1\r\nHost: h\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n20000\r\n',
    b'GET /nowhere HTTP/1.1\r\nHost: h\r\nX-Slow: ',
    b'GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n' * 200,
)


def press(address: str, seed: int, length_s: float) -> None:
    """Open connections that send parts of requests, and hold them open.

    Connections that the server refuses or closes are not replaced.
    """
    rng = random.Random(seed)
    end_s = time.monotonic() + length_s
    with contextlib.ExitStack() as resources:
        streams = []
        for _ in range(rng.randint(*CONNECTIONS_COUNT)):
            with contextlib.suppress(OSError):
                stream = socket.create_connection(
                    transport.parse_address(address), CONNECT_TIMEOUT_S
                )
                resources.enter_context(stream)
                stream.setblocking(False)
                stream.send(rng.choice(REQUESTS))
                streams.append(stream)
        while streams and time.monotonic() < end_s:
            for stream in list(streams):
                try:
                    stream.send(b'.' * rng.randint(1, PIECE_BYTES))
                except BlockingIOError:
                    pass
                except OSError:
                    streams.remove(stream)
            time.sleep(STEP_S)
