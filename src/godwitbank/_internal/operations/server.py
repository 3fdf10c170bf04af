"""Serving an HTTP application beside other tasks of a process."""

import asyncio
import socket
from typing import Any

import uvicorn

ACCEPTS_PER_ITERATION = 16
"""Connections a listener takes in one turn of the event loop.

The loop takes one a turn and listener. With turns of some milliseconds, callers that
come on new connections wait in the kernel's queue, where nothing here sees them."""


class HttpServer:
    """A uvicorn server that leaves signals to its owner.

    :param accepts_per_iteration: connections that each listener accepts in one
        iteration of the event loop.
    """

    def __init__(
        self,
        app: Any,
        *listeners: socket.socket,
        accepts_per_iteration: int = ACCEPTS_PER_ITERATION,
    ) -> None:
        config = uvicorn.Config(
            app,
            http="httptools",
            loop="asyncio",
            log_level="warning",
            access_log=False,
            lifespan="off",
            timeout_keep_alive=75,
            h11_max_incomplete_event_size=64 * 1024,
        )
        self._server = uvicorn.Server(config)
        self._server.capture_signals = _leave_signals  # type: ignore
        self._listeners = [
            listener.dup()
            for listener in listeners
            for _ in range(accepts_per_iteration)
        ]
        for listener in listeners:
            listener.close()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to accept connections."""
        serving = self._server.serve(sockets=self._listeners)
        self._task = asyncio.create_task(serving)
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0)

    def count_connections(self) -> int:
        """Count the connections that are open."""
        return len(self._server.server_state.connections)

    async def stop(self) -> None:
        """Stop accepting, and wait for requests in flight."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _NoSignals:
    def __enter__(self) -> None:
        return None

    def __exit__(self, *details: object) -> None:
        return None


def _leave_signals() -> _NoSignals:
    return _NoSignals()
