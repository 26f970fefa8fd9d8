"""HTTP calls for tests, without exceptions and without retries."""

import contextlib
import dataclasses
import json
import typing

import pycurl


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """A reply; its status is 0 if there was none or an incomplete one.

    Names of headers are in lower case.
    """

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """The outcome that the gateway reports, or an empty string."""
        return self.headers.get('dandeliondrum-outcome', '')


class HttpClient:
    """Makes calls, one at a time, on connections that are kept open.

    A connection is used until the server closes it. A call on a connection
    that turns out to be closed is sent again on a new one.
    """

    def __init__(self) -> None:
        self._curl = pycurl.Curl()

    def call(
        self,
        url: str,
        method: str = 'GET',
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_ms: int = 10_000,
    ) -> HttpReply:
        """Make a call; HTTP errors do not raise."""
        curl = self._curl
        curl.reset()
        received_body = bytearray()
        received_headers: dict[str, str] = {}

        def on_header(line: bytes) -> None:
            name, _, value = line.decode('latin-1').partition(':')
            received_headers[name.strip().lower()] = value.strip()

        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        header_lines = [
            f'{name}: {value}' for name, value in (headers or {}).items()
        ]
        curl.setopt(pycurl.HTTPHEADER, [*header_lines, 'Expect:'])
        curl.setopt(pycurl.WRITEFUNCTION, received_body.extend)
        curl.setopt(pycurl.HEADERFUNCTION, on_header)
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.NOSIGNAL, 1)
        try:
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
            return HttpReply(status, bytes(received_body), received_headers)
        except pycurl.error:
            return HttpReply(0, bytes(received_body), received_headers)

    def close(self) -> None:
        """Close the connections."""
        self._curl.close()


def call(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = 10_000,
) -> HttpReply:
    """Make a call on a new connection; HTTP errors do not raise."""
    with contextlib.closing(HttpClient()) as client:
        return client.call(url, method, body, headers, timeout_ms)


def call_json(
    url: str,
    body: dict[str, typing.Any],
    headers: dict[str, str],
    timeout_ms: int,
) -> HttpReply:
    """Post a JSON body."""
    return call(url, 'POST', json.dumps(body).encode(), headers, timeout_ms)
