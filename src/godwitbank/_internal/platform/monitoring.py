"""HTTP interface for the load balancer and the operators' monitoring."""

from typing import TYPE_CHECKING

import msgspec
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_agent import RunAgentProcess
    from godwitbank._internal.operations.run_entry import RunEntryProcess

STATUS_PATHS = ("/status", "/v1/status")
"""Paths of the status page; the second is that of ``godwitbank status``."""


def make_entry_monitoring(process: "RunEntryProcess") -> ASGIApp:
    """Make the ASGI application for an entry's readiness, status and metrics."""
    serve_monitoring = _make_monitoring(process)

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http" and scope["path"] == "/-/ready":
            status = 200 if process.core.ready else 503
            await Response(b"", status)(scope, receive, send)
        else:
            await serve_monitoring(scope, receive, send)

    return serve


def make_agent_monitoring(process: "RunAgentProcess") -> ASGIApp:
    """Make the ASGI application for an agent's status and metrics."""
    return _make_monitoring(process)


def _make_monitoring(process: "RunEntryProcess | RunAgentProcess") -> ASGIApp:
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            response = _render(process, str(scope["path"]))
            await response(scope, receive, send)

    return serve


def _render(process: "RunEntryProcess | RunAgentProcess", path: str) -> Response:
    if path in STATUS_PATHS:
        content = msgspec.json.encode(process.core.describe())
        return Response(content, media_type="application/json")
    if path == "/metrics":
        return Response(process.exporter.render(), media_type="text/plain")
    return Response(b"", 404)
