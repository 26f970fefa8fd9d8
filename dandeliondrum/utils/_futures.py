"""Small compositions of futures from :mod:`concurrent.futures`."""

import collections.abc
import concurrent.futures
import threading
import typing

Value = typing.TypeVar('Value')
Other = typing.TypeVar('Other')


def resolved(value: Value) -> 'concurrent.futures.Future[Value]':
    """Return a future that has its result already."""
    future: concurrent.futures.Future[Value] = concurrent.futures.Future()
    future.set_result(value)
    return future


def then(
    future: 'concurrent.futures.Future[Value]',
    function: collections.abc.Callable[[Value], Other],
) -> 'concurrent.futures.Future[Other]':
    """Return a future of the function's value for the future's result."""
    outcome: concurrent.futures.Future[Other] = concurrent.futures.Future()

    def finish(done: 'concurrent.futures.Future[Value]') -> None:
        try:
            outcome.set_result(function(done.result()))
        except Exception as error:
            outcome.set_exception(error)

    future.add_done_callback(finish)
    return outcome


def gather(
    futures: collections.abc.Sequence['concurrent.futures.Future[Value]'],
) -> 'concurrent.futures.Future[list[Value]]':
    """Return a future of all results, in the order of the futures."""
    outcome: concurrent.futures.Future[list[Value]] = (
        concurrent.futures.Future()
    )
    left = len(futures)
    lock = threading.Lock()
    if not futures:
        outcome.set_result([])
        return outcome

    def finish(_: 'concurrent.futures.Future[Value]') -> None:
        nonlocal left
        with lock:
            left -= 1
            complete = left == 0
        if not complete:
            return
        try:
            outcome.set_result([future.result() for future in futures])
        except Exception as error:
            outcome.set_exception(error)

    for future in futures:
        future.add_done_callback(finish)
    return outcome
