"""A client for the calls of a gateway to a worker."""

import dataclasses
import io
import urllib.parse

import pycurl

from dandeliondrum import messages

DEFAULT_TIMEOUT_MS = 20_000


@dataclasses.dataclass(frozen=True)
class Start:
    """A request to start an attempt, as sent by a gateway."""

    attempt_id: str
    task_id: str
    token: int
    incarnation: str
    lease_ms: int = 10_000
    wait_ms: int = 0
    durable: bool = False
    team: str = 'team'
    queue: str = 'queue'
    resources: messages.Resources = messages.Resources(1_000, 1_024)
    body: bytes = b'{}'


@dataclasses.dataclass(frozen=True)
class Reply:
    """A worker's reply; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def state(self) -> str:
        """The ``State`` header."""
        return self.headers.get('state', '')

    @property
    def refused(self) -> str:
        """The ``Refused`` header."""
        return self.headers.get('refused', '')


class WorkerClient:
    """Calls the worker at an address, with a new connection per call.

    Calls raise ``pycurl.error`` when there is no reply.
    """

    def __init__(
        self, address: str, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        self._base = f'http://{address}'
        self._timeout_ms = timeout_ms

    def start(self, start: Start) -> Reply:
        """Start an attempt."""
        headers = {
            'Task-Id': start.task_id,
            'Token': str(start.token),
            'Incarnation': start.incarnation,
            'Lease-Ms': str(start.lease_ms),
            'Wait-Ms': str(start.wait_ms),
            'Durable': 'true' if start.durable else 'false',
            'Team': start.team,
            'Queue': start.queue,
            'Cpu-Millicores': str(start.resources.cpu_millicores),
            'Memory-Mb': str(start.resources.memory_mb),
            'Accelerators': str(start.resources.accelerators_count),
        }
        return self.call(
            'POST', _attempt_path(start.attempt_id), headers, start.body
        )

    def fetch(self, attempt_id: str, wait_ms: int = 0) -> Reply:
        """Fetch the answer of an attempt, waiting up to ``wait_ms`` for it."""
        headers = {'Wait-Ms': str(wait_ms)}
        return self.call('GET', _attempt_path(attempt_id) + '/answer', headers)

    def drop(self, attempt_id: str) -> Reply:
        """Delete the answer of an attempt, to report that it has arrived."""
        return self.call('DELETE', _attempt_path(attempt_id) + '/answer')

    def stop(self, attempt_id: str) -> Reply:
        """Stop an attempt; one that has not started is barred permanently."""
        return self.call('POST', _attempt_path(attempt_id) + '/stop')

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Reply:
        """Make any call to the worker."""
        received_body = io.BytesIO()
        received_lines: list[str] = []
        curl = pycurl.Curl()
        try:
            curl.setopt(pycurl.URL, self._base + path)
            curl.setopt(pycurl.PROXY, '')
            curl.setopt(pycurl.NOSIGNAL, 1)
            curl.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
            curl.setopt(pycurl.FORBID_REUSE, 1)
            if method == 'POST':
                curl.setopt(pycurl.POSTFIELDS, body)
            curl.setopt(pycurl.CUSTOMREQUEST, method)
            header_lines = [
                f'{name}: {text}' for name, text in (headers or {}).items()
            ]
            curl.setopt(pycurl.HTTPHEADER, ['Expect:', *header_lines])
            curl.setopt(pycurl.WRITEFUNCTION, received_body.write)
            curl.setopt(
                pycurl.HEADERFUNCTION,
                lambda line: received_lines.append(line.decode('latin-1')),
            )
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        finally:
            curl.close()
        return Reply(
            status, _parse_headers(received_lines), received_body.getvalue()
        )


def _attempt_path(attempt_id: str) -> str:
    return '/v1/attempts/' + urllib.parse.quote(attempt_id, safe='')


def _parse_headers(received_lines: list[str]) -> dict[str, str]:
    headers = {}
    for line in received_lines:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.lower()] = text.strip()
    return headers
