"""How a component opens a resource that may not be available yet."""

import collections.abc
import typing

# Gets the name of a resource and the function that opens it.
Retry = collections.abc.Callable[
    [str, collections.abc.Callable[[], typing.Any]], typing.Any
]


def call_once(
    _resource: str, action: collections.abc.Callable[[], typing.Any]
) -> typing.Any:
    """Open a resource without another attempt after a failure."""
    return action()
