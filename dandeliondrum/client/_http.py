"""Sends an HTTP request exactly once, without automatic retries."""

import collections.abc
import dataclasses
import hashlib
import json
import threading
import typing

import pycurl

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_SILENCE_S = 10
# Names of response headers, in lower case.
OUTCOME_HEADER = 'dandeliondrum-outcome'
ATTEMPT_HEADER = 'dandeliondrum-attempt'
DIGEST_HEADER = 'dandeliondrum-answer-digest'


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to one gateway.

    ``silence_s`` is the time without any received data after which the
    connection is closed. A task that takes longer goes on; sending its id
    again joins it.
    """

    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    timeout_ms: int
    silence_s: int = DEFAULT_SILENCE_S


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete response; header names are in lower case."""

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes

    def outcome(self) -> str:
        """Return the outcome of the task that the gateway reports."""
        return self.headers.get(OUTCOME_HEADER, '')

    def json_object(self) -> dict[str, typing.Any]:
        """Return the body as a JSON object; empty if it is not one."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    def retry_after_ms(self) -> int:
        """Return the delay before a retry that the gateway requests, or 0."""
        exact = self.json_object().get('retry_after_ms', 0)
        if isinstance(exact, int) and exact > 0:
            return exact
        text = self.headers.get('retry-after', '')
        is_valid = text.isascii() and text.isdigit() and len(text) <= 15
        return int(text) * 1000 if is_valid else 0

    def is_intact(self) -> bool:
        """Return whether the body matches its digest, if it has one."""
        digest = self.headers.get(DIGEST_HEADER)
        if digest is None:
            return True
        return hashlib.sha256(self.body).hexdigest() == digest


@dataclasses.dataclass(frozen=True)
class NotSent:
    """The request was not sent."""

    detail: str


@dataclasses.dataclass(frozen=True)
class NoReply:
    """The request was sent, but no complete response arrived.

    ``silent`` is true if the connection was open and the wait timed out.
    """

    detail: str
    silent: bool = False


SendOutcome = Reply | NotSent | NoReply


class HttpSender:
    """Sends requests; each thread uses a connection of its own."""

    def __init__(self) -> None:
        self._local = threading.local()

    def send(self, address: str, request: Request) -> SendOutcome:
        """Send a request to ``host:port`` and read the whole response."""
        curl = getattr(self._local, 'curl', None) or pycurl.Curl()
        self._local.curl = curl
        outcome = _Transfer(curl, address, request).run()
        if not isinstance(outcome, Reply):
            # The connection may be dead, so it is not reused.
            curl.close()
            self._local.curl = None
        return outcome


class _Transfer:
    """A single request on a curl handle."""

    def __init__(
        self, curl: typing.Any, address: str, request: Request
    ) -> None:
        self._curl = curl
        self._address = address
        self._request = request
        self._requests_count = 0
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []

    def run(self) -> SendOutcome:
        self._prepare()
        try:
            self._curl.perform()
        except pycurl.error as error:
            detail = str(error.args[-1])
            if self._requests_count == 0:
                return NotSent(detail)
            silent = error.args[0] == pycurl.E_OPERATION_TIMEDOUT
            return NoReply(detail, silent)
        return Reply(
            self._curl.getinfo(pycurl.RESPONSE_CODE),
            self._headers,
            b''.join(self._chunks),
        )

    def _prepare(self) -> None:
        request = self._request
        lines = [f'{name}: {text}' for name, text in request.headers.items()]
        self._curl.reset()
        for option, value in (
            (pycurl.URL, f'http://{self._address}{request.path}'),
            (pycurl.PROXY, ''),
            (pycurl.NOSIGNAL, 1),
            (pycurl.USERAGENT, 'dandeliondrum'),
            (pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS),
            (pycurl.TIMEOUT_MS, request.timeout_ms),
            (pycurl.LOW_SPEED_LIMIT, 1),
            (pycurl.LOW_SPEED_TIME, request.silence_s),
            (pycurl.HTTPHEADER, [*lines, 'Expect:']),
            (pycurl.HEADERFUNCTION, self._on_header),
            (pycurl.WRITEFUNCTION, self._chunks.append),
            (pycurl.PREREQFUNCTION, self._before_request),
        ):
            self._curl.setopt(option, value)
        if request.method == 'POST':
            self._curl.setopt(pycurl.POST, 1)
            self._curl.setopt(pycurl.POSTFIELDS, request.body)
        elif request.method != 'GET':
            self._curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _before_request(self, *_addresses: object) -> int:
        """Abort a second sending by libcurl.

        A retry has to be declared in the headers of the request.
        """
        self._requests_count += 1
        if self._requests_count > 1:
            return pycurl.PREREQFUNC_ABORT
        return pycurl.PREREQFUNC_OK

    def _on_header(self, line: bytes) -> None:
        text = line.decode('latin-1').strip()
        if text.startswith('HTTP/'):
            self._headers = {}
            return
        name, _, value = text.partition(':')
        if name:
            self._headers[name.strip().lower()] = value.strip()
