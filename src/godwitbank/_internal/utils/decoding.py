"""Decoding of JSON and numbers from untrusted sources."""

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


MAX_DIGITS = 15
"""Digits of the longest number in a text; all floats keep one of so many exact."""


def parse_whole_number(text: str) -> int | None:
    """Parse a whole number of decimal digits, or return ``None`` if it is none.

    >>> parse_whole_number("0150")
    150
    >>> parse_whole_number("9" * 16), parse_whole_number("\u00b2")
    (None, None)
    """
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_DIGITS:
        return None
    return int(text)
