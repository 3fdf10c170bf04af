"""Listening sockets."""

import asyncio
import socket

import pytest
from standins.fleet import pick_port

from godwitbank._internal.exceptions import AddressInUseError
from godwitbank._internal.operations.sockets import bind


def test_accepted_connections_send_small_frames_at_once() -> None:
    """Every hop adds 40 ms although nothing is busy.

    Symptom: an idle system answers 50 ms late.
    Sequence: a process writes two small pieces to an accepted connection; the
    second waits until the other side acknowledges the first, which it delays.
    Cause: asyncio sets TCP_NODELAY only on sockets whose protocol number says
    TCP; a listener made with the default number 0 hands that on.
    """

    async def accept() -> int:
        listener = bind(f"127.0.0.1:{pick_port()}", "http")
        accepted = asyncio.get_running_loop().create_future()

        class Probe(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                accepted.set_result(transport.get_extra_info("socket"))

        server = await asyncio.get_running_loop().create_server(Probe, sock=listener)
        _, writer = await asyncio.open_connection(*listener.getsockname())
        option: int = (await accepted).getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
        writer.close()
        server.close()
        return option

    assert asyncio.run(accept()) == 1


def test_address_in_use() -> None:
    listener = bind(f"127.0.0.1:{pick_port()}", "http")
    host, port = listener.getsockname()
    with pytest.raises(AddressInUseError, match="in use"):
        bind(f"{host}:{port}", "stream")
    listener.close()
