"""The stream to one peer, dialled when it is needed."""

import typing

from returns import result
import structlog

from dandeliondrum.consensus import _options
from dandeliondrum import messages
from dandeliondrum import transport

_logger = structlog.get_logger()


class Link:
    """Calls a peer; a stream on which a call failed is not used again.

    A link in the network that forgot the stream thus costs one call.
    """

    def __init__(self, options: _options.Options) -> None:
        self._options = options
        self._address = ''
        self._connection: transport.Connection | None = None

    def call(
        self, address: str, message: typing.Any, size_bytes: int = 0
    ) -> result.Result[typing.Any, transport.CallError]:
        """Send a request and wait for its reply.

        ``size_bytes`` is what it carries; it lengthens the timeout.
        """
        try:
            connection = self._connect(address)
        except (OSError, ValueError) as error:
            return result.Failure(
                transport.CallError(transport.CallFailure.NOT_SENT, str(error))
            )
        outcome = connection.call(message, self.timeout_ms(size_bytes))
        if isinstance(outcome, result.Failure):
            self.close()
        return outcome

    def start(
        self, address: str, message: typing.Any
    ) -> transport.CallFuture | None:
        """Send a request; the reply comes later. None when not possible."""
        try:
            return self._connect(address).call_async(message)
        except (OSError, ValueError):
            return None

    def timeout_ms(self, size_bytes: int) -> int:
        """Return how long a call that carries so much may take."""
        extra_ms = size_bytes // _options.SLOWEST_LINK_BYTES_PER_MS
        return self._options.election_min_ms + extra_ms

    def close(self) -> None:
        """Close the stream; the next call opens another."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.close()

    def _connect(self, address: str) -> transport.Connection:
        connection = self._connection
        if connection is not None and address == self._address:
            if not connection.closed.is_set():
                return connection
        self.close()
        hello = messages.Hello(
            self._options.cell_id,
            transport.PROTOCOL_VERSION,
            messages.PeerKind.CONTROLLER,
            self._options.controller_id,
        )
        connection = transport.connect(
            address,
            hello,
            transport.Callbacks(),
            timeout_ms=self._options.election_min_ms,
        )
        self._connection = connection
        self._address = address
        return connection
