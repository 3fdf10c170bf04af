"""HTTP calls of an agent to its endpoint."""

import asyncio
import time

import httpx
import msgspec

from godwitbank._internal.core.events import RunEnded, RunTask
from godwitbank._internal.models.messages import Ending

MAX_RESPONSE_BYTES = 4 * 1024 * 1024
"""Longest response that is accepted from an endpoint."""

JSON_CONTENT_TYPE = "application/json"


class EndpointClient:
    """Runs started tasks at one endpoint over HTTP.

    The number of connections is limited. A connection whose call failed is closed,
    because its late response would otherwise be read by the next call.
    """

    def __init__(self, url: str, connections: int) -> None:
        limits = httpx.Limits(
            max_connections=connections, max_keepalive_connections=connections
        )
        self._client = httpx.AsyncClient(base_url=url, limits=limits)

    async def run(self, task: RunTask) -> RunEnded:
        """Call the endpoint; a failed call, too, returns a ``RunEnded``."""
        started_at = time.monotonic()
        headers = {
            "Content-Type": JSON_CONTENT_TYPE,
            "Godwitbank-Task": f"{task.key.submission}:{task.key.position}",
            "Godwitbank-Class": task.class_name,
        }
        if task.request_id:
            headers["Idempotency-Key"] = task.request_id
        try:
            response = await self._post(task, headers)
        except (httpx.TimeoutException, TimeoutError):
            return _make_run_ended(
                task, Ending.TIMED_OUT, "no answer in time", started_at
            )
        except httpx.HTTPError as error:
            # An incomplete response, a reset or a refused connection. The task may
            # have run, so it is reported as failed, never as "not run".
            detail = f"{type(error).__name__}: {error}"
            return _make_run_ended(task, Ending.ENDPOINT_FAILED, detail, started_at)
        except ValueError as error:
            # A header can't be encoded. The caller must not wait for its deadline.
            detail = f"the call can't be sent: {error}"
            return _make_run_ended(task, Ending.ENDPOINT_FAILED, detail, started_at)
        if not httpx.codes.is_success(response.status_code):
            detail = f"the endpoint answered {response.status_code}"
            return _make_run_ended(task, Ending.ENDPOINT_FAILED, detail, started_at)
        return _check_response(task, response, started_at)

    async def _post(self, task: RunTask, headers: dict[str, str]) -> httpx.Response:
        # One timeout covers connecting, sending, waiting and reading: an endpoint
        # that sends a few bytes at a time would reset a timeout per read and the
        # call would never time out.
        async with asyncio.timeout(task.timeout):
            return await self._client.post(
                "/run", content=task.payload, headers=headers, timeout=task.timeout
            )

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def _check_response(
    task: RunTask, response: httpx.Response, started_at: float
) -> RunEnded:
    body = response.content
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    if len(body) > MAX_RESPONSE_BYTES:
        detail = f"the answer has {len(body)} bytes"
        return _make_run_ended(task, Ending.ENDPOINT_FAILED, detail, started_at)
    if content_type.startswith(JSON_CONTENT_TYPE):
        try:
            msgspec.json.decode(body)
        except msgspec.DecodeError as error:
            detail = f"the answer is not JSON: {error}"
            return _make_run_ended(task, Ending.ENDPOINT_FAILED, detail, started_at)
    run_time = time.monotonic() - started_at
    return RunEnded(
        task.key, Ending.ANSWERED, response.status_code, content_type, body, run_time
    )


def _make_run_ended(
    task: RunTask, ending: Ending, detail: str, started_at: float
) -> RunEnded:
    run_time = time.monotonic() - started_at
    return RunEnded(task.key, ending, 0, "text/plain", detail.encode(), run_time)
