"""Client of the adviser that makes one call at a time."""

import concurrent.futures
import typing

import structlog

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _port

_logger = structlog.get_logger()


class AdviserClient:
    """Queues the requests of this process to the adviser.

    Example::

        client = AdviserClient(port)
        reply = client.ask(AdviceRequest('5c0e7a21.0.1', ('w1',))).result()
        client.close()
    """

    def __init__(self, port: _port.AdviserPort) -> None:
        self._port = port
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='adviser-client'
        )

    def ask(
        self, request: _calls.AdviceRequest
    ) -> 'concurrent.futures.Future[typing.Any]':
        """Queue a request; return a future of an AdviceReply."""
        return self._executor.submit(self._ask, request)

    def close(self) -> None:
        """Drop queued requests; a running call ends by its timeout."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _ask(self, request: _calls.AdviceRequest) -> _calls.AdviceReply:
        reply = self._port.ask(request.step, request.worker_ids)
        if reply.problem:
            _logger.warning(
                'adviser did not answer',
                step=request.step,
                workers_count=len(request.worker_ids),
                why=reply.problem,
            )
        return reply
