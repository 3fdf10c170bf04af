"""Serves an HTTP application alongside the other tasks of a process."""

import asyncio
import socket
from typing import Any

import uvicorn

ACCEPTS_PER_ITERATION = 16
"""Connections that a listener accepts in one iteration of the event loop.

The loop accepts one connection per listener and iteration. With iterations of some
milliseconds, callers on new connections would wait in the kernel's accept queue, where
this process can't see them. Each listening socket is therefore duplicated."""


class HttpServer:
    """A uvicorn server that leaves signal handling to the process.

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
        self._server.capture_signals = _skip_signal_capture  # type: ignore
        self._listeners = [
            listener.dup()
            for listener in listeners
            for _ in range(accepts_per_iteration)
        ]
        for listener in listeners:
            listener.close()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start accepting connections."""
        serving = self._server.serve(sockets=self._listeners)
        self._task = asyncio.create_task(serving)
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0)

    def count_connections(self) -> int:
        """Count the open connections."""
        return len(self._server.server_state.connections)

    async def stop(self) -> None:
        """Stop accepting connections and wait for requests in flight."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _NoSignalCapture:
    def __enter__(self) -> None:
        return None

    def __exit__(self, *details: object) -> None:
        return None


def _skip_signal_capture() -> _NoSignalCapture:
    return _NoSignalCapture()
