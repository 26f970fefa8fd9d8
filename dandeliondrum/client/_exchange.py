"""One HTTP call, sent once and never repeated behind one's back."""

import collections.abc
import dataclasses
import hashlib
import json
import threading
import typing

import pycurl

CONNECT_TIMEOUT_MS = 1_000
DEFAULT_SILENCE_S = 10
# The first lines of an answer's headers, in lower case.
OUTCOME = 'dandeliondrum-outcome'
ATTEMPT = 'dandeliondrum-attempt'
DIGEST = 'dandeliondrum-answer-digest'


@dataclasses.dataclass(frozen=True)
class Request:
    """What is sent to one gateway.

    ``silence_s`` bounds how long nothing may come before the connection is
    given up; a task that takes longer is met again by its id.
    """

    method: str
    path: str
    headers: collections.abc.Mapping[str, str]
    body: bytes
    timeout_ms: int
    silence_s: int = DEFAULT_SILENCE_S


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole answer; header names are in lower case."""

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes

    def outcome(self) -> str:
        """Return what the gateway says about the task."""
        return self.headers.get(OUTCOME, '')

    def plain(self) -> dict[str, typing.Any]:
        """Return the JSON object of the body; empty if there is none."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    def retry_after_ms(self) -> int:
        """Return how long the gateway asks to wait."""
        exact = self.plain().get('retry_after_ms', 0)
        if isinstance(exact, int) and exact > 0:
            return exact
        text = self.headers.get('retry-after', '')
        return int(text) * 1000 if text.isdigit() else 0

    def is_unchanged(self) -> bool:
        """Return whether the body is what the worker answered."""
        digest = self.headers.get(DIGEST)
        if digest is None:
            return True
        return hashlib.sha256(self.body).hexdigest() == digest


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing of the call reached the gateway."""

    detail: str


@dataclasses.dataclass(frozen=True)
class NoReply:
    """The call was sent; no whole answer came back.

    ``silent`` says that the connection was open and nothing came.
    """

    detail: str
    silent: bool = False


Result = Reply | NotSent | NoReply


class Exchanger:
    """Sends calls; each thread keeps a connection of its own."""

    def __init__(self) -> None:
        self._local = threading.local()

    def send(self, address: str, request: Request) -> Result:
        """Send the call to ``host:port`` and read its whole answer."""
        curl = getattr(self._local, 'curl', None) or pycurl.Curl()
        self._local.curl = curl
        outcome = _Exchange(curl, address, request).run()
        if not isinstance(outcome, Reply):
            # The connection may have gone silent for good.
            curl.close()
            self._local.curl = None
        return outcome


class _Exchange:
    """One call on one handle."""

    def __init__(
        self, curl: typing.Any, address: str, request: Request
    ) -> None:
        self._curl = curl
        self._address = address
        self._request = request
        self._sendings_count = 0
        self._headers: dict[str, str] = {}
        self._chunks: list[bytes] = []

    def run(self) -> Result:
        self._prepare()
        try:
            self._curl.perform()
        except pycurl.error as error:
            detail = str(error.args[-1])
            if self._sendings_count == 0:
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
            (pycurl.PREREQFUNCTION, self._on_sending),
        ):
            self._curl.setopt(option, value)
        if request.method == 'POST':
            self._curl.setopt(pycurl.POST, 1)
            self._curl.setopt(pycurl.POSTFIELDS, request.body)
        elif request.method != 'GET':
            self._curl.setopt(pycurl.CUSTOMREQUEST, request.method)

    def _on_sending(self, *_addresses: object) -> int:
        """Let the library send once; a repetition has to be declared."""
        self._sendings_count += 1
        if self._sendings_count > 1:
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
