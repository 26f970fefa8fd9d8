"""Preserves command-line arguments as they were typed.

Fire parses each argument as a Python literal where it can, so a key id such
as ``12345678e1234567`` would become a float. Arguments that would change are
quoted before Fire parses them, and each command function receives its
arguments in the types that it declares.
"""

import collections.abc
import functools
import inspect
import typing

from fire import core
from fire import parser

BOOLEAN_FLAGS = frozenset({'--json', '-j'})

_SEPARATOR = '-'
_BOOLEAN_LITERALS = ('True', 'False')

Function = typing.TypeVar(
    'Function', bound=collections.abc.Callable[..., typing.Any]
)


def quote_arguments(words: collections.abc.Iterable[str]) -> list[str]:
    """Return the arguments in a form that Fire leaves unchanged.

    A boolean flag gets an explicit value, because Fire would otherwise take
    the next argument as its value.
    """
    return [_quote_argument(word) for word in words]


def _quote_argument(word: str) -> str:
    if word in BOOLEAN_FLAGS:
        return f'{word}=True'
    if word.startswith('--') and '=' in word:
        name, _, value = word.partition('=')
        return f'{name}={_quote_value(value)}'
    if word == _SEPARATOR or word.startswith('--'):
        return word
    return _quote_value(word)


def _quote_value(word: str) -> str:
    parsed = parser.DefaultParseValue(word)
    if type(parsed) is str and parsed == word:
        return word
    if word in _BOOLEAN_LITERALS or (
        type(parsed) is int and str(parsed) == word
    ):
        return word
    return repr(word)


def convert_arguments(function: Function) -> Function:
    """Wrap a command function to convert arguments to their declared types.

    A value that doesn't match its declared type is a usage error.
    """
    signature = inspect.signature(function)

    @functools.wraps(function)
    def wrapper(*args: typing.Any, **kwargs: typing.Any) -> typing.Any:
        bound = signature.bind(*args, **kwargs)
        for name, value in bound.arguments.items():
            parameter = signature.parameters[name]
            if parameter.kind is inspect.Parameter.VAR_POSITIONAL:
                bound.arguments[name] = tuple(map(str, value))
            else:
                bound.arguments[name] = _convert(parameter, value)
        return function(*bound.args, **bound.kwargs)

    return typing.cast(Function, wrapper)


def _convert(parameter: inspect.Parameter, value: typing.Any) -> typing.Any:
    if parameter.annotation is str:
        return str(value)
    if parameter.annotation in (int, bool):
        if type(value) is not parameter.annotation:
            expected = 'a whole number'
            if parameter.annotation is bool:
                expected = 'True or False'
            raise core.FireError(
                f'--{parameter.name} takes {expected}, found {value!r}'
            )
    return value
