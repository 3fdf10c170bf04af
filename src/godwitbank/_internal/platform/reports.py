"""What the endpoint reports to the agent on its VM."""

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from godwitbank._internal.core.runs.events import Departed, Reported
from godwitbank._internal.platform.bodies import decode_report

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_agent import RunAgentProcess

PATH = "/-/instances/{instance}"


def add_report_routes(app: web.Application, process: "RunAgentProcess") -> None:
    """Add what the endpoint reaches."""

    async def report(request: web.Request) -> web.Response:
        instance = request.match_info["instance"]
        try:
            event = Reported(decode_report(instance, await request.read()))
        except msgspec.DecodeError as error:
            process.refuse_report(instance, str(error))
            return _respond({"error": str(error)}, status=400)
        process.put(event)
        return _respond({})

    async def leave(request: web.Request) -> web.Response:
        process.put(Departed(request.match_info["instance"]))
        return _respond({})

    app.router.add_put(PATH, report)
    app.router.add_delete(PATH, leave)


def _respond(body: dict[str, str], status: int = 200) -> web.Response:
    content = msgspec.json.encode(body)
    return web.Response(body=content, status=status, content_type="application/json")
