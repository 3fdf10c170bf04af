"""Calls to an endpoint, and what their failures mean."""

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
PATIENCE = 30.0
SOON = 0.05

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server whose connections a test plays by hand."""

    def __init__(self, serve: Serve, most: int = 2) -> None:
        self.connections = 0
        self._most = most
        self._serve = serve

    async def __aenter__(self) -> "Server":
        self._server = await asyncio.start_server(self._count, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = HttpClient(f"127.0.0.1:{port}", self._most)
        return self

    async def _count(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await self._serve(reader, writer)

    async def __aexit__(self, *details: object) -> None:
        self.client.close()
        self._server.close()


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read one request whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def answer_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer every request of a connection."""
    while True:
        await read_request(reader)
        writer.write(ANSWER)


async def post(client: HttpClient, seconds: float = PATIENCE) -> bytes:
    """Make a call and return the answer's content."""
    return (await client.post("/x", b"{}", {"Name": "a"}, seconds)).content


def test_a_connection_is_used_again() -> None:
    async def play() -> None:
        async with Server(answer_all) as server:
            assert [await post(server.client) for _ in range(3)] == [b"ok"] * 3
            assert server.connections == 1

    asyncio.run(play())


def test_calls_beyond_the_most_connections_wait() -> None:
    async def play() -> None:
        async with Server(answer_all) as server:
            answers = await asyncio.gather(*(post(server.client) for _ in range(9)))
            assert answers == [b"ok"] * 9
            assert server.connections == 2

    asyncio.run(play())


def test_a_late_answer_never_meets_the_next_call() -> None:
    # Symptom: a run counts as started that was refused. Sequence: a call gets no
    # answer in time; the next one on the same connection reads the first one's.
    # Cause: the connection was kept after a timeout.
    async def play() -> None:
        release = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            if server.connections == 1:
                await release.wait()
            writer.write(ANSWER)

        server = Server(serve)
        async with server:
            with pytest.raises(NoAnswerError):
                await post(server.client, SOON)
            release.set()
            assert await post(server.client) == b"ok"
            assert server.connections == 2

    asyncio.run(play())


def test_a_connection_that_breaks_leaves_the_call_in_doubt() -> None:
    async def play() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(ANSWER[:-1])
            writer.close()

        async with Server(serve) as server:
            with pytest.raises(NoAnswerError):
                await post(server.client)

    asyncio.run(play())


def test_bytes_that_are_no_answer_leave_the_call_in_doubt() -> None:
    async def play() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(b"\x00\x01 nothing of HTTP\r\n\r\n")

        async with Server(serve) as server:
            with pytest.raises(NoAnswerError):
                await post(server.client)

    asyncio.run(play())


def test_without_a_listener_nothing_was_sent() -> None:
    async def play() -> None:
        server = Server(answer_all)
        async with server:
            pass
        with pytest.raises(UnreachableError):
            await post(server.client)

    asyncio.run(play())


def test_a_server_that_closes_after_its_answer_gets_a_new_connection() -> None:
    async def play() -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(ANSWER.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))

        async with Server(serve) as server:
            assert [await post(server.client) for _ in range(2)] == [b"ok"] * 2
            assert server.connections == 2

    asyncio.run(play())


class SilentServer(Server):
    """A server whose connections go silent when told to; new ones are answered."""

    def __init__(self) -> None:
        super().__init__(self._serve_until_silent)
        self._last_silent = 0

    def silence(self) -> None:
        """Let all connections that are open go silent."""
        self._last_silent = self.connections

    async def _serve_until_silent(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self.connections
        while True:
            await read_request(reader)
            if number > self._last_silent:
                writer.write(ANSWER)


def test_one_call_pays_for_connections_that_fell_silent_together() -> None:
    async def play() -> None:
        async with SilentServer() as server:
            await asyncio.gather(post(server.client), post(server.client))
            assert server.connections == 2
            server.silence()
            with pytest.raises(NoAnswerError):
                await post(server.client, UNRESPONSIVE_SECONDS + SOON)
            assert await post(server.client) == b"ok"
            assert server.connections == 3

    asyncio.run(play())


def test_idle_connections_are_kept_while_the_server_is_heard_on_another() -> None:
    async def play() -> None:
        begun = asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                request = await read_request(reader)
                if b"/never" in request:
                    begun.set()
                    continue
                writer.write(ANSWER)

        async with Server(serve, most=3) as server:
            await asyncio.gather(*(post(server.client) for _ in range(3)))
            never = server.client.post("/never", b"{}", {}, SOON)
            unanswered = asyncio.ensure_future(never)
            await begun.wait()
            await post(server.client)
            with pytest.raises(NoAnswerError):
                await unanswered
            await asyncio.gather(post(server.client), post(server.client))
            assert server.connections == 3

    asyncio.run(play())


def test_an_order_left_unanswered_for_a_moment_costs_one_connection() -> None:
    async def play() -> None:
        async with SilentServer() as server:
            await asyncio.gather(post(server.client), post(server.client))
            server.silence()
            with pytest.raises(NoAnswerError):
                await post(server.client, SOON)
            with pytest.raises(NoAnswerError):
                await post(server.client, SOON)
            assert server.connections == 2

    asyncio.run(play())
