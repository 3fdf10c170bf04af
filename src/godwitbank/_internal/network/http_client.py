"""A small HTTP client for calls to the endpoint on the same VM and to the store.

An agent makes two calls per run. General-purpose clients spend most of their time on
features that such calls don't need (URLs, cookies, redirects, proxies, streaming), and
importing one takes half of a process's start time. ``httptools`` parses the responses;
connections, timeouts and the meaning of failures are handled here.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

CONNECT_TIMEOUT_SECONDS = 0.2
"""Longest wait for a connection; within the VM or to the store it takes some ms."""

UNRESPONSIVE_SECONDS = 0.25
"""Seconds without data from a server after which all its connections count as
unresponsive; a server that runs tasks sends data more often."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Longest response; a longer one counts as no answer."""


class Response(NamedTuple):
    """A response that was read completely."""

    status: int
    content: bytes


class UnreachableError(Exception):
    """No connection was made, so nothing was sent."""


class NoAnswerError(Exception):
    """The request was sent and may have been carried out."""


class _Connection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self, on_data: Callable[[], None]) -> None:
        self.usable = True
        self._on_data = on_data
        self._pending: asyncio.Future[Response] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Other event loops have transport classes of their own.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("closed" if exc is None else type(exc).__name__)

    def data_received(self, data: bytes) -> None:
        self._on_data()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(type(error).__name__)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the response body."""
        self._parts.append(body)
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self._fail("too long")

    def on_message_complete(self) -> None:
        """Complete the call with its response."""
        pending, self._pending = self._pending, None
        if pending is None or pending.done():
            # A response without a call: later responses could not be matched to
            # their calls any more.
            self._fail("unexpected answer")
            return
        status = self._parser.get_status_code()
        keeps_alive = self._parser.should_keep_alive()
        pending.set_result(Response(status, b"".join(self._parts)))
        self._parts = []
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)
        if not keeps_alive:
            self._fail("closed by its other end")

    def _fail(self, reason: str) -> None:
        self.usable = False
        if self._transport is not None:
            self._transport.abort()
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(NoAnswerError(reason))

    def call(self, request: bytes) -> asyncio.Future[Response]:
        """Send a request and return a future for its response."""
        pending = asyncio.get_running_loop().create_future()
        self._pending = pending
        if self._transport is not None:
            self._transport.write(request)
        return pending

    def close(self) -> None:
        """Close at once, so that the next call can't read a late response."""
        self._fail("given up")


class HttpClient:
    """Calls one server over a limited number of persistent connections.

    :param address: ``host:port``.
    :param max_connections: most connections at a time; further calls wait for one.
    """

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._host, _, self._port = address.rpartition(":")
        self._idle: deque[_Connection] = deque()
        self._last_data_at = -math.inf
        self._slots = asyncio.Semaphore(max_connections)

    async def post(
        self, path: str, content: bytes, headers: dict[str, str], timeout_seconds: float
    ) -> Response:
        """Send a JSON body and wait for the response.

        :param timeout_seconds: longest wait for the response, once connected.
        :raises UnreachableError: if nothing was sent.
        :raises NoAnswerError: if it isn't known whether the call was carried out.
        """
        header_lines = "".join(
            f"{name}: {value}\r\n" for name, value in headers.items()
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            f"{header_lines}\r\n"
        )
        return await self._send(head.encode() + content, timeout_seconds)

    async def get(self, target: str, timeout_seconds: float) -> Response:
        """Send a GET request and wait for the response.

        :param target: path and query, encoded.
        :param timeout_seconds: longest wait for the response, once connected.
        :raises UnreachableError: if nothing was sent.
        :raises NoAnswerError: if no complete response came.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        return await self._send(head.encode(), timeout_seconds)

    async def _send(self, request: bytes, timeout_seconds: float) -> Response:
        async with self._slots:
            connection = self._pop_idle() or await self._connect()
            return await self._call(connection, request, timeout_seconds)

    def _pop_idle(self) -> _Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        return None

    async def _connect(self) -> _Connection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: _Connection(self._record_data), self._host, int(self._port)
                )
        except (OSError, TimeoutError) as error:
            raise UnreachableError(type(error).__name__) from None
        return connection

    async def _call(
        self, connection: _Connection, request: bytes, timeout_seconds: float
    ) -> Response:
        sent_at = _read_clock()
        pending = connection.call(request)
        timer = asyncio.get_running_loop().call_later(
            timeout_seconds, self._handle_timeout, connection, sent_at
        )
        try:
            response = await pending
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            timer.cancel()
        if connection.usable:
            self._idle.append(connection)
        return response

    def _handle_timeout(self, connection: _Connection, sent_at: float) -> None:
        """End a call that timed out.

        If the server sent no data on any connection for a while, the cause may affect
        all of them. The idle ones are then closed too, as each would let one more call
        time out.
        """
        connection.close()
        cutoff = min(sent_at, _read_clock() - UNRESPONSIVE_SECONDS)
        if self._last_data_at <= cutoff:
            self.close()

    def _record_data(self) -> None:
        self._last_data_at = _read_clock()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
