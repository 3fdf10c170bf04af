"""The agent's local HTTP interface for its endpoint and for monitoring."""

from typing import Any, Protocol, TypedDict

from litestar import Litestar, Response, delete, get, put
from litestar.exceptions import HTTPException

from godwitbank._internal.core.agent import AgentCore
from godwitbank._internal.http.problems import (
    METRICS_MEDIA_TYPE,
    handle_http_error,
    make_request_problem,
)
from godwitbank._internal.models.document import MAX_SLOTS
from godwitbank._internal.operations.metrics import Exporter

MAX_LEASE_SECONDS = 60.0


class Announcement(TypedDict):
    """Request body with which an endpoint registers or renews its registration.

    :param service: name of the service that the endpoint runs tasks for.
    :param url: base URL; tasks are posted to ``/run`` below it.
    :param slots: number of tasks that it runs at a time.
    :param connections: maximum number of connections that the agent opens to it.
    :param lease_seconds: seconds after which the registration lapses if not renewed.
    :param instance: id that the endpoint chose for this run of its process.
    """

    service: str
    url: str
    slots: int
    connections: int
    lease_seconds: float
    instance: str


def _find_announcement_error(announcement: Announcement) -> str | None:
    if not announcement["service"]:
        return "service is empty"
    if not announcement["url"].startswith("http://"):
        return "url doesn't start with http://"
    if not 1 <= announcement["slots"] <= MAX_SLOTS:
        return f"slots lie between 1 and {MAX_SLOTS}"
    if announcement["connections"] < announcement["slots"]:
        return "fewer connections than slots"
    if not 0 < announcement["lease_seconds"] <= MAX_LEASE_SECONDS:
        return f"lease_seconds lie between 0 and {MAX_LEASE_SECONDS:g}"
    return None


class Agent(Protocol):
    """Interface of the agent process that the application uses."""

    core: AgentCore
    exporter: Exporter

    async def handle_announcement(self, announcement: Announcement) -> None:
        """Register the endpoint or renew its registration."""

    async def handle_departure(self) -> None:
        """Record that the endpoint is leaving."""


def make_app(process: Agent) -> Litestar:
    """Create the HTTP application of an agent."""

    @put("/v1/endpoint", summary="Announce the endpoint, or renew.")
    async def announce(data: Announcement) -> Response[bytes] | dict[str, Any]:
        error = _find_announcement_error(data)
        if error is not None:
            return make_request_problem(
                422, "wrong_announcement", error, "mend the body"
            )
        await process.handle_announcement(data)
        return process.core.describe()

    @delete("/v1/endpoint", summary="Say that the endpoint leaves.", status_code=200)
    async def leave() -> dict[str, Any]:
        await process.handle_departure()
        return process.core.describe()

    @get("/v1/endpoint", summary="Show the agent's state.")
    async def show() -> dict[str, Any]:
        return process.core.describe()

    @get("/v1/health", summary="Say that this process lives.")
    async def show_health() -> dict[str, str]:
        return {"status": "alive"}

    @get("/metrics", summary="Counters and percentiles.", media_type="text/plain")
    async def show_metrics() -> Response[bytes]:
        return Response(process.exporter.render(), media_type=METRICS_MEDIA_TYPE)

    return Litestar(
        route_handlers=[announce, leave, show, show_health, show_metrics],
        exception_handlers={HTTPException: handle_http_error},
        openapi_config=None,
        logging_config=None,
    )
