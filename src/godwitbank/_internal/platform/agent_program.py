"""The agent as the platform starts it."""

import asyncio
import socket

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.run_agent import RunAgentProcess
from godwitbank._internal.operations.server import HttpServer
from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.client import StoreCalls
from godwitbank._internal.platform.endpoint import EndpointOrders
from godwitbank._internal.platform.monitoring import make_agent_monitoring
from godwitbank._internal.platform.programs import (
    STANDARD_OUTPUT,
    find_entries,
    identify,
    watch_settings,
)
from godwitbank._internal.platform.reports import make_reports_app
from godwitbank._internal.platform.settings import METRICS_PORT, PlatformSettings
from godwitbank._internal.platform.store import StoreClient


async def serve_agent(settings: PlatformSettings, reports_at: socket.socket) -> None:
    """Run the agent until it is stopped.

    :param reports_at: listening socket that the endpoint reports to.
    """
    orders = EndpointOrders(settings.endpoint)
    counts = Counts()
    log = DecisionLog(STANDARD_OUTPUT, settings.name, read_boot_time, counts)
    store = StoreClient(StoreCalls(settings.store), settings.name, log, counts)
    process = RunAgentProcess(
        identify(settings), orders, store, log, counts, settings.deployment
    )
    watch_settings(process, log)
    process.add_entry_addresses(settings.seeds)
    finder = asyncio.create_task(find_entries(store, process))
    metrics_at = bind(f"{settings.ip}:{METRICS_PORT}", "metrics")
    servers = [
        HttpServer(make_reports_app(process), reports_at, accepts_per_iteration=1),
        HttpServer(make_agent_monitoring(process), metrics_at, accepts_per_iteration=1),
    ]
    for server in servers:
        await server.start()
    await process.run()
    finder.cancel()
    for server in servers:
        await server.stop()
    store.close()
