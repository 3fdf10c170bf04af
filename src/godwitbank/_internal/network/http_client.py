"""A small HTTP client for calls to the endpoint on the same VM and to the store.

An agent makes two calls a run. General clients spend most of their time on what such
calls don't need: URLs, cookies, redirects, proxies, streaming; importing one is half of
a process's start. The bytes are parsed by ``httptools``; connections, time limits and
what a failure means are kept here.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

CONNECT_TIMEOUT_SECONDS = 0.2
"""Longest wait for a connection; one to the same VM or the store takes some ms."""

UNRESPONSIVE_SECONDS = 0.25
"""Seconds without a byte from a server after which all its connections may be silent;
one that runs tasks is heard more often."""

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Bytes of the longest answer; a longer one is no answer."""


class Response(NamedTuple):
    """An answer that was read to its end."""

    status: int
    content: bytes


class UnreachableError(Exception):
    """No connection was made, so nothing was sent."""


class NoAnswerError(Exception):
    """The call was sent and may have been carried out."""


class _Connection(asyncio.Protocol):
    """One connection, on which one call is under way at a time."""

    def __init__(self, hear: Callable[[], None]) -> None:
        self.usable = True
        self._hear = hear
        self._answer: asyncio.Future[Response] | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Loops of other libraries have transports of their own classes.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("closed" if exc is None else type(exc).__name__)

    def data_received(self, data: bytes) -> None:
        self._hear()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(type(error).__name__)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the answer."""
        self._parts.append(body)
        self._size += len(body)
        if self._size > MAX_RESPONSE_BYTES:
            self._fail("too long")

    def on_message_complete(self) -> None:
        """Deliver the answer."""
        answer, self._answer = self._answer, None
        if answer is None or answer.done():
            # An answer to nothing: what follows can't be told apart any more.
            self._fail("unexpected answer")
            return
        status = self._parser.get_status_code()
        keeps = self._parser.should_keep_alive()
        answer.set_result(Response(status, b"".join(self._parts)))
        self._parts = []
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)
        if not keeps:
            self._fail("closed by its other end")

    def _fail(self, reason: str) -> None:
        self.usable = False
        if self._transport is not None:
            self._transport.abort()
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(NoAnswerError(reason))

    def call(self, request: bytes) -> asyncio.Future[Response]:
        """Send a request; the future holds its answer."""
        answer = asyncio.get_running_loop().create_future()
        self._answer = answer
        if self._transport is not None:
            self._transport.write(request)
        return answer

    def close(self) -> None:
        """Close at once; a late answer must not meet the next call."""
        self._fail("given up")


class HttpClient:
    """Calls to one server.

    :param address: ``host:port``.
    :param most: connections at a time; further calls wait for one.
    """

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._host, _, self._port = address.rpartition(":")
        self._idle: deque[_Connection] = deque()
        self._heard_at = -math.inf
        self._slots = asyncio.Semaphore(most)

    async def post(
        self, path: str, content: bytes, headers: dict[str, str], seconds: float
    ) -> Response:
        """Send a JSON body and wait for the answer.

        :raises UnreachableError: when nothing was sent.
        :raises NoAnswerError: when it isn't known whether it was carried out.
        """
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {self._address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            f"{lines}\r\n"
        )
        return await self._send(head.encode() + content, seconds)

    async def get(self, target: str, seconds: float) -> Response:
        """Ask for something and wait for the answer.

        :param target: path and query, encoded.
        :raises UnreachableError: when nothing was sent.
        :raises NoAnswerError: when no whole answer came.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {self._address}\r\n\r\n"
        return await self._send(head.encode(), seconds)

    async def _send(self, request: bytes, seconds: float) -> Response:
        async with self._slots:
            connection = self._take_idle() or await self._connect()
            return await self._call(connection, request, seconds)

    def _take_idle(self) -> _Connection | None:
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
                    lambda: _Connection(self._hear), self._host, int(self._port)
                )
        except (OSError, TimeoutError) as error:
            raise UnreachableError(type(error).__name__) from None
        return connection

    async def _call(
        self, connection: _Connection, request: bytes, seconds: float
    ) -> Response:
        sent_at = _read_clock()
        answer = connection.call(request)
        timer = asyncio.get_running_loop().call_later(
            seconds, self._give_up, connection, sent_at
        )
        try:
            response = await answer
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            timer.cancel()
        if connection.usable:
            self._idle.append(connection)
        return response

    def _give_up(self, connection: _Connection, sent_at: float) -> None:
        """End a call that got no answer in time.

        If the server was not heard on any connection for a while, what silenced this
        one may have silenced all, and each idle one would cost one more call its time.
        """
        connection.close()
        quiet_since = min(sent_at, _read_clock() - UNRESPONSIVE_SECONDS)
        if self._heard_at <= quiet_since:
            self.close()

    def _hear(self) -> None:
        self._heard_at = _read_clock()

    def close(self) -> None:
        """Close connections that are not in use."""
        while self._idle:
            self._idle.pop().close()


def _read_clock() -> float:
    return asyncio.get_running_loop().time()
