"""The agent process as the platform starts it."""

import asyncio
import socket

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.run_agent import RunAgentProcess
from godwitbank._internal.operations.server import HttpServer
from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.client import StoreHttpClient
from godwitbank._internal.platform.endpoint import EndpointClient
from godwitbank._internal.platform.monitoring import make_agent_monitoring
from godwitbank._internal.platform.programs import (
    STDOUT_FD,
    discover_entries,
    make_identity,
    reload_settings_on_sighup,
)
from godwitbank._internal.platform.reports import make_reports_app
from godwitbank._internal.platform.settings import METRICS_PORT, PlatformSettings
from godwitbank._internal.platform.store import StoreClient


async def serve_agent(settings: PlatformSettings, report_socket: socket.socket) -> None:
    """Run the agent until it is stopped.

    :param settings: settings that the platform wrote for this VM.
    :param report_socket: listening socket that receives the endpoint's reports.
    """
    orders = EndpointClient(settings.endpoint)
    counts = Counts()
    log = DecisionLog(STDOUT_FD, settings.name, read_boot_time, counts)
    store = StoreClient(StoreHttpClient(settings.store), settings.name, log, counts)
    process = RunAgentProcess(
        make_identity(settings), orders, store, log, counts, settings.deployment
    )
    reload_settings_on_sighup(process, log)
    process.add_entry_addresses(settings.seeds)
    discovery = asyncio.create_task(discover_entries(store, process))
    metrics_socket = bind(f"{settings.ip}:{METRICS_PORT}", "metrics")
    servers = [
        HttpServer(make_reports_app(process), report_socket, accepts_per_iteration=1),
        HttpServer(
            make_agent_monitoring(process), metrics_socket, accepts_per_iteration=1
        ),
    ]
    for server in servers:
        await server.start()
    await process.run()
    discovery.cancel()
    for server in servers:
        await server.stop()
    store.close()
