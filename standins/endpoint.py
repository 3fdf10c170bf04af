"""An example endpoint whose run times and faults are set by the request.

The payload may hold ``run_ms``, ``fail`` (respond with status 500), ``short`` (send
fewer bytes than Content-Length announces and close the connection) and ``nonce``
(returned in the response). The endpoint counts the starts of each task and of each
idempotency key, so that duplicate starts can be found; ``GET /record`` returns the
counts. ``PUT /control`` makes every task fail, or multiplies the run times.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import uuid
from collections import Counter

import httpx

LEASE_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 1.0


class Endpoint:
    """Run tasks, and count their starts."""

    def __init__(self, service: str, slots: int) -> None:
        self.service = service
        self.slots = slots
        self.instance = uuid.uuid4().hex
        self.tasks: Counter[str] = Counter()
        self.keys: Counter[str] = Counter()
        self.running = 0
        self.peak = 0
        self.finished = 0
        self.control = {"fail": False, "factor": 1.0}

    async def run(self, headers: dict[str, str], payload: dict) -> tuple[int, dict]:
        """Run one task.

        :param headers: request headers, with names in lower case.
        :return: status and body of the response.
        """
        self.tasks[headers.get("godwitbank-task", "")] += 1
        if "idempotency-key" in headers:
            self.keys[headers["idempotency-key"]] += 1
        if self.control["fail"] or payload.get("fail"):
            return 500, {"error": "told to fail"}
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            seconds = payload.get("run_ms", 50) / 1000
            await asyncio.sleep(seconds * self.control["factor"])
        finally:
            self.running -= 1
        self.finished += 1
        return 200, {"nonce": payload.get("nonce"), "by": self.instance}

    def describe(self) -> dict:
        """Return the counts of starts and of runs in progress."""
        return {
            "tasks": dict(self.tasks),
            "keys": dict(self.keys),
            "peak": self.peak,
            "running": self.running,
            "finished": self.finished,
        }


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection, with the subset of the protocol that an agent uses."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Serve the request as soon as it is complete."""
        self.buffer += data
        head, separator, rest = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(rest) < length:
            return
        self.buffer = rest[length:]
        method, path, _ = lines[0].split(" ")
        request = self.serve(method, path, headers, rest[:length])
        self.task = asyncio.ensure_future(request)

    async def serve(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Handle one request and write its response."""
        short = False
        if path == "/run":
            payload = json.loads(body or b"null") or {}
            short = bool(payload.get("short"))
            status, answer = await self.endpoint.run(headers, payload)
        elif path == "/control" and method == "PUT":
            self.endpoint.control.update(json.loads(body))
            status, answer = 200, self.endpoint.control
        else:
            status, answer = 200, self.endpoint.describe()
        text = json.dumps(answer).encode()
        length = len(text) + (100 if short else 0)
        if self.transport is None:
            return
        self.transport.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {length}\r\n\r\n".encode()
            + text
        )
        if short:
            self.transport.close()


async def renew_registration_forever(
    endpoint: Endpoint, agent: str, port: int, lease_seconds: float
) -> None:
    """Register the endpoint with its agent, and renew the registration forever.

    :param agent: ``host:port`` of the agent.
    :param port: port on which the endpoint listens.
    :param lease_seconds: seconds for which a registration is valid.
    """
    body = {
        "service": endpoint.service,
        "url": f"http://127.0.0.1:{port}",
        "slots": endpoint.slots,
        "connections": 64,
        "lease_seconds": lease_seconds,
        "instance": endpoint.instance,
    }
    async with httpx.AsyncClient(base_url=f"http://{agent}", timeout=1.0) as client:
        while True:
            wait = RENEW_INTERVAL_SECONDS
            try:
                await client.put("/v1/endpoint", json=body)
            except httpx.HTTPError:
                wait = 0.1
            await asyncio.sleep(wait)


async def unregister(agent: str) -> None:
    """Unregister from the agent, and wait until no task is running."""
    async with httpx.AsyncClient(base_url=f"http://{agent}", timeout=1.0) as client:
        with contextlib.suppress(httpx.HTTPError):
            state = (await client.delete("/v1/endpoint")).json()
            while state["running"]:
                await asyncio.sleep(0.05)
                state = (await client.get("/v1/endpoint")).json()


async def serve() -> None:
    """Serve until SIGTERM, then unregister and let running tasks finish."""
    parser = argparse.ArgumentParser()
    parser.add_argument("port", type=int)
    parser.add_argument("agent")
    parser.add_argument("--service", default="desk")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--lease", type=float, default=LEASE_SECONDS)
    arguments = parser.parse_args()
    endpoint = Endpoint(arguments.service, arguments.slots)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(endpoint), "127.0.0.1", arguments.port
    )
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    renewal = asyncio.create_task(
        renew_registration_forever(
            endpoint, arguments.agent, arguments.port, arguments.lease
        )
    )
    await stopping.wait()
    renewal.cancel()
    await unregister(arguments.agent)
    server.close()


if __name__ == "__main__":
    asyncio.run(serve())
