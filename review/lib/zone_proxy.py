"""A proxy that cuts the connections between two zones, and some callers' connections.

Usage: ``python -m review.lib.zone_proxy ROUTE...``, with routes ``LISTEN=TARGET=ZONE``
for streams to an entry of a zone, and ``LISTEN=TARGET=callers`` for callers. The first
frame of a stream names the zone of the process that opened it. From SIGUSR1 to SIGUSR2
no byte passes between processes of different zones, and new connections between them
get no answer. Callers' connections are reset on SIGUSR1, while the entries' ends of
them stay open and silent: no byte reaches the entry any more, as it is cut off.
"""

import asyncio
import contextlib
import signal
import struct
import sys
from typing import NamedTuple

import msgpack

CALLERS = "callers"
LENGTH_BYTES = 4
ZONE_FIELD = 6
"""Position of the zone in a greeting: code, version, role, process, incarnation,
address, zone."""

CHUNK_BYTES = 65536


class Route(NamedTuple):
    """An address to listen on, and where its connections lead to."""

    listen: str
    target: str
    zone: str


class Cut:
    """Whether the zones are cut off from each other.

    :ivar open: set while bytes pass.
    """

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.open.set()
        self.callers: set[asyncio.StreamWriter] = set()

    def begin(self) -> None:
        """Cut the zones, and reset the connections of all callers."""
        self.open.clear()
        for caller in self.callers:
            caller.transport.abort()
        self.callers.clear()

    def end(self) -> None:
        """Let bytes pass again."""
        self.open.set()


async def _forward(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: Cut, crosses: bool
) -> None:
    """Forward bytes until the connection ends; hold them while it is cut."""
    with contextlib.suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            if crosses:
                await cut.open.wait()
            writer.write(data)
            await writer.drain()
    if crosses:
        await cut.open.wait()
    writer.close()


async def _read_greeting(reader: asyncio.StreamReader) -> tuple[bytes, str]:
    """Read the first frame, and return it with the zone that it names."""
    head = await reader.readexactly(LENGTH_BYTES)
    body = await reader.readexactly(struct.unpack(">I", head)[0])
    return head + body, msgpack.unpackb(body)[ZONE_FIELD]


async def _serve(
    route: Route, cut: Cut, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    greeting, crosses = b"", True
    if route.zone == CALLERS:
        cut.callers.add(writer)
    else:
        greeting, zone = await _read_greeting(reader)
        crosses = zone != route.zone
    if crosses:
        await cut.open.wait()
    host, _, port = route.target.rpartition(":")
    try:
        onward_reader, onward = await asyncio.open_connection(host, int(port))
    except OSError:
        writer.transport.abort()
        return
    onward.write(greeting)
    await asyncio.gather(
        _forward(reader, onward, cut, crosses),
        _forward(onward_reader, writer, cut, crosses),
        return_exceptions=True,
    )
    cut.callers.discard(writer)


async def main() -> None:
    """Serve until killed."""
    cut = Cut()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGUSR1, cut.begin)
    loop.add_signal_handler(signal.SIGUSR2, cut.end)
    for argument in sys.argv[1:]:
        route = Route(*argument.split("="))
        host, _, port = route.listen.rpartition(":")

        async def serve(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            route: Route = route,
        ) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                await _serve(route, cut, reader, writer)

        await asyncio.start_server(serve, host, int(port))
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
