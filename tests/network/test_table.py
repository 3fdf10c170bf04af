"""Client of the table service, when its connections fail."""

import asyncio
import json

import pytest

from godwitbank._internal.exceptions import TableError
from godwitbank._internal.network.table import TableClient

CONCURRENT_READS = 4
UNANSWERED_KEY = "unanswered"


class TableService:
    """A table service whose open connections can go silent.

    :ivar connections: number of connections that were opened.
    :ivar received: set once a call that isn't answered at once has arrived.
    :ivar committed: has to be set before writes are answered.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.received = asyncio.Event()
        self.committed = asyncio.Event()
        self._silent_connections = 0
        self._all_connected = asyncio.Event()

    async def __aenter__(self) -> "TableService":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.client = TableClient(f"http://127.0.0.1:{port}")
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.client.close()
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        if number == CONCURRENT_READS:
            self._all_connected.set()
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if UNANSWERED_KEY.encode() in request:
                    self.received.set()
                elif request.startswith(b"POST"):
                    self.received.set()
                    await self.committed.wait()
                    self._answer(writer, {"committed": True})
                elif number > self._silent_connections:
                    # The first are answered together, so that each opens a connection.
                    await self._all_connected.wait()
                    self._answer(writer, {"version": 1, "value": None})
        except asyncio.IncompleteReadError:
            writer.close()

    def _answer(self, writer: asyncio.StreamWriter, content: object) -> None:
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def open_connections(self) -> None:
        """Make the client open several connections, and leave them idle."""
        await asyncio.gather(
            *(self.client.read("row") for _ in range(CONCURRENT_READS))
        )

    def silence_connections(self) -> None:
        """Answer nothing more on the connections that are open now."""
        self._silent_connections = self.connections


def test_one_timeout_closes_all_connections_to_a_silent_table() -> None:
    async def scenario() -> None:
        async with TableService() as service:
            await service.open_connections()
            service.silence_connections()
            with pytest.raises(TableError):
                await service.client.read("row")
            assert (await service.client.read("row")).version == 1

    asyncio.run(scenario())


def test_a_timeout_keeps_the_other_connections_while_the_table_answers() -> None:
    async def scenario() -> None:
        async with TableService() as service:
            await service.open_connections()
            unanswered = asyncio.ensure_future(service.client.read(UNANSWERED_KEY))
            await service.received.wait()
            await service.client.read("row")
            with pytest.raises(TableError):
                await unanswered
            await service.client.read("row")
            assert service.connections == CONCURRENT_READS

    asyncio.run(scenario())


def test_a_call_in_flight_is_answered_after_a_timeout_of_another() -> None:
    async def scenario() -> None:
        async with TableService() as service:
            await service.open_connections()
            write = asyncio.ensure_future(service.client.write([]))
            await service.received.wait()
            service.silence_connections()
            with pytest.raises(TableError):
                await service.client.read("row")
            service.committed.set()
            assert await write is None

    asyncio.run(scenario())
