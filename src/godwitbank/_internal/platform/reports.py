"""What the endpoint reports to the agent on its VM."""

from typing import TYPE_CHECKING

import msgspec
from litestar import Litestar, Request, Response, delete, put

from godwitbank._internal.core.runs.events import Departed, Reported
from godwitbank._internal.platform.bodies import decode_report

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_agent import RunAgentProcess


def make_reports_app(process: "RunAgentProcess") -> Litestar:
    """Make the application that the endpoint reaches."""

    @put("/-/instances/{instance:str}", status_code=200)
    async def report(instance: str, request: Request) -> Response[bytes]:
        try:
            event = Reported(decode_report(instance, await request.body()))
        except msgspec.DecodeError as error:
            process.refuse_report(instance, str(error))
            detail = msgspec.json.encode({"error": str(error)})
            return Response(detail, status_code=400, media_type="application/json")
        process.put(event)
        return Response(b"{}", status_code=200, media_type="application/json")

    @delete("/-/instances/{instance:str}", status_code=200)
    async def leave(instance: str) -> Response[bytes]:
        process.put(Departed(instance))
        return Response(b"{}", status_code=200, media_type="application/json")

    return Litestar(
        route_handlers=[report, leave], openapi_config=None, logging_config=None
    )
