"""Encoding of messages as length-prefixed frames, and decoding."""

import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from godwitbank._internal.exceptions import FrameError, MessageError
from godwitbank._internal.models.messages import REGISTRY, Message
from godwitbank._internal.models.tasks import TaskKey

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Longest frame; a larger length field means that the bytes are not a frame."""

_LENGTH = struct.Struct(">I")
_CODES: dict[type, int] = {
    message_type: code for code, message_type in enumerate(REGISTRY)
}
_pack = msgpack.Packer(use_bin_type=True).pack


def _list_field_types(message_type: type) -> tuple[Any, ...]:
    replacements: dict[Any, Any] = {
        TaskKey: list,
        float: (float, int),
    }
    annotations = message_type.__annotations__.values()
    return tuple(
        replacements.get(annotation, getattr(annotation, "__origin__", annotation))
        for annotation in annotations
    )


_FIELD_TYPES = tuple(_list_field_types(message_type) for message_type in REGISTRY)
_HAS_TASK_KEY = tuple(
    "key" in message_type.__annotations__ for message_type in REGISTRY
)


def encode(message: Message) -> bytes:
    """Encode one message as a frame.

    :raises MessageError: if a value can't be encoded, or the frame would be too long.
    """
    try:
        body: bytes = _pack((_CODES[type(message)], *message))
    except (OverflowError, TypeError, ValueError) as error:
        raise MessageError(
            "a message can't be encoded",
            context=f"{type(message).__name__}: {error}",
            remedy="bound the value where it is decoded",
        ) from error
    if len(body) > MAX_FRAME_BYTES:
        raise MessageError(
            "a message is too long for a frame",
            context=f"{type(message).__name__}: {len(body)} bytes",
            remedy="bound the value where it is decoded",
        )
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Message:
    """Decode the body of one frame.

    :raises FrameError: if it is not a message of this protocol version.
    """
    try:
        fields = msgpack.unpackb(body, use_list=True)
        code = fields.pop(0)
        message_type = REGISTRY[code]
        field_types = _FIELD_TYPES[code]
        if len(fields) != len(field_types) or code < 0:
            raise TypeError("wrong number of fields")
        for value, field_type in zip(fields, field_types, strict=True):
            if not isinstance(value, field_type):
                raise TypeError(
                    f"{value!r:.40} is invalid in a field of {message_type.__name__}"
                )
        if _HAS_TASK_KEY[code]:
            submission, position, attempt = fields[0]
            fields[0] = TaskKey(str(submission), int(position), int(attempt))
        return message_type(*fields)
    except Exception as error:
        # msgpack raises a dozen exception types on invalid input, some of them
        # plain ValueError. After any of them the stream can't be trusted.
        raise FrameError(
            "bytes are not a frame",
            context=f"{type(error).__name__}: {error}",
            remedy="connect a godwitbank process of the same protocol version",
        ) from error


class FrameReader:
    """Splits a stream of bytes into messages.

    >>> from godwitbank._internal.models.messages import Goodbye
    >>> reader = FrameReader()
    >>> frame = encode(Goodbye("done"))
    >>> list(reader.feed(frame[:3]))
    []
    >>> list(reader.feed(frame[3:]))
    [Goodbye(reason='done')]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield each message completed by ``data``.

        :raises FrameError: if a length is out of bounds or a body can't be decoded.
        """
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(self._buffer, start)
                if length > MAX_FRAME_BYTES:
                    raise FrameError(
                        "a frame is too long",
                        context=f"{length} bytes",
                        remedy="connect a godwitbank process",
                    )
                end = start + _LENGTH.size + length
                if len(self._buffer) < end:
                    break
                body = bytes(self._buffer[start + _LENGTH.size : end])
                start = end
                yield decode(body)
        finally:
            del self._buffer[:start]
