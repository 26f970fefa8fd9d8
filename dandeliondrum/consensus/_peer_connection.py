"""Connection to one peer, opened on demand."""

import typing

from returns import result
import structlog

from dandeliondrum.consensus import _options
from dandeliondrum import messages
from dandeliondrum import transport

_logger = structlog.get_logger()


class PeerConnection:
    """Sends requests to a peer over a connection opened on demand.

    A connection is closed after a failed call. A network device that has
    dropped its state for the connection thus costs no more than one call.
    """

    def __init__(self, options: _options.Options) -> None:
        self._options = options
        self._address = ''
        self._connection: transport.Connection | None = None

    def call(
        self,
        address: str,
        message: typing.Any,
        size_bytes: int = 0,
        timeout_ms: int | None = None,
    ) -> result.Result[typing.Any, transport.CallError]:
        """Send a request and wait for its reply.

        The default timeout is that of a payload of ``size_bytes``.
        """
        try:
            connection = self._connect(address)
        except (OSError, ValueError) as error:
            return result.Failure(
                transport.CallError(transport.CallFailure.NOT_SENT, str(error))
            )
        if timeout_ms is None:
            timeout_ms = self.timeout_ms(size_bytes)
        outcome = connection.call(message, timeout_ms)
        if isinstance(outcome, result.Failure):
            self.close()
        return outcome

    def call_async(
        self, address: str, message: typing.Any
    ) -> transport.CallFuture | None:
        """Send a request and return a future of its reply.

        Returns None when no connection can be opened. A later failure is the
        result of the future.
        """
        try:
            return self._connect(address).call_async(message)
        except (OSError, ValueError):
            return None

    def timeout_ms(self, size_bytes: int) -> int:
        """Return the timeout of a call with a payload of this size."""
        extra_ms = size_bytes // _options.BANDWIDTH_MIN_BYTES_PER_MS
        return self._options.election_min_ms + extra_ms

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
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
