"""HTTP calls that tell whether a failed request may have been received."""

import collections.abc
import dataclasses
import enum
import io

import pycurl
from returns import result

CONNECT_TIMEOUT_MS = 2_000

# Errors after which the server can't have received the request.
_NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_URL_MALFORMAT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
    }
)


class Failure(enum.Enum):
    """Whether a request without a response may have been received."""

    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """A call that got no complete response."""

    failure: Failure
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request; ``timeout_ms`` bounds the whole call."""

    method: str
    url: str
    headers: collections.abc.Mapping[str, str]
    body: bytes = b''
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header names are in lower case."""

    status: int
    headers: collections.abc.Mapping[str, str]
    body: bytes


def call(request: Request) -> result.Result[Response, Error]:
    """Send the request once and return its response."""
    for name, value in request.headers.items():
        if not value.isprintable():
            detail = f'header {name} has unprintable characters: {value!r}'
            return result.Failure(Error(Failure.NOT_SENT, detail))
    curl = pycurl.Curl()
    body = io.BytesIO()
    headers: dict[str, str] = {}
    try:
        _configure(curl, request)
        curl.setopt(pycurl.WRITEDATA, body)
        curl.setopt(
            pycurl.HEADERFUNCTION, lambda line: _parse_header(headers, line)
        )
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        return result.Failure(_error(curl, *error.args))
    finally:
        curl.close()
    return result.Success(Response(status, headers, body.getvalue()))


def _configure(curl: pycurl.Curl, request: Request) -> None:
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    curl.setopt(pycurl.TIMEOUT_MS, request.timeout_ms)
    lines = [
        f'{name}: {value}'.encode() for name, value in request.headers.items()
    ]
    curl.setopt(pycurl.HTTPHEADER, [*lines, b'Expect:'])
    if request.method in ('POST', 'PUT'):
        curl.setopt(pycurl.POSTFIELDSIZE_LARGE, len(request.body))
        curl.setopt(pycurl.COPYPOSTFIELDS, request.body)


def _parse_header(headers: dict[str, str], line: bytes) -> None:
    name, separator, value = line.decode('latin-1').partition(':')
    if separator:
        headers[name.strip().lower()] = value.strip()


def _error(curl: pycurl.Curl, code: int, detail: str) -> Error:
    never_connected = curl.getinfo(pycurl.CONNECT_TIME) == 0
    if code in _NOT_SENT_ERRORS or (
        code == pycurl.E_OPERATION_TIMEDOUT and never_connected
    ):
        return Error(Failure.NOT_SENT, detail)
    return Error(Failure.NO_ANSWER, detail)
