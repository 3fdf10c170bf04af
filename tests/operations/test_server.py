"""Tests of the HTTP server."""

import asyncio
import socket

import uvloop

from godwitbank._internal.operations.server import ACCEPTS_PER_ITERATION, HttpServer
from godwitbank._internal.operations.sockets import bind

MAX_ITERATIONS = 4
"""Event loop iterations within which the server must accept the pending connections."""


async def _answer(scope: dict, receive: object, send: object) -> None:
    raise AssertionError("no request was sent")


def test_each_iteration_accepts_many_new_connections() -> None:
    # The event loop accepts one connection per listener and iteration. With iterations
    # of some milliseconds, the kernel's accept queue grows where the process doesn't
    # measure it: callers on new connections wait for half a second, and for seconds
    # under load, while the process looks idle and refuses nobody.
    async def count_accepted() -> int:
        listener = bind("127.0.0.1:0", "http")
        address = listener.getsockname()
        server = HttpServer(_answer, listener)
        await server.start()
        callers = [
            socket.create_connection(address) for _ in range(ACCEPTS_PER_ITERATION)
        ]
        for _ in range(MAX_ITERATIONS):
            await asyncio.sleep(0)
        accepted = server.count_connections()
        for caller in callers:
            caller.close()
        await server.stop()
        return accepted

    assert uvloop.run(count_accepted()) == ACCEPTS_PER_ITERATION
