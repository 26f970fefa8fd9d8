"""Client of the adviser that makes one call at a time."""

import concurrent.futures
import typing

import structlog

from dandeliondrum.jobs import _calls
from dandeliondrum.jobs import _port
from dandeliondrum import utils

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
        """Queue a request; return a future of an AdviceReply.

        A failure is a reply with a problem. The future is cancelled if the
        client is closed before the request is sent.
        """
        try:
            return self._executor.submit(self._ask, request)
        except RuntimeError as error:
            return utils.completed_future(self._failure(request, str(error)))

    def close(self) -> None:
        """Drop queued requests; a running call ends by its timeout."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _ask(self, request: _calls.AdviceRequest) -> _calls.AdviceReply:
        try:
            reply = self._port.ask(request.step, request.worker_ids)
        except Exception as error:
            _logger.exception('call of the adviser failed', step=request.step)
            return self._failure(request, repr(error))
        if reply.problem:
            return self._failure(request, reply.problem)
        return reply

    def _failure(
        self, request: _calls.AdviceRequest, problem: str
    ) -> _calls.AdviceReply:
        _logger.warning(
            'adviser did not answer',
            step=request.step,
            workers_count=len(request.worker_ids),
            why=problem,
        )
        return _calls.AdviceReply((), 0, problem)
