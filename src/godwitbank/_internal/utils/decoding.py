"""Decoding of JSON from untrusted sources."""

from typing import TypeVar

import msgspec

T = TypeVar("T")


def decode_json(decoder: msgspec.json.Decoder[T], body: bytes | msgspec.Raw) -> T:
    """Decode a body of any nesting depth.

    :raises msgspec.DecodeError: if it isn't what the decoder expects or is nested
        too deeply.
    """
    try:
        return decoder.decode(body)
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None
