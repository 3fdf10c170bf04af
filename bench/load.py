"""Open-loop load: every arrival is sent when its time has come, answered or not.

Response times count from the time an arrival was due, so that a slow system
can't hide its delays by slowing the load down.
"""

import asyncio
import contextlib
import json
import time
from typing import Any, NamedTuple

import httpx

from bench.trace import Arrival

CLIENT_SECONDS = 90.0
CLIENTS = 64
"""Clients among which requests are shared out.

The library looks at every connection of a client for each request; a single client
with the thousand connections of an overload is itself the slowest part.
"""


class Result(NamedTuple):
    """What became of one arrival.

    :param seconds: response time from when it was due.
    """

    arrival: Arrival
    status: int
    reason: str
    seconds: float
    right: bool


def make_body(arrival: Arrival, number: int, kind: str, deadline: float) -> bytes:
    """Encode an arrival as a request or job."""
    tasks: list[dict[str, Any]] = [
        {
            "id": f"t{position}",
            "class": kind,
            "payload": {"run_ms": run * 1000, "nonce": f"{number}:{position}"},
        }
        for position, run in enumerate(arrival.runs)
    ]
    if arrival.single:
        body = {"class": kind, "payload": tasks[0]["payload"]}
    else:
        body = {"tasks": tasks}
    return json.dumps({**body, "deadline_seconds": deadline}).encode()


def _is_right(arrival: Arrival, number: int, answer: Any) -> bool:
    if arrival.single:
        return bool(answer["nonce"] == f"{number}:0")
    nonces = [row["body"]["nonce"] for row in answer["answers"]]
    return nonces == [f"{number}:{position}" for position in range(len(arrival.runs))]


async def _send(
    client: httpx.AsyncClient, url: str, body: bytes, due: float, result: list[Any]
) -> None:
    arrival, number = result
    path = "requests" if arrival.single else "jobs"
    try:
        answer = await client.post(f"{url}/{path}", content=body)
    except httpx.HTTPError as error:
        seconds = time.monotonic() - due
        result[:] = [Result(arrival, 0, type(error).__name__, seconds, False)]
        return
    seconds = time.monotonic() - due
    right = answer.is_success and _is_right(arrival, number, answer.json())
    reason = "" if answer.is_success else answer.json()["type"].rpartition(":")[2]
    result[:] = [Result(arrival, answer.status_code, reason, seconds, right)]


async def run_trace(
    trace: list[Arrival], urls: list[str], kind: str, deadline: float
) -> list[Result]:
    """Send a trace to some entries in turn and collect what became of it."""
    async with contextlib.AsyncExitStack() as stack:
        clients = [
            await stack.enter_async_context(
                httpx.AsyncClient(timeout=CLIENT_SECONDS, verify=False)
            )
            for _ in range(CLIENTS)
        ]
        bodies = [
            make_body(arrival, number, kind, deadline)
            for number, arrival in enumerate(trace)
        ]
        results: list[list[Any]] = []
        tasks = []
        began = time.monotonic() + 0.1
        for number, arrival in enumerate(trace):
            due = began + arrival.at
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            cell: list[Any] = [arrival, number]
            results.append(cell)
            url = urls[number % len(urls)]
            client = clients[number % CLIENTS]
            sending = _send(client, url, bodies[number], due, cell)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return [cell[0] for cell in results]
