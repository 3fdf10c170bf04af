"""Streams of frames over TCP.

Each stream belongs to one protocol object; everything it reads becomes an event
in its owner's inbox, and only its owner writes to it.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple, cast

from godwitbank._internal.core.events import Received, StreamClosed, StreamOpened
from godwitbank._internal.exceptions import FrameError
from godwitbank._internal.models.messages import Hello, Message, Welcome
from godwitbank._internal.network.codec import FrameReader, encode

CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest wait for a TCP connection."""

GREETING_TIMEOUT_SECONDS = 2.0
"""Longest wait for the other side to introduce itself."""


class StreamCallbacks(NamedTuple):
    """Where a stream delivers what happens to it.

    :param deliver: puts an event into the owner's inbox.
    :param add_count: counts a named occurrence with a reason.
    """

    deliver: Callable[[object], None]
    add_count: Callable[[str, str], None]


class FrameStream(asyncio.Protocol):
    """One TCP stream of frames."""

    _numbers = itertools.count(1)

    def __init__(
        self, events: StreamCallbacks, greeting: Hello | None = None, address: str = ""
    ) -> None:
        self.number = next(self._numbers)
        self._events = events
        self._own_greeting = greeting
        self._address = address
        self._reader = FrameReader()
        self._greeted = False
        self._closed = False
        self._transport: asyncio.Transport | None = None
        self._timeout: asyncio.TimerHandle | None = None
        self.on_connected: Callable[[FrameStream], None] = lambda stream: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Greet, and wait a bounded time to be greeted."""
        # Loops of other libraries have transports of their own classes.
        self._transport = cast(asyncio.Transport, transport)
        self.on_connected(self)
        loop = asyncio.get_running_loop()
        self._timeout = loop.call_later(
            GREETING_TIMEOUT_SECONDS, self._give_up_greeting
        )
        if self._own_greeting is not None:
            self.write([self._own_greeting])

    def data_received(self, data: bytes) -> None:
        """Deliver every complete frame; close on the first bad one."""
        if self._closed:
            return
        try:
            for message in self._reader.feed(data):
                self._take(message)
                if self._closed:
                    return
        except FrameError as error:
            # Whoever sent this is no godwitbank process, or bytes were lost on
            # the way; nothing after it can be trusted, so only this stream ends.
            self._events.add_count("streams_closed", "bad_frame")
            self._events.add_count("bad_frames", type(error.__cause__).__name__)
            self.close()

    def _take(self, message: Message) -> None:
        if self._greeted:
            self._events.add_count("frames_heard", type(message).__name__)
            self._events.deliver(Received(self.number, message))
            return
        if not isinstance(message, Hello | Welcome):
            self._events.add_count("streams_closed", "no_greeting")
            self.close()
            return
        self._greeted = True
        if self._timeout is not None:
            self._timeout.cancel()
        self._events.deliver(StreamOpened(self.number, message, self._address))

    def _give_up_greeting(self) -> None:
        if not self._greeted:
            self._events.add_count("streams_closed", "no_greeting")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the owner."""
        del exc
        self._finish()

    def _finish(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        if not self._closed:
            self._closed = True
            if self._greeted:
                self._events.deliver(StreamClosed(self.number))
            elif self._address:
                self._events.deliver(StreamClosed(0, self._address))

    def write(self, messages: list[Message]) -> None:
        """Write frames in one piece."""
        if self._transport is not None and not self._transport.is_closing():
            for message in messages:
                self._events.add_count("frames_sent", type(message).__name__)
            self._transport.write(b"".join([encode(each) for each in messages]))

    def close(self) -> None:
        """Close at once when nothing can be flushed, else after flushing."""
        if self._transport is not None:
            self._transport.close()
        self._finish()

    def abort(self) -> None:
        """Close without waiting for a peer that may never read again."""
        if self._transport is not None:
            self._transport.abort()
        self._finish()


class StreamTable:
    """The open streams of one process."""

    def __init__(self, events: StreamCallbacks, greeting: Hello) -> None:
        self._events = events
        self._greeting = greeting
        self._streams: dict[int, FrameStream] = {}
        self._dials: set[asyncio.Task[None]] = set()

    def make_accepted_stream(self) -> FrameStream:
        """Make the protocol of an accepted connection."""
        stream = FrameStream(self._events)
        stream.on_connected = self._register
        return stream

    def _register(self, stream: FrameStream) -> None:
        self._streams[stream.number] = stream

    def dial(self, address: str) -> None:
        """Open a stream in the background; failure arrives as an event."""
        task = asyncio.create_task(self._dial(address))
        self._dials.add(task)
        task.add_done_callback(self._dials.discard)

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def make() -> FrameStream:
            stream = FrameStream(self._events, self._greeting, address)
            stream.on_connected = self._register
            return stream

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                await loop.create_connection(make, host, int(port))
        except (OSError, TimeoutError):
            self._events.deliver(StreamClosed(0, address))

    def write(self, stream: int, messages: list[Message]) -> None:
        """Write frames to a stream, if it is still open."""
        found = self._streams.get(stream)
        if found is not None:
            found.write(messages)

    def close(self, stream: int, timed_out: bool) -> None:
        """Close a stream; one that fell silent is cut without flushing."""
        found = self._streams.pop(stream, None)
        if found is None:
            return
        if timed_out:
            found.abort()
        else:
            found.close()

    def remove(self, stream: int) -> None:
        """Drop a stream that has ended."""
        self._streams.pop(stream, None)

    def close_all(self) -> None:
        """Close every stream."""
        for stream in list(self._streams):
            self.close(stream, timed_out=False)
        for task in self._dials:
            task.cancel()
