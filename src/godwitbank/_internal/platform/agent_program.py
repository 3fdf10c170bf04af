"""The agent as the platform starts it.

Its few HTTP paths are served by ``aiohttp``, which it has imported for its calls. With
``litestar`` and ``uvicorn`` it took 0.55 s of a core to import everything, and takes
0.27 s without: half the time until a restarted agent renews its endpoint's lease, and
with 160 agents 45 s of a core whenever all start.
"""

import asyncio
import socket

from aiohttp import web

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.run_agent import RunAgentProcess
from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.endpoint import EndpointOrders
from godwitbank._internal.platform.programs import (
    STANDARD_OUTPUT,
    find_entries,
    identify,
    watch_settings,
)
from godwitbank._internal.platform.reports import add_report_routes
from godwitbank._internal.platform.settings import METRICS_PORT, PlatformSettings
from godwitbank._internal.platform.store import StoreClient


def _add_monitoring_routes(app: web.Application, process: RunAgentProcess) -> None:
    async def show_status(request: web.Request) -> web.Response:
        del request
        return web.json_response(process.core.describe())

    async def show_metrics(request: web.Request) -> web.Response:
        del request
        return web.Response(body=process.exporter.render(), content_type="text/plain")

    app.router.add_get("/status", show_status)
    app.router.add_get("/metrics", show_metrics)


async def _serve(app: web.Application, listener: socket.socket) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.SockSite(runner, listener).start()
    return runner


async def serve_agent(settings: PlatformSettings, reports_at: socket.socket) -> None:
    """Run the agent until it is stopped.

    :param reports_at: listening socket that the endpoint reports to.
    """
    orders = EndpointOrders(settings.endpoint)
    counts = Counts()
    log = DecisionLog(STANDARD_OUTPUT, settings.name, read_boot_time, counts)
    store = StoreClient(settings.store, settings.name, log, counts)
    process = RunAgentProcess(identify(settings), orders, store, log, counts)
    watch_settings(process, log)
    reports, monitoring = web.Application(), web.Application()
    add_report_routes(reports, process)
    _add_monitoring_routes(monitoring, process)
    servers = [await _serve(reports, reports_at)]
    process.learn_entries(settings.seeds)
    finder = asyncio.create_task(find_entries(store, process))
    metrics_at = bind(f"{settings.ip}:{METRICS_PORT}", "metrics")
    servers.append(await _serve(monitoring, metrics_at))
    await process.run()
    finder.cancel()
    for server in servers:
        await server.cleanup()
    await store.close()
