"""Decoding of JSON that other systems have written."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

__all__ = ["Integer", "Natural", "decode_json"]

#: Largest integer that every implementation of JSON represents exactly. Larger ones
#: neither fit into stored records nor into floating-point arithmetic.
MAX_INTEGER = 2**53 - 1

Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Natural = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]

T = TypeVar("T")


def decode_json(decoder: "msgspec.json.Decoder[T]", data: bytes) -> Result[T, str]:
    """Decode a message, whatever its bytes are.

    :return: the message, or why it can't be decoded.
    """
    try:
        return Ok(decoder.decode(data))
    except RecursionError:
        return Err("nested too deeply")
    except (msgspec.MsgspecError, ValueError, OverflowError) as exc:
        return Err(str(exc))
