"""Keeps words of the command line as they were typed.

The library reads each word as a Python literal where it can, so that a key
id such as ``12345678e1234567`` would become a float. Words that would change
are quoted before the library sees them, and each function gets its arguments
in the types that it declares.
"""

import collections.abc
import functools
import inspect
import typing

from fire import core
from fire import parser

SWITCHES = frozenset({'--json', '-j'})

_SEPARATOR = '-'
_WHOLE_WORDS = ('True', 'False')

Function = typing.TypeVar(
    'Function', bound=collections.abc.Callable[..., typing.Any]
)


def prepared(words: collections.abc.Iterable[str]) -> list[str]:
    """Return the words in a form in which the library leaves them alone.

    A switch, which has no value, gets one, so that it does not take the next
    word for its value.
    """
    return [_prepared(word) for word in words]


def _prepared(word: str) -> str:
    if word in SWITCHES:
        return f'{word}=True'
    if word.startswith('--') and '=' in word:
        name, _, value = word.partition('=')
        return f'{name}={_quoted(value)}'
    if word == _SEPARATOR or word.startswith('--'):
        return word
    return _quoted(word)


def _quoted(word: str) -> str:
    read = parser.DefaultParseValue(word)
    if type(read) is str and read == word:
        return word
    if word in _WHOLE_WORDS or (type(read) is int and str(read) == word):
        return word
    return repr(word)


def typed(function: Function) -> Function:
    """Give a function of the command line the types that it declares.

    A value that does not fit its declaration is a usage error.
    """
    signature = inspect.signature(function)

    @functools.wraps(function)
    def checked(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        bound = signature.bind(*args, **kwargs)
        for name, value in bound.arguments.items():
            parameter = signature.parameters[name]
            if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
                bound.arguments[name] = tuple(map(str, value))
            else:
                bound.arguments[name] = _converted(parameter, value)
        return function(*bound.args, **bound.kwargs)

    return typing.cast(Function, checked)


def _converted(parameter: inspect.Parameter, value: typing.Any) -> typing.Any:
    if parameter.annotation is str:
        return str(value)
    if parameter.annotation in (int, bool):
        if type(value) is not parameter.annotation:
            wanted = 'a whole number'
            if parameter.annotation is bool:
                wanted = 'True or False'
            raise core.FireError(
                f'--{parameter.name} takes {wanted}, found {value!r}'
            )
    return value
