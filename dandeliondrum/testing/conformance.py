"""The conformance test for workers, as a command.

Start the command, configure its address as the only gateway of the worker and
start the worker::

    python -m dandeliondrum.testing.conformance 127.0.0.1:7300
"""

import dataclasses
import json
import sys

import fire

from dandeliondrum.testing import _conformance
from dandeliondrum.testing import _fake_gateway
from dandeliondrum.testing import _subject

DEFAULT_ADDRESS = '127.0.0.1:7300'
DEFAULT_TIMEOUT_MS = 60_000


def check(
    address: str = DEFAULT_ADDRESS,
    quick_body: str = _subject.Bodies.quick.decode(),
    long_body: str = _subject.Bodies.long.decode(),
    announce_timeout_ms: int = DEFAULT_TIMEOUT_MS,
    json_lines: bool = False,
) -> None:
    """Wait for a worker to announce itself and check its behaviour.

    Exits with 0 when the worker conforms and with 1 otherwise.

    :param address: host:port to listen on as the only gateway of the worker.
    :param quick_body: body of a task that ends by itself within a second.
    :param long_body: body of a task that runs for a minute or more.
    :param announce_timeout_ms: how long to wait for the announcement.
    :param json_lines: print one JSON object per check instead of text.
    """
    bodies = _subject.Bodies(_text(quick_body), _text(long_body))
    failed_count = 0
    with _fake_gateway.FakeGateway(address) as gateway:
        for result in _conformance.check_worker(
            gateway, bodies, announce_timeout_ms
        ):
            failed_count += not result.passed
            print(_line(result, json_lines), flush=True)
    if failed_count:
        sys.exit(1)


def _text(body: object) -> bytes:
    # fire parses arguments that look like Python or JSON literals.
    return (body if isinstance(body, str) else json.dumps(body)).encode()


def _line(result: _conformance.CheckResult, json_lines: bool) -> str:
    if json_lines:
        return json.dumps(dataclasses.asdict(result))
    verdict = 'ok' if result.passed else 'FAILED'
    name = result.name.replace('_', ' ')
    return f'{verdict:7}{name}' + (f': {result.detail}' * bool(result.detail))


if __name__ == '__main__':
    fire.Fire(check)
