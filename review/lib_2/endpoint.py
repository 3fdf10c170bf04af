"""The project's endpoint stand-in, which can also leave calls unanswered.

Usage: ``python -m review.lib_2.endpoint SERVICE ADDRESS AGENT CORES ZONE``. While
``PUT /unanswered`` is in force, it leaves a random share of all calls of its agent
without an answer, and carries them out 2 to 12 s later, as the platform's pages allow.
It gives no time of its start: a new boot has a new id.
"""

import asyncio
import contextlib
import json
import random
import sys
import time
from typing import Any

import uvicorn
from standins import platform_endpoint
from starlette.types import ASGIApp, Message, Receive, Scope, Send

REPORT_SECONDS = 1.5
"""Interval of the reports; ``heartbeat-ms`` of the settings."""

MIN_LATE_SECONDS = 2.0
MAX_LATE_SECONDS = 12.0
"""When calls without an answer are carried out."""

CALLS = ("/-/run-start", "/-/run-stop", "/-/hold")


class Daemon(platform_endpoint.Daemon):
    """An endpoint that doesn't tell when it started."""

    def __init__(self, service: str, address: str, agent: str, zone: str) -> None:
        super().__init__(service, address, agent, platform_cores(), zone)
        self.endpoint.born = 0

    def make_report_body(self) -> dict[str, Any]:
        """Make the body of the next report."""
        body = super().make_report_body()
        del body["born"]
        return body


def platform_cores() -> int:
    """Return the cores of this endpoint."""
    return int(sys.argv[4])


class Unanswered:
    """Leaves a share of the calls to an application unanswered for some time."""

    def __init__(self, app: ASGIApp, daemon: Daemon) -> None:
        self._app = app
        self._daemon = daemon
        self._share = 0.0
        self._until = 0.0
        self._random = random.Random()
        self._late: set[asyncio.Task[None]] = set()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        path = scope["path"]
        if path == "/unanswered":
            settings = json.loads(await read_body(receive))
            self._share = settings["share"]
            self._until = time.monotonic() + settings["seconds"]
            await respond(send)
            return
        chosen = time.monotonic() < self._until and self._random.random() < self._share
        if path not in CALLS or not chosen:
            await self._app(scope, receive, send)
            return
        body = await read_body(receive)
        self._daemon.write_event(event="unanswered", call=path)
        task = asyncio.create_task(self._carry_out_late(scope, body))
        self._late.add(task)
        task.add_done_callback(self._late.discard)
        while (await receive())["type"] != "http.disconnect":
            pass

    async def _carry_out_late(self, scope: Scope, body: bytes) -> None:
        await asyncio.sleep(self._random.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS))
        messages = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive() -> Message:
            return messages.pop() if messages else {"type": "http.disconnect"}

        async def send(message: Message) -> None:
            del message

        with contextlib.suppress(Exception):
            await self._app(scope, receive, send)


async def read_body(receive: Receive) -> bytes:
    """Read the body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def respond(send: Send) -> None:
    """Answer a request with an empty object."""
    headers = [(b"content-type", b"application/json")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": b"{}"})


async def main() -> None:
    """Serve until killed."""
    service, address, agent, _, zone = sys.argv[1:6]
    platform_endpoint.REPORT_INTERVAL_SECONDS = REPORT_SECONDS
    daemon = Daemon(service, address, agent, zone)
    host, _, port = address.rpartition(":")
    app = Unanswered(platform_endpoint.make_app(daemon), daemon)
    config = uvicorn.Config(app, host=host, port=int(port), log_level="warning")
    daemon.write_event(event="booted")
    tasks = [
        asyncio.create_task(daemon.report_forever()),
        asyncio.create_task(daemon.write_ends_forever()),
    ]
    await uvicorn.Server(config).serve()
    for task in tasks:
        task.cancel()


if __name__ == "__main__":
    asyncio.run(main())
