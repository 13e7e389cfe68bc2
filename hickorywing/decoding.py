"""Decode data that other processes have written.

Data that nests too deeply or holds a number that is too large makes the
decoders raise errors of other families than for data of a wrong type. All of
them become a ``DecodingError`` here, so that each border has one error to
handle:

    try:
        row = decode_msgpack(value, AgentRow)
    except DecodingError as error:
        ...
"""

from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec

from hickorywing.errors import HickorywingError

__all__ = [
    "Count",
    "DecodingError",
    "Number",
    "convert",
    "decode_json",
    "decode_msgpack",
]

# Beyond this value, JSON programs that use floating-point numbers lose digits.
MAX_COUNT = 2**53
MAX_NUMBER = 1e15

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A whole number that isn't negative, such as a size or a time in ms."""

Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
"""A finite number; calculations with it stay finite."""

ValueT = TypeVar("ValueT")

DECODER_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    OverflowError,
)


class DecodingError(HickorywingError):
    """Raised for data that can't be decoded as what it should be."""


def decode_json(data: bytes | str, type_: type[ValueT] = Any) -> ValueT:
    """Decode JSON as a type; raise ``DecodingError``."""
    return _decode(msgspec.json.decode, data, type_)


def decode_msgpack(data: bytes, type_: type[ValueT] = Any) -> ValueT:
    """Decode MessagePack as a type; raise ``DecodingError``."""
    return _decode(msgspec.msgpack.decode, data, type_)


def convert(value: Any, type_: type[ValueT]) -> ValueT:
    """Convert decoded data to a type; raise ``DecodingError``."""
    return _decode(msgspec.convert, value, type_)


def _decode(
    decode: Callable[..., ValueT], data: Any, type_: type[ValueT]
) -> ValueT:
    try:
        return decode(data, type=type_)
    except DECODER_ERRORS as error:
        raise DecodingError(f"{type(error).__name__}: {error}") from error
