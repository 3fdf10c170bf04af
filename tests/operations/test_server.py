"""The HTTP server beside other tasks of a process."""

import asyncio
import socket

import uvloop

from godwitbank._internal.operations.server import ACCEPTS_PER_ITERATION, HttpServer
from godwitbank._internal.operations.sockets import bind

TURNS = 4
"""Turns of the loop in which a connection may get from the kernel to the server."""


async def _answer(scope: dict, receive: object, send: object) -> None:
    raise AssertionError("nobody asks anything")


def test_callers_on_new_connections_are_taken_many_a_turn() -> None:
    # Symptom: callers on new connections wait for half a second, and for seconds under
    # load, while the process looks idle; nobody is refused. Sequence: each turn of a
    # busy loop takes some milliseconds; each takes one connection; more come. Cause:
    # the loop accepts one connection a turn and listener, so that what waits in the
    # kernel's queue grows where no measurement of the process sees it.
    async def count_accepted() -> int:
        listener = bind("127.0.0.1:0", "http")
        address = listener.getsockname()
        server = HttpServer(_answer, listener)
        await server.start()
        callers = [
            socket.create_connection(address) for _ in range(ACCEPTS_PER_ITERATION)
        ]
        for _ in range(TURNS):
            await asyncio.sleep(0)
        accepted = server.count_connections()
        for caller in callers:
            caller.close()
        await server.stop()
        return accepted

    assert uvloop.run(count_accepted()) == ACCEPTS_PER_ITERATION
