"""Open-loop load generator: sends each arrival at its scheduled time.

It doesn't wait for earlier responses. Response times are measured from the scheduled
time of an arrival, so that a slow system can't hide its delays by slowing the load
down.
"""

import asyncio
import contextlib
import json
import time
from typing import Any, NamedTuple

import httpx

from bench.trace import Arrival

CLIENT_TIMEOUT_SECONDS = 90.0
CLIENT_COUNT = 64
"""Number of HTTP clients that the requests are distributed over.

httpx scans every connection of a client for each request, so a single client with the
thousand connections of an overload is itself the bottleneck.
"""


class Result(NamedTuple):
    """The outcome of one arrival.

    :param status: HTTP status code, or 0 if the request failed.
    :param reason: problem type of an unsuccessful response, or the name of the
        exception if the request failed; empty after a success.
    :param seconds: response time from the scheduled time.
    :param is_correct: whether the response succeeded and belongs to this arrival.
    """

    arrival: Arrival
    status: int
    reason: str
    seconds: float
    is_correct: bool


def make_body(
    arrival: Arrival, number: int, class_name: str, deadline_seconds: float
) -> bytes:
    """Encode an arrival as the body of a request or job."""
    tasks: list[dict[str, Any]] = [
        {
            "id": f"t{position}",
            "class": class_name,
            "payload": {"run_ms": run * 1000, "nonce": f"{number}:{position}"},
        }
        for position, run in enumerate(arrival.runs)
    ]
    if arrival.single:
        body = {"class": class_name, "payload": tasks[0]["payload"]}
    else:
        body = {"tasks": tasks}
    return json.dumps({**body, "deadline_seconds": deadline_seconds}).encode()


def _is_correct(arrival: Arrival, number: int, response: Any) -> bool:
    """Check that a response body returns the nonces sent, in their order."""
    if arrival.single:
        return bool(response["nonce"] == f"{number}:0")
    nonces = [row["body"]["nonce"] for row in response["answers"]]
    return nonces == [f"{number}:{position}" for position in range(len(arrival.runs))]


async def _send(
    client: httpx.AsyncClient, url: str, body: bytes, due: float, cell: list[Any]
) -> None:
    """Send an arrival and replace the contents of ``cell`` with its ``Result``.

    :param due: scheduled time, by the monotonic clock.
    :param cell: the arrival and its number in the trace.
    """
    arrival, number = cell
    path = "requests" if arrival.single else "jobs"
    try:
        response = await client.post(f"{url}/{path}", content=body)
    except httpx.HTTPError as error:
        seconds = time.monotonic() - due
        cell[:] = [Result(arrival, 0, type(error).__name__, seconds, False)]
        return
    seconds = time.monotonic() - due
    is_correct = response.is_success and _is_correct(arrival, number, response.json())
    reason = "" if response.is_success else response.json()["type"].rpartition(":")[2]
    cell[:] = [Result(arrival, response.status_code, reason, seconds, is_correct)]


async def run_trace(
    trace: list[Arrival], urls: list[str], class_name: str, deadline_seconds: float
) -> list[Result]:
    """Send a trace to entries in turn and collect the results."""
    async with contextlib.AsyncExitStack() as stack:
        clients = [
            await stack.enter_async_context(
                httpx.AsyncClient(timeout=CLIENT_TIMEOUT_SECONDS, verify=False)
            )
            for _ in range(CLIENT_COUNT)
        ]
        bodies = [
            make_body(arrival, number, class_name, deadline_seconds)
            for number, arrival in enumerate(trace)
        ]
        results: list[list[Any]] = []
        tasks = []
        started = time.monotonic() + 0.1
        for number, arrival in enumerate(trace):
            due = started + arrival.at
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            cell: list[Any] = [arrival, number]
            results.append(cell)
            url = urls[number % len(urls)]
            client = clients[number % CLIENT_COUNT]
            sending = _send(client, url, bodies[number], due, cell)
            tasks.append(asyncio.create_task(sending))
        await asyncio.gather(*tasks)
    return [cell[0] for cell in results]
