"""Calls to the endpoint that stands beside an agent."""

import asyncio
import time

import httpx
import msgspec

from godwitbank._internal.core.events import RunEnded, RunTask
from godwitbank._internal.models.messages import Ending

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Bytes of the longest answer taken from an endpoint."""

JSON_CONTENT_TYPE = "application/json"


class EndpointClient:
    """Runs started tasks against one endpoint over HTTP.

    Connections are bounded, and one whose call did not end well is closed: its
    late answer would otherwise be read by the next caller.
    """

    def __init__(self, url: str, connections: int) -> None:
        limits = httpx.Limits(
            max_connections=connections, max_keepalive_connections=connections
        )
        self._client = httpx.AsyncClient(base_url=url, limits=limits)

    async def run(self, task: RunTask) -> RunEnded:
        """Call the endpoint; every way it can go ends in a ``RunEnded``."""
        began = time.monotonic()
        headers = {
            "Content-Type": JSON_CONTENT_TYPE,
            "Godwitbank-Task": f"{task.key.submission}:{task.key.position}",
            "Godwitbank-Class": task.class_name,
        }
        if task.request_id:
            headers["Idempotency-Key"] = task.request_id
        try:
            answer = await self._post(task, headers)
        except (httpx.TimeoutException, TimeoutError):
            return _end(task, Ending.TIMED_OUT, "no answer in time", began)
        except httpx.HTTPError as error:
            # A short read, a reset or a refused connection; the task may have
            # run, so this is a failure, never "not run".
            detail = f"{type(error).__name__}: {error}"
            return _end(task, Ending.ENDPOINT_FAILED, detail, began)
        if not httpx.codes.is_success(answer.status_code):
            detail = f"the endpoint answered {answer.status_code}"
            return _end(task, Ending.ENDPOINT_FAILED, detail, began)
        return _check_answer(task, answer, began)

    async def _post(self, task: RunTask, headers: dict[str, str]) -> httpx.Response:
        # One limit over connect, send, wait and read: an endpoint that trickles
        # bytes resets a limit on each read and would never time out.
        async with asyncio.timeout(task.timeout):
            return await self._client.post(
                "/run", content=task.payload, headers=headers, timeout=task.timeout
            )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def _check_answer(task: RunTask, answer: httpx.Response, began: float) -> RunEnded:
    body = answer.content
    kind = answer.headers.get("Content-Type", "application/octet-stream")
    if len(body) > MAX_RESPONSE_BYTES:
        detail = f"the answer has {len(body)} bytes"
        return _end(task, Ending.ENDPOINT_FAILED, detail, began)
    if kind.startswith(JSON_CONTENT_TYPE):
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            detail = f"the answer is not JSON: {error}"
            return _end(task, Ending.ENDPOINT_FAILED, detail, began)
    run_time = time.monotonic() - began
    return RunEnded(task.key, Ending.ANSWERED, answer.status_code, kind, body, run_time)


def _end(task: RunTask, ending: Ending, detail: str, began: float) -> RunEnded:
    run_time = time.monotonic() - began
    return RunEnded(task.key, ending, 0, "text/plain", detail.encode(), run_time)
