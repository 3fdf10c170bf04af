"""Messages to bytes and back, with a length in front of each frame."""

import struct
from collections.abc import Iterator
from typing import Any

import msgpack

from godwitbank._internal.exceptions import FrameError
from godwitbank._internal.models.messages import REGISTRY, Message
from godwitbank._internal.models.tasks import TaskKey

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Bytes of the longest frame; a longer length field is garbage."""

_LENGTH = struct.Struct(">I")
_CODES: dict[type, int] = {kind: code for code, kind in enumerate(REGISTRY)}
_pack = msgpack.Packer(use_bin_type=True).pack


def _checks_of(kind: type) -> tuple[Any, ...]:
    known: dict[Any, Any] = {
        TaskKey: list,
        float: (float, int),
    }
    hints = kind.__annotations__.values()
    return tuple(known.get(hint, getattr(hint, "__origin__", hint)) for hint in hints)


_CHECKS = tuple(_checks_of(kind) for kind in REGISTRY)
_KEYED = tuple("key" in kind.__annotations__ for kind in REGISTRY)


def encode(message: Message) -> bytes:
    """Encode one message as a frame."""
    body: bytes = _pack((_CODES[type(message)], *message))
    return _LENGTH.pack(len(body)) + body


def decode(body: bytes) -> Message:
    """Decode the body of one frame.

    :raises FrameError: when it is not a message of this version.
    """
    try:
        fields = msgpack.unpackb(body, use_list=True)
        code = fields.pop(0)
        kind = REGISTRY[code]
        checks = _CHECKS[code]
        if len(fields) != len(checks) or code < 0:
            raise TypeError("wrong number of fields")
        for value, check in zip(fields, checks, strict=True):
            if not isinstance(value, check):
                raise TypeError(f"{value!r:.40} in a field of {kind.__name__}")
        if _KEYED[code]:
            submission, index, attempt = fields[0]
            fields[0] = TaskKey(str(submission), int(index), int(attempt))
        return kind(*fields)
    except Exception as error:
        # msgpack raises a dozen kinds of error on garbage, some of them bare
        # ValueError; whatever it is, the stream can't be trusted after it.
        raise FrameError(
            "bytes are not a frame",
            context=f"{type(error).__name__}: {error}",
            remedy="connect a godwitbank process of the same protocol version",
        ) from error


class FrameReader:
    """Cuts a stream of bytes into messages.

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

        :raises FrameError: on a length out of bounds or an undecodable body.
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
