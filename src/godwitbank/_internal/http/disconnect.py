"""Noticing that a caller hung up."""

from litestar import Request


async def await_disconnect(request: Request) -> None:
    """Wait until the caller's connection is gone; its body must have been read."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            return
