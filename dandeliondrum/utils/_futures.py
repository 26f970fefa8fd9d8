"""Helpers that compose futures of :mod:`concurrent.futures`."""

import collections.abc
import concurrent.futures
import threading
import typing

import structlog

_logger = structlog.get_logger()

Value = typing.TypeVar('Value')
Mapped = typing.TypeVar('Mapped')


def completed_future(value: Value) -> 'concurrent.futures.Future[Value]':
    """Return a future that already has this result."""
    future: concurrent.futures.Future[Value] = concurrent.futures.Future()
    future.set_result(value)
    return future


def log_failure(
    future: 'concurrent.futures.Future[typing.Any]', event: str
) -> None:
    """Log the exception of a future whose result nobody reads, as ``event``.

    The line is an error with the traceback.
    """

    def log(done: 'concurrent.futures.Future[typing.Any]') -> None:
        error = None if done.cancelled() else done.exception()
        if error is not None:
            _logger.error(event, exc_info=error)

    future.add_done_callback(log)


def map_future(
    future: 'concurrent.futures.Future[Value]',
    function: collections.abc.Callable[[Value], Mapped],
) -> 'concurrent.futures.Future[Mapped]':
    """Return a future of ``function`` applied to the result of ``future``.

    An exception of either one becomes the exception of the new future.
    """
    outcome: concurrent.futures.Future[Mapped] = concurrent.futures.Future()

    def finish(done: 'concurrent.futures.Future[Value]') -> None:
        try:
            outcome.set_result(function(done.result()))
        except Exception as error:
            outcome.set_exception(error)

    future.add_done_callback(finish)
    return outcome


def chain_future(
    future: 'concurrent.futures.Future[Value]',
    function: collections.abc.Callable[
        [Value], 'Mapped | concurrent.futures.Future[Mapped]'
    ],
) -> 'concurrent.futures.Future[Mapped]':
    """Return a future of what ``function`` returns, also if that is a future.

    An exception of any of them becomes the exception of the new future.
    """
    outcome: concurrent.futures.Future[Mapped] = concurrent.futures.Future()

    def copy(done: 'concurrent.futures.Future[Mapped]') -> None:
        try:
            outcome.set_result(done.result())
        except Exception as error:
            outcome.set_exception(error)

    def finish(done: 'concurrent.futures.Future[Value]') -> None:
        try:
            value = function(done.result())
        except Exception as error:
            outcome.set_exception(error)
            return
        if isinstance(value, concurrent.futures.Future):
            value.add_done_callback(copy)
        else:
            outcome.set_result(value)

    future.add_done_callback(finish)
    return outcome


def gather(
    futures: collections.abc.Sequence['concurrent.futures.Future[Value]'],
) -> 'concurrent.futures.Future[list[Value]]':
    """Return a future of the list of all results, in order.

    It completes once all futures have; if some fail, its exception is that
    of the first failed one in the list.
    """
    outcome: concurrent.futures.Future[list[Value]] = (
        concurrent.futures.Future()
    )
    pending_count = len(futures)
    lock = threading.Lock()
    if not futures:
        outcome.set_result([])
        return outcome

    def finish(_: 'concurrent.futures.Future[Value]') -> None:
        nonlocal pending_count
        with lock:
            pending_count -= 1
            complete = pending_count == 0
        if not complete:
            return
        try:
            outcome.set_result([future.result() for future in futures])
        except Exception as error:
            outcome.set_exception(error)

    for future in futures:
        future.add_done_callback(finish)
    return outcome
