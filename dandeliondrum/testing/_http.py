"""One HTTP call, for tests; it never raises and never tries again."""

import dataclasses
import json
import typing

import pycurl


@dataclasses.dataclass(frozen=True)
class HttpReply:
    """A reply; status 0 stands for none, or for one that was cut short."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def outcome(self) -> str:
        """The outcome that a gateway names in its reply."""
        return self.headers.get('dandeliondrum-outcome', '')


def call(
    url: str,
    method: str = 'GET',
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_ms: int = 10_000,
) -> HttpReply:
    """Make a call on a connection of its own."""
    curl = pycurl.Curl()
    received = bytearray()
    fields: dict[str, str] = {}

    def on_header(line: bytes) -> None:
        name, _, value = line.decode('latin-1').partition(':')
        fields[name.strip().lower()] = value.strip()

    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    named = [f'{name}: {value}' for name, value in (headers or {}).items()]
    curl.setopt(pycurl.HTTPHEADER, [*named, 'Expect:'])
    curl.setopt(pycurl.WRITEFUNCTION, received.extend)
    curl.setopt(pycurl.HEADERFUNCTION, on_header)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.NOSIGNAL, 1)
    try:
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        return HttpReply(status, bytes(received), fields)
    except pycurl.error:
        return HttpReply(0, bytes(received), fields)
    finally:
        curl.close()


def call_json(
    url: str,
    body: dict[str, typing.Any],
    headers: dict[str, str],
    timeout_ms: int,
) -> HttpReply:
    """Post a JSON body."""
    return call(url, 'POST', json.dumps(body).encode(), headers, timeout_ms)
