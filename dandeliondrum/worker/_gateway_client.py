"""HTTP client for the gateways, with failover."""

import io
import threading

import pycurl
from returns import result
import structlog

CALL_TIMEOUT_MS = 1_000
CONNECT_TIMEOUT_MS = 500

_logger = structlog.get_logger()


class GatewayClient:
    """Posts to one gateway until a call fails, then to the next one.

    The connection is reused between calls and closed after the first call on
    it that fails, so that a dead connection fails only one call.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._address_index = 0
        self._lock = threading.Lock()
        self._curl: pycurl.Curl | None = None

    def __len__(self) -> int:
        return len(self._addresses)

    def post(self, path: str, body: bytes) -> result.Result[bytes, str]:
        """Send one request; return the body of the reply or the error.

        A status other than 200 is an error. After an error the next call
        goes to the next gateway.
        """
        with self._lock:
            address = self._addresses[self._address_index % len(self)]
            reply = self._post(address + path, body)
            if isinstance(reply, result.Failure):
                _logger.info(
                    'gateway call failed',
                    gateway=address,
                    path=path,
                    why=reply.failure(),
                )
                self._address_index += 1
                self._disconnect()
            return reply

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._disconnect()

    def _post(self, url: str, body: bytes) -> result.Result[bytes, str]:
        curl = self._curl or pycurl.Curl()
        self._curl = curl
        reply = io.BytesIO()
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, '')
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TIMEOUT_MS, CALL_TIMEOUT_MS)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(
            pycurl.HTTPHEADER, ['Content-Type: application/json', 'Expect:']
        )
        curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.WRITEFUNCTION, reply.write)
        try:
            curl.perform()
        except pycurl.error as error:
            return result.Failure(str(error.args[-1]))
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        if status != 200:
            return result.Failure(f'status {status}')
        return result.Success(reply.getvalue())

    def _disconnect(self) -> None:
        if self._curl is not None:
            self._curl.close()
            self._curl = None
