"""HTTP interface of an entry for callers.

It uses the requests and responses of ``starlette`` directly: importing ``litestar``
would delay the first answer of a process that starts, and its router isn't needed, as
queues are looked up in this project's own routing table.
"""

import asyncio
import math
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Success
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from godwitbank._internal.http.disconnect import await_disconnect
from godwitbank._internal.models.jobs import JobEnd, JobResult, QueueRules
from godwitbank._internal.platform.bodies import MAX_BODY_BYTES, decode_job
from godwitbank._internal.platform.requests import BodyTooLargeError, read_body
from godwitbank._internal.utils.decoding import MAX_DIGITS, parse_whole_number

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_entry import RunEntryProcess

JSON_MEDIA_TYPE = "application/json"

ALLOWED_METHODS = ("GET", "POST", "DELETE")

JOB_ID_LENGTH = 16
"""Number of hexadecimal digits in a job's id."""

DEFAULT_TIMEOUT_SECONDS = 10.0
"""Timeout of a request that doesn't give its own in the header ``deadline-ms``."""

NO_CONFIGURATION_SECONDS = 0.5
"""Seconds until a caller should return while this entry has no configuration: as long
as a new process takes to get it from another one."""

_STATUSES = {
    JobEnd.COMPLETED: 200,
    JobEnd.FAILED: 200,
    JobEnd.REFUSED: 503,
    JobEnd.GIVEN_UP: 504,
}


_NO_CONFIGURATION = {
    "error": "no configuration yet",
    "ran": "not_run",
    "retry_after": NO_CONFIGURATION_SECONDS,
}


def make_callers_app(process: "RunEntryProcess") -> ASGIApp:
    """Make the ASGI application for callers.

    While the process is short of processor time, requests to submit a job are refused
    before their bodies are read and decoded, which makes a refusal cheaper.
    """

    async def refuse_or_serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        if process.core.sheds_load and scope["method"] == "POST":
            response = _refuse_unread(process, str(scope["path"]))
        else:
            response = await _serve(process, Request(scope, receive))
        await response(scope, receive, send)

    return refuse_or_serve


def _refuse_unread(process: "RunEntryProcess", path: str) -> Response:
    result = process.shed(path.rpartition("/")[2])
    process.core.counts.add("requests", "POST")
    return _respond(process, 503, _describe(result), result.retry_after)


async def _serve(process: "RunEntryProcess", request: Request) -> Response:
    process.core.counts.add("requests", request.method)
    if request.method not in ALLOWED_METHODS:
        return _respond(process, 405, {"error": "method not allowed"})
    path = request.scope["raw_path"].decode("latin-1").partition("?")[0]
    host = request.headers.get("host", "").partition(":")[0]
    if not process.core.routes.version:
        return _respond(process, 503, _NO_CONFIGURATION, NO_CONFIGURATION_SECONDS)
    queue = process.core.find_queue(host, path)
    if queue is None:
        return _respond(process, 404, {"error": "no such queue"})
    name = path[len(queue.prefix) :]
    if not name:
        waiting = process.core.count_waiting(queue.name)
        return _respond(process, 200, {"waiting": waiting})
    if request.method == "POST":
        return await _submit(process, request, queue, name)
    if request.method == "DELETE" and await process.cancel(name):
        return _respond(process, 200, {})
    return _respond(process, 410, {"error": "no such job"})


async def _submit(
    process: "RunEntryProcess", request: Request, queue: QueueRules, name: str
) -> Response:
    configuration = process.core.routes.configuration
    max_body = MAX_BODY_BYTES if configuration is None else configuration.max_body
    try:
        body = await read_body(request, max_body)
    except ClientDisconnect:
        return _respond(process, 499, {})
    except BodyTooLargeError:
        return _respond(process, 413, {"error": "the body is too large"})
    if not _is_job_id(name):
        return _respond(process, 400, {"error": "the id must be 16 hex digits"})
    decoded = decode_job(name, queue.name, body)
    if not isinstance(decoded, Success):
        return _respond(process, 400, {"error": decoded.failure()})
    timeout_seconds = _read_timeout(request)
    if timeout_seconds is None:
        reason = f"deadline-ms must be a whole number of at most {MAX_DIGITS} digits"
        return _respond(process, 400, {"error": reason})
    submission = asyncio.ensure_future(
        process.submit(decoded.unwrap(), timeout_seconds)
    )
    disconnect = asyncio.ensure_future(await_disconnect(request.receive))
    await asyncio.wait({submission, disconnect}, return_when=asyncio.FIRST_COMPLETED)
    disconnect.cancel()
    if not submission.done():
        submission.cancel()
        return _respond(process, 499, {})
    return _render(process, submission.result())


def _is_job_id(name: str) -> bool:
    digits = set("0123456789abcdefABCDEF")
    return len(name) == JOB_ID_LENGTH and set(name) <= digits


def _read_timeout(request: Request) -> float | None:
    """Read how long a caller waits; ``None`` if the number is out of bounds."""
    text = request.headers.get("deadline-ms", "")
    if not text.isdigit():
        return DEFAULT_TIMEOUT_SECONDS
    number = parse_whole_number(text)
    return None if number is None else number / 1000


def _render(process: "RunEntryProcess", result: JobResult) -> Response:
    status = _STATUSES[result.end]
    if status == 200:
        return _respond(process, 200, {"state": str(result.end)})
    return _respond(process, status, _describe(result), result.retry_after)


def _describe(result: JobResult) -> dict[str, Any]:
    ran = "may_have_run" if result.ran else "not_run"
    described: dict[str, Any] = {"error": result.reason, "ran": ran}
    if result.retry_after is not None:
        # The header only holds whole seconds.
        described["retry_after"] = round(result.retry_after, 3)
    return described


def _respond(
    process: "RunEntryProcess",
    status: int,
    body: dict[str, Any],
    retry_after: float | None = None,
) -> Response:
    process.core.counts.add("answers", str(status))
    headers = _make_headers(process, retry_after)
    content = msgspec.json.encode(body)
    return Response(content, status, headers, JSON_MEDIA_TYPE)


def _make_headers(
    process: "RunEntryProcess", retry_after: float | None
) -> dict[str, str]:
    headers = {}
    if retry_after is not None:
        headers["Retry-After"] = str(math.ceil(retry_after))
    if process.core.stopping:
        # A connection kept alive would be closed during the caller's next request.
        headers["Connection"] = "close"
    return headers
