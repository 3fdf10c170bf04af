"""Detects that a caller disconnected."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any


async def await_disconnect(receive: Callable[[], Awaitable[Mapping[str, Any]]]) -> None:
    """Wait until the caller disconnects.

    The request body must have been read before.

    :param receive: ASGI ``receive`` callable of the request.
    """
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
