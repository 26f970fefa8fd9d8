"""The client of the adviser while its port fails or after its end."""

import concurrent.futures
import threading

import pytest

from dandeliondrum import jobs
from dandeliondrum.jobs import _adviser_client
from dandeliondrum.jobs import _calls
from dandeliondrum import messages

REQUEST = _calls.AdviceRequest('j.0.0', (messages.WorkerId('w1'),))


class Port:
    """Adviser whose calls wait for ``answering``, then reply or raise."""

    def __init__(self, error=None):
        self.answering = threading.Event()
        self._error = error

    def ask(self, _step, _worker_ids):
        self.answering.wait(10)
        if self._error is not None:
            raise self._error
        return jobs.AdviceReply((), 1_500)


def test_a_port_that_raises_is_a_reply_with_a_problem():
    port = Port(ValueError('broken'))
    port.answering.set()
    client = _adviser_client.AdviserClient(port)
    assert 'broken' in client.ask(REQUEST).result(5).problem
    client.close()


def test_a_request_after_the_end_of_the_client_is_answered():
    client = _adviser_client.AdviserClient(Port())
    client.close()
    assert client.ask(REQUEST).result(5).problem


def test_a_request_that_was_queued_at_the_end_of_the_client_is_cancelled():
    port = Port()
    client = _adviser_client.AdviserClient(port)
    running, queued = client.ask(REQUEST), client.ask(REQUEST)
    client.close()
    with pytest.raises(concurrent.futures.CancelledError):
        queued.result(5)
    port.answering.set()
    assert not running.result(5).problem
