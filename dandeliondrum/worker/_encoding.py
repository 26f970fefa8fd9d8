"""JSON encoding of the messages between workers and gateways.

JSON members have the names of the data class fields. Bytes are encoded as
base64 text, enums as their values and tuples as arrays. Unknown members are
ignored, so that either side may run a newer version.
"""

import base64
import dataclasses
import enum
import functools
import json
import typing

import cattrs
from cattrs import gen
from returns import result

Value = typing.TypeVar('Value')


def to_json(value: object) -> bytes:
    """Encode a data class instance as JSON."""
    return json.dumps(
        _converter().unstructure(value), separators=(',', ':')
    ).encode()


def from_json(
    data: bytes | str, kind: type[Value]
) -> result.Result[Value, str]:
    """Decode JSON into an instance of ``kind``, or return the error."""
    try:
        return result.Success(_converter().structure(json.loads(data), kind))
    except Exception as error:
        return result.Failure(f'{type(error).__name__}: {error}')


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode()
    )
    converter.register_structure_hook(
        bytes, lambda value, _: base64.b64decode(value, validate=True)
    )
    for kind in (int, str, bool):
        converter.register_structure_hook(kind, _check_type)
    converter.register_structure_hook(float, _check_float)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        lambda value, kind: kind(value),
    )
    converter.register_unstructure_hook_factory(
        dataclasses.is_dataclass,
        lambda cls: gen.make_dict_unstructure_fn(
            cls, converter, _cattrs_omit_if_default=True
        ),
    )
    return converter


def _check_type(value: object, kind: type) -> object:
    if type(value) is not kind:
        raise TypeError(f'{kind.__name__} expected, found {value!r:.80}')
    return value


def _check_float(value: object, _kind: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f'number expected, found {value!r:.80}')
    return float(value)
