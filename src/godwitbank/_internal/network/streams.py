"""Streams of frames over TCP.

Each stream has its own protocol object. Everything it reads is delivered as an
event to its owner's inbox, and only its owner writes to it.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable
from typing import NamedTuple, cast

from godwitbank._internal.core.events import (
    MessageDropped,
    Received,
    StreamClosed,
    StreamOpened,
)
from godwitbank._internal.exceptions import FrameError, MessageError
from godwitbank._internal.models.messages import Hello, Message, Welcome
from godwitbank._internal.network.codec import FrameReader, encode

_logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest wait for a TCP connection."""

GREETING_TIMEOUT_SECONDS = 2.0
"""Longest wait for the peer's ``Hello`` or ``Welcome``."""


class StreamCallbacks(NamedTuple):
    """Callbacks through which a stream reports to its owner.

    :param deliver: puts an event into the owner's inbox.
    :param add_count: increments the named counter for a reason.
    """

    deliver: Callable[[object], None]
    add_count: Callable[[str, str], None]


class FrameStream(asyncio.Protocol):
    """One TCP stream of frames."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        callbacks: StreamCallbacks,
        greeting: Hello | None = None,
        address: str = "",
    ) -> None:
        self.number = next(self._numbers)
        self._callbacks = callbacks
        self._own_greeting = greeting
        self._address = address
        self._reader = FrameReader()
        self._greeted = False
        self._closed = False
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self.on_connected: Callable[[FrameStream], None] = lambda stream: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the greeting, if any, and start the timeout for the peer's greeting."""
        # Other event loops have transport classes of their own.
        self._transport = cast(asyncio.Transport, transport)
        self.on_connected(self)
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(
            GREETING_TIMEOUT_SECONDS, self._handle_greeting_timeout
        )
        if self._own_greeting is not None:
            self.write([self._own_greeting])

    def data_received(self, data: bytes) -> None:
        """Deliver every complete frame; close on the first invalid one."""
        if self._closed:
            return
        try:
            for message in self._reader.feed(data):
                self._handle_message(message)
                if self._closed:
                    return
        except FrameError as error:
            # The peer isn't a godwitbank process, or bytes were lost in transit.
            # Nothing after that can be trusted, so this stream is closed, and no
            # other one.
            self._callbacks.add_count("streams_closed", "bad_frame")
            self._callbacks.add_count("bad_frames", type(error.__cause__).__name__)
            self.close()

    def _handle_message(self, message: Message) -> None:
        if self._greeted:
            self._callbacks.add_count("frames_heard", type(message).__name__)
            self._callbacks.deliver(Received(self.number, message))
            return
        if not isinstance(message, Hello | Welcome):
            self._callbacks.add_count("streams_closed", "no_greeting")
            self.close()
            return
        self._greeted = True
        if self._timeout is not None:
            self._timeout.cancel()
        self._callbacks.deliver(StreamOpened(self.number, message, self._address))

    def _handle_greeting_timeout(self) -> None:
        if not self._greeted:
            self._callbacks.add_count("streams_closed", "no_greeting")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection to the owner."""
        del exc
        self._finish()

    def _finish(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        if not self._closed:
            self._closed = True
            if self._greeted:
                self._callbacks.deliver(StreamClosed(self.number))
            elif self._address:
                self._callbacks.deliver(StreamClosed(0, self._address))

    def write(self, messages: list[Message]) -> None:
        """Write messages with a single write to the transport."""
        if self._transport is not None and not self._transport.is_closing():
            frames = [self._encode(message) for message in messages]
            self._transport.write(b"".join(frames))

    def _encode(self, message: Message) -> bytes:
        """Encode a message; one that can't be encoded costs no other its frame."""
        name = type(message).__name__
        try:
            frame = encode(message)
        except MessageError as error:
            _logger.error("dropped %s: %s", name, error.context)
            self._callbacks.add_count("messages_dropped", name)
            dropped = MessageDropped(self.number, message, error.context)
            self._callbacks.deliver(dropped)
            return b""
        self._callbacks.add_count("frames_sent", name)
        return frame

    def close(self) -> None:
        """Close as soon as pending writes are flushed."""
        if self._transport is not None:
            self._transport.close()
        self._finish()

    def abort(self) -> None:
        """Close without flushing, as the peer may never read again."""
        if self._transport is not None:
            self._transport.abort()
        self._finish()


class StreamTable:
    """The open streams of one process."""

    def __init__(self, callbacks: StreamCallbacks, greeting: Hello) -> None:
        self._callbacks = callbacks
        self._greeting = greeting
        self._streams: dict[int, FrameStream] = {}
        self._dial_tasks: set[asyncio.Task[None]] = set()

    def make_accepted_stream(self) -> FrameStream:
        """Make the protocol object for an accepted connection."""
        stream = FrameStream(self._callbacks)
        stream.on_connected = self._register
        return stream

    def _register(self, stream: FrameStream) -> None:
        self._streams[stream.number] = stream

    def dial(self, address: str) -> None:
        """Open a stream in the background; a failure is delivered as an event."""
        task = asyncio.create_task(self._dial(address))
        self._dial_tasks.add(task)
        task.add_done_callback(self._dial_tasks.discard)

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def make_stream() -> FrameStream:
            stream = FrameStream(self._callbacks, self._greeting, address)
            stream.on_connected = self._register
            return stream

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(make_stream, host, int(port))
        except (OSError, TimeoutError, ValueError):
            # ValueError: no name that a resolver takes, or no port.
            self._callbacks.deliver(StreamClosed(0, address))

    def write(self, stream: int, messages: list[Message]) -> None:
        """Write messages to a stream, if it is still open."""
        open_stream = self._streams.get(stream)
        if open_stream is not None:
            open_stream.write(messages)

    def close(self, stream: int, timed_out: bool) -> None:
        """Close a stream; one that timed out is closed without flushing."""
        open_stream = self._streams.pop(stream, None)
        if open_stream is None:
            return
        if timed_out:
            open_stream.abort()
        else:
            open_stream.close()

    def remove(self, stream: int) -> None:
        """Remove a stream that has ended."""
        self._streams.pop(stream, None)

    def close_all(self) -> None:
        """Close every stream."""
        for stream in list(self._streams):
            self.close(stream, timed_out=False)
        for task in self._dial_tasks:
            task.cancel()
