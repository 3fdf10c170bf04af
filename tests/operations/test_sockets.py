"""Tests of listening sockets."""

import asyncio
import socket

import pytest
from standins.fleet import pick_port

from godwitbank._internal.exceptions import AddressInUseError
from godwitbank._internal.operations.sockets import bind


def test_accepted_connections_send_small_frames_at_once() -> None:
    """Accepted connections must have TCP_NODELAY set.

    asyncio sets it only on sockets whose protocol number is that of TCP, and a listener
    created with the default number 0 passes 0 on to accepted connections. The second of
    two small writes then waits for the peer's delayed acknowledgement of the first:
    each hop takes 40 ms longer, and an idle system answers 50 ms late.
    """

    async def accept() -> int:
        listener = bind(f"127.0.0.1:{pick_port()}", "http")
        accepted = asyncio.get_running_loop().create_future()

        class AcceptingProtocol(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                accepted.set_result(transport.get_extra_info("socket"))

        server = await asyncio.get_running_loop().create_server(
            AcceptingProtocol, sock=listener
        )
        _, writer = await asyncio.open_connection(*listener.getsockname())
        nodelay: int = (await accepted).getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
        writer.close()
        server.close()
        return nodelay

    assert asyncio.run(accept()) == 1


def test_address_in_use() -> None:
    listener = bind(f"127.0.0.1:{pick_port()}", "http")
    host, port = listener.getsockname()
    with pytest.raises(AddressInUseError, match="in use"):
        bind(f"{host}:{port}", "stream")
    listener.close()
