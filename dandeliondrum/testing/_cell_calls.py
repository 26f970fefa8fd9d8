"""Calls of callers and operators to a cell.

They are the same whether the roles of the cell run as separate processes or
as threads of one process.
"""

import base64
import collections.abc
import contextlib
import functools
import json
import time
import typing
import uuid

from dandeliondrum import messages
from dandeliondrum.testing import _http
from dandeliondrum import transport

CELL_ID = messages.CellId('test-cell')
WAIT_TIMEOUT_MS = 30_000
POLL_MS = 50
CALL_TIMEOUT_MS = 5_000

_DEFAULT_TASK = {
    'cpu_millicores': 1_000,
    'memory_mb': 512,
    'timeout_ms': 60_000,
}

Value = typing.TypeVar('Value')


def wait_until(
    condition: collections.abc.Callable[[], Value],
    timeout_ms: int = WAIT_TIMEOUT_MS,
) -> Value:
    """Poll a condition until it returns a true value, and return that.

    Raises AssertionError after ``timeout_ms``.
    """
    end_s = time.monotonic() + timeout_ms / 1000
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(POLL_MS / 1000)
    raise AssertionError(
        f'condition not met within {timeout_ms} ms: {condition}'
    )


class CellCalls:
    """Makes the calls of callers and operators to a cell.

    ``addresses`` maps ``CONTROLLER`` and ``GATEWAY/PORT``, where the port is
    callers, workers or operators, to ``host:port``.
    """

    def __init__(self) -> None:
        self.addresses: dict[str, str] = {}
        self.controllers: list[str] = []
        self.gateways: list[str] = []
        self.workers: list[str] = []

    def form(self, names: list[str]) -> None:
        """Form the cell, like the command `controllers form`."""
        call = messages.FormCell(
            tuple(
                (messages.ControllerId(name), self.addresses[name])
                for name in names
            )
        )
        wait_until(
            lambda: isinstance(self.call(names[0], call), messages.Done)
        )

    def call(self, controller: str, message: typing.Any) -> typing.Any:
        """Make one call to a controller; return None without a reply."""
        hello = messages.Hello(
            CELL_ID,
            transport.PROTOCOL_VERSION,
            messages.PeerKind.GATEWAY,
            'operator',
        )
        try:
            stream = transport.connect(
                self.addresses[controller], hello, transport.Callbacks()
            )
        except OSError:
            return None
        with contextlib.closing(stream):
            return stream.call(message, CALL_TIMEOUT_MS).value_or(None)

    def gateways_up(self) -> list[str]:
        """Return the gateways that are expected to become ready."""
        return self.gateways

    def wait_ready(
        self,
        workers_count: int | None = None,
        timeout_ms: int = WAIT_TIMEOUT_MS,
    ) -> None:
        """Wait until the gateways are ready and the workers registered.

        The timeout applies to each gateway separately, and to the workers.
        """
        if workers_count is None:
            workers_count = len(self.workers)
        for name in self.gateways_up():
            wait_until(functools.partial(self.is_ready, name), timeout_ms)
        wait_until(
            lambda: len(self.fleet()['workers']) >= workers_count, timeout_ms
        )

    def is_ready(self, gateway: str) -> bool:
        """Return whether a gateway reports itself ready."""
        address = self.addresses[f'{gateway}/operators']
        url = f'http://{address}/readyz'
        return _http.call(url, timeout_ms=1_000).status == 200

    def fleet(self, gateway: str = 'g1') -> dict[str, typing.Any]:
        """Return the fleet as reported to operators."""
        reply = self.operate('GET', '/v1/fleet', gateway=gateway)
        if reply.status != 200:
            return {'workers': []}
        return reply.json()

    def operate(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        gateway: str = 'g1',
    ) -> _http.HttpReply:
        """Make an operator call to a gateway."""
        address = self.addresses[f'{gateway}/operators']
        return _http.call(f'http://{address}{path}', method, body, headers)

    def apply_rules(
        self,
        text: str,
        expected_version: int,
        change_id: str = '',
        gateway: str = 'g1',
    ) -> _http.HttpReply:
        """Apply a rules file as an operator."""
        return self.operate(
            'PUT',
            '/v1/rules',
            text.encode(),
            {
                'If-Match': str(expected_version),
                'Dandeliondrum-Change-Id': change_id or uuid.uuid4().hex,
                'Dandeliondrum-Operator': 'tester',
            },
            gateway,
        )

    def run_task(
        self,
        body: dict[str, typing.Any],
        key: str = '',
        gateway: str = 'g1',
        timeout_ms: int = 20_000,
        **fields: typing.Any,
    ) -> _http.HttpReply:
        """Make a waiting call; fields become ``Dandeliondrum-`` headers."""
        address = self.addresses[f'{gateway}/callers']
        return _http.call(
            f'http://{address}/v1/tasks',
            'POST',
            json.dumps(body).encode(),
            task_headers(key, timeout_ms=timeout_ms, **fields),
            timeout_ms + 5_000,
        )

    def submit_job(
        self,
        key: str,
        tasks: list[dict[str, typing.Any]],
        gateway: str = 'g1',
        team: str = 'harbour',
        **fields: typing.Any,
    ) -> _http.HttpReply:
        """Submit a job; the ``body`` of each task is a mapping."""
        encoded_tasks = []
        for task in tasks:
            body = json.dumps(task.pop('body', {})).encode()
            encoded_body = base64.b64encode(body).decode()
            encoded_tasks.append(
                {**_DEFAULT_TASK, **task, 'body_base64': encoded_body}
            )
        address = self.addresses[f'{gateway}/callers']
        return _http.call_json(
            f'http://{address}/v1/jobs',
            {'team': team, 'queue': 'lens', 'tasks': encoded_tasks, **fields},
            {'Authorization': f'Bearer {key}'},
            CALL_TIMEOUT_MS * 4,
        )

    def ask(
        self,
        key: str,
        path: str,
        method: str = 'GET',
        body: dict[str, typing.Any] | None = None,
        gateway: str = 'g1',
        team: str = 'harbour',
    ) -> _http.HttpReply:
        """Make any other caller call, for example to query a task."""
        address = self.addresses[f'{gateway}/callers']
        return _http.call(
            f'http://{address}/v1/{path}',
            method,
            None if body is None else json.dumps(body).encode(),
            {
                'Authorization': f'Bearer {key}',
                'Dandeliondrum-Team': team,
                'Content-Type': 'application/json',
            },
            CALL_TIMEOUT_MS * 4,
        )

    def state_of(self, key: str, request_id: str, gateway: str = 'g1') -> str:
        """Return the state of a task; empty without an answer."""
        reply = self.ask(key, f'tasks/{request_id}', gateway=gateway)
        try:
            return str(reply.json().get('state', ''))
        except ValueError:
            return ''


def task_headers(key: str, **fields: typing.Any) -> dict[str, str]:
    """Return the headers of a task, by default with small resources."""
    values = {
        'team': 'harbour',
        'queue': 'lens',
        'class': 'batch',
        'cpu_millicores': 1_000,
        'memory_mb': 512,
        'expected_run_ms': 100,
        **fields,
    }
    headers = {
        f'Dandeliondrum-{name.replace("_", "-").title()}': str(value)
        for name, value in values.items()
    }
    if key:
        headers['Authorization'] = f'Bearer {key}'
    return headers
