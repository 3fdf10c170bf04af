"""Calls of the HTTP client, its connections, and the meaning of failures."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from godwitbank._internal.network.http_client import (
    UNRESPONSIVE_SECONDS,
    HttpClient,
    NoAnswerError,
    UnreachableError,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LONG_TIMEOUT_SECONDS = 30.0
SHORT_TIMEOUT_SECONDS = 0.05

ConnectionHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class Server:
    """A server that runs a test's handler for each connection."""

    def __init__(
        self, handle_connection: ConnectionHandler, max_connections: int = 2
    ) -> None:
        self.connections = 0
        self._max_connections = max_connections
        self._handle_connection = handle_connection

    async def __aenter__(self) -> "Server":
        self._server = await asyncio.start_server(
            self._count_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.client = HttpClient(f"127.0.0.1:{port}", self._max_connections)
        return self

    async def _count_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await self._handle_connection(reader, writer)

    async def __aexit__(self, *details: object) -> None:
        self.client.close()
        self._server.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read one complete request."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def answer_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer every request on a connection."""
    while True:
        await read_request(reader)
        writer.write(ANSWER)


async def post(
    client: HttpClient, timeout_seconds: float = LONG_TIMEOUT_SECONDS
) -> bytes:
    """Make a call and return the content of the response."""
    return (await client.post("/x", b"{}", {"Name": "a"}, timeout_seconds)).content


def test_a_connection_is_reused() -> None:
    async def scenario() -> None:
        async with Server(answer_all) as server:
            assert [await post(server.client) for _ in range(3)] == [b"ok"] * 3
            assert server.connections == 1

    asyncio.run(scenario())


def test_calls_beyond_the_connection_limit_wait() -> None:
    async def scenario() -> None:
        async with Server(answer_all) as server:
            answers = await asyncio.gather(*(post(server.client) for _ in range(9)))
            assert answers == [b"ok"] * 9
            assert server.connections == 2

    asyncio.run(scenario())


def test_a_late_response_is_not_read_by_the_next_call() -> None:
    # Guards against counting a refused run as started: if a connection is kept after
    # a timeout, the next call on it reads the late response of the first one.
    async def scenario() -> None:
        release = asyncio.Event()

        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            if server.connections == 1:
                await release.wait()
            writer.write(ANSWER)

        server = Server(handle_connection)
        async with server:
            with pytest.raises(NoAnswerError):
                await post(server.client, SHORT_TIMEOUT_SECONDS)
            release.set()
            assert await post(server.client) == b"ok"
            assert server.connections == 2

    asyncio.run(scenario())


def test_a_call_on_a_broken_connection_has_an_unknown_outcome() -> None:
    async def scenario() -> None:
        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(ANSWER[:-1])
            writer.close()

        async with Server(handle_connection) as server:
            with pytest.raises(NoAnswerError):
                await post(server.client)

    asyncio.run(scenario())


def test_a_call_with_an_invalid_response_has_an_unknown_outcome() -> None:
    async def scenario() -> None:
        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(b"\x00\x01 nothing of HTTP\r\n\r\n")

        async with Server(handle_connection) as server:
            with pytest.raises(NoAnswerError):
                await post(server.client)

    asyncio.run(scenario())


def test_nothing_is_sent_without_a_listener() -> None:
    async def scenario() -> None:
        server = Server(answer_all)
        async with server:
            pass
        with pytest.raises(UnreachableError):
            await post(server.client)

    asyncio.run(scenario())


def test_a_connection_closed_by_the_server_is_replaced() -> None:
    async def scenario() -> None:
        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))

        async with Server(handle_connection) as server:
            assert [await post(server.client) for _ in range(2)] == [b"ok"] * 2
            assert server.connections == 2

    asyncio.run(scenario())


class UnresponsiveServer(Server):
    """A server that can stop answering on its open connections, but not on new ones."""

    def __init__(self) -> None:
        super().__init__(self._answer_until_suspended)
        self._last_unresponsive = 0

    def suspend_connections(self) -> None:
        """Stop answering on all connections that are open now."""
        self._last_unresponsive = self.connections

    async def _answer_until_suspended(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        while True:
            await read_request(reader)
            if number > self._last_unresponsive:
                writer.write(ANSWER)


def test_one_timeout_closes_all_unresponsive_connections() -> None:
    async def scenario() -> None:
        async with UnresponsiveServer() as server:
            await asyncio.gather(post(server.client), post(server.client))
            assert server.connections == 2
            server.suspend_connections()
            with pytest.raises(NoAnswerError):
                await post(server.client, UNRESPONSIVE_SECONDS + SHORT_TIMEOUT_SECONDS)
            assert await post(server.client) == b"ok"
            assert server.connections == 3

    asyncio.run(scenario())


def test_idle_connections_are_kept_while_the_server_answers_on_another() -> None:
    async def scenario() -> None:
        received = asyncio.Event()

        async def handle_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                request = await read_request(reader)
                if b"/never" in request:
                    received.set()
                    continue
                writer.write(ANSWER)

        async with Server(handle_connection, max_connections=3) as server:
            await asyncio.gather(*(post(server.client) for _ in range(3)))
            unanswered_call = server.client.post(
                "/never", b"{}", {}, SHORT_TIMEOUT_SECONDS
            )
            unanswered = asyncio.ensure_future(unanswered_call)
            await received.wait()
            await post(server.client)
            with pytest.raises(NoAnswerError):
                await unanswered
            await asyncio.gather(post(server.client), post(server.client))
            assert server.connections == 3

    asyncio.run(scenario())


def test_a_short_timeout_closes_only_its_own_connection() -> None:
    async def scenario() -> None:
        async with UnresponsiveServer() as server:
            await asyncio.gather(post(server.client), post(server.client))
            server.suspend_connections()
            with pytest.raises(NoAnswerError):
                await post(server.client, SHORT_TIMEOUT_SECONDS)
            with pytest.raises(NoAnswerError):
                await post(server.client, SHORT_TIMEOUT_SECONDS)
            assert server.connections == 2

    asyncio.run(scenario())
