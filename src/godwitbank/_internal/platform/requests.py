"""Reading of request bodies up to a limit."""

from starlette.requests import Request


class BodyTooLargeError(Exception):
    """A body is longer than its limit; the rest of it wasn't read."""


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Read the body of a request.

    :param max_bytes: longest body that is read.
    :raises BodyTooLargeError: if the body is longer.
    :raises ClientDisconnect: if the caller disconnected before it was complete.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        parts.append(part)
    return b"".join(parts)
