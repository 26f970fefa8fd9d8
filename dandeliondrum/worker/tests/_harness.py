"""Helpers that run one worker with a fake gateway."""

import contextlib
import json

from dandeliondrum import messages
from dandeliondrum import testing
from dandeliondrum import worker

TIMEOUT_MS = 10_000
RESOURCES = messages.Resources(16_000, 32_768)


class Harness:
    """One worker, its fake gateway and a client for its HTTP calls."""

    def __init__(self, subject, gateway):
        self.worker = subject
        self.gateway = gateway
        self.client = testing.WorkerClient(subject.address)
        self._token = 0

    def start(self, attempt_id='team/r1#1', **fields):
        """Start an attempt; ``fields`` override the defaults.

        The default token is higher with each start.
        """
        self._token += 1
        body = fields.pop('body', {})
        return self.client.start(
            testing.Start(
                attempt_id=attempt_id,
                task_id=fields.pop('task_id', attempt_id.partition('#')[0]),
                token=fields.pop('token', self._token),
                incarnation=fields.pop('incarnation', self.worker.incarnation),
                body=body
                if isinstance(body, bytes)
                else json.dumps(body).encode(),
                **fields,
            )
        )

    def events(self, kind):
        """Return the events of one kind from the journal."""
        return [each for each in self.worker.events() if each.kind is kind]

    def wait_for_event(self, kind, count=1):
        """Wait for ``count`` events of a kind; return the last of them."""
        assert testing.wait_for(
            lambda: len(self.events(kind)) >= count, TIMEOUT_MS
        ), f'no {kind} in {self.worker.events()}'
        return self.events(kind)[-1]


def options(*gateways, **fields):
    """Return options of a worker with two slots."""
    defaults = {
        'worker_id': messages.WorkerId('w1'),
        'address': '127.0.0.1:0',
        'region': messages.Region('gulf'),
        'failure_domain': messages.FailureDomain('sattahip'),
        'rack': messages.Rack('r1'),
        'resources': RESOURCES,
        'slots_count': 2,
        'heartbeat_ms': 50,
        'gateways': tuple(gateways),
    }
    return worker.Options(**{**defaults, **fields})


@contextlib.contextmanager
def running(**fields):
    """Run a worker and yield once it has announced itself."""
    with testing.FakeGateway() as gateway:
        subject = worker.Worker(options(gateway.url, **fields))
        subject.start().unwrap()
        with contextlib.closing(subject):
            harness = Harness(subject, gateway)
            harness.wait_for_event(worker.EventKind.ANNOUNCED)
            yield harness
