"""HTTP interface for the reports of the endpoint on the agent's VM."""

from typing import TYPE_CHECKING

import msgspec
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from godwitbank._internal.core.runs.events import EndpointExiting, ReportReceived
from godwitbank._internal.platform.bodies import decode_exit, decode_report
from godwitbank._internal.platform.requests import BodyTooLargeError, read_body

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_agent import RunAgentProcess

INSTANCE_PATH_PREFIX = "/-/instances/"

MAX_REPORT_BYTES = 64 * 1024
"""Longest body of a report; all entries are told of what it says."""


def make_reports_app(process: "RunAgentProcess") -> ASGIApp:
    """Make the ASGI application that receives the endpoint's reports."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            response = await _handle_report(process, Request(scope, receive))
            await response(scope, receive, send)

    return serve


async def _handle_report(process: "RunAgentProcess", request: Request) -> Response:
    instance = request.url.path.removeprefix(INSTANCE_PATH_PREFIX)
    if not instance or "/" in instance:
        return _respond({"error": "no such path"}, 404)
    if request.method == "DELETE":
        return await _handle_exit(process, request, instance)
    if request.method != "PUT":
        return _respond({"error": "method not allowed"}, 405)
    try:
        body = await read_body(request, MAX_REPORT_BYTES)
        event = ReportReceived(decode_report(instance, body))
    except ClientDisconnect:
        return _respond({}, 499)
    except BodyTooLargeError:
        process.record_refused_report(instance, "too large")
        return _respond({"error": "the body is too large"}, 413)
    except msgspec.DecodeError as error:
        process.record_refused_report(instance, str(error))
        return _respond({"error": str(error)}, 400)
    process.put(event)
    return _respond({})


async def _handle_exit(
    process: "RunAgentProcess", request: Request, instance: str
) -> Response:
    try:
        born = decode_exit(await read_body(request, MAX_REPORT_BYTES))
    except ClientDisconnect:
        return _respond({}, 499)
    except BodyTooLargeError:
        born = 0
    process.put(EndpointExiting(instance, born))
    return _respond({})


def _respond(body: dict[str, str], status: int = 200) -> Response:
    return Response(msgspec.json.encode(body), status, media_type="application/json")
