"""The two programs as the platform starts them."""

import asyncio
import os
import signal
import uuid
from random import Random
from typing import Any

from litestar import Litestar, Response, get

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.identity import Identity
from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.run_agent import RunAgentProcess
from godwitbank._internal.operations.run_entry import RunEntryProcess
from godwitbank._internal.operations.server import HttpServer, bind
from godwitbank._internal.platform.settings import METRICS_PORT, PlatformSettings
from godwitbank._internal.platform.store import StoreClient

STANDARD_OUTPUT = 1


def _identify(settings: PlatformSettings) -> Identity:
    incarnation = uuid.uuid4().hex
    return Identity(settings.name, incarnation, settings.stream, settings.zone)


def _make_monitoring_app(process: Any) -> Litestar:
    @get("/-/ready")
    async def show_ready() -> Response[bytes]:
        return Response(b"", status_code=200 if process.core.ready else 503)

    @get("/status")
    async def show_status() -> dict[str, object]:
        status: dict[str, object] = process.core.describe()
        return status

    @get("/metrics")
    async def show_metrics() -> Response[bytes]:
        return Response(process.exporter.render(), media_type="text/plain")

    return Litestar(
        route_handlers=[show_ready, show_status, show_metrics],
        openapi_config=None,
        logging_config=None,
    )


def _watch_settings(
    process: RunAgentProcess | RunEntryProcess, log: DecisionLog
) -> None:
    def reload() -> None:
        try:
            settings = PlatformSettings.from_environment()
        except SettingsError as error:
            # The old settings stay in force; a process must not die of a file.
            log.write("settings_rejected", "", {"error": error.message})
            return
        log.write("settings_reloaded", "", {"seeds": settings.seeds})
        process.learn_entries(settings.seeds)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


async def serve_agent() -> None:
    """Run the agent until it is stopped."""
    from godwitbank._internal.platform.endpoint import EndpointOrders
    from godwitbank._internal.platform.reports import make_reports_app

    settings = PlatformSettings.from_environment()
    log = DecisionLog(STANDARD_OUTPUT, settings.name, read_boot_time)
    orders = EndpointOrders(settings.endpoint)
    counts = Counts()
    store = StoreClient(settings.store, settings.name, log, counts)
    process = RunAgentProcess(_identify(settings), orders, store, log, counts)
    _watch_settings(process, log)
    reports = HttpServer(
        make_reports_app(process), bind(settings.listen_control, "listen.control")
    )
    await reports.start()
    process.learn_entries(settings.seeds)
    finder = asyncio.create_task(_find_entries(store, process))
    monitoring = HttpServer(
        _make_monitoring_app(process), bind(f"{settings.ip}:{METRICS_PORT}", "metrics")
    )
    await monitoring.start()
    await process.run()
    finder.cancel()
    await store.close()


async def _find_entries(
    store: StoreClient, process: RunAgentProcess | RunEntryProcess
) -> None:
    process.learn_entries(await store.find_entries())


async def serve_entry(stream_bind: str = "") -> None:
    """Run the entry until it is stopped.

    :param stream_bind: ``host:port`` to listen on for streams, where something
        between passes on what comes to the address that others are told.
    """
    from godwitbank._internal.platform.callers import make_callers_app

    settings = PlatformSettings.from_environment()
    log = DecisionLog(STANDARD_OUTPUT, settings.name, read_boot_time)
    counts = Counts()
    rng = Random(os.urandom(8))
    process = RunEntryProcess(_identify(settings), rng, log, counts)
    _watch_settings(process, log)
    loop = asyncio.get_running_loop()
    listener = bind(stream_bind or settings.stream, "port-range")
    server = await loop.create_server(process.streams.make_accepted, sock=listener)
    process.learn_entries(settings.seeds)
    store = StoreClient(settings.store, settings.name, log, counts)
    watchers = [
        asyncio.create_task(store.watch_configuration(process.install)),
        asyncio.create_task(store.register_entry(settings.stream)),
        asyncio.create_task(_find_entries(store, process)),
    ]
    callers = HttpServer(
        make_callers_app(process), bind(settings.listen_callers, "listen.front")
    )
    await callers.start()
    addresses = [f"{settings.ip}:{METRICS_PORT}"]
    addresses += [
        each for each in (settings.listen_ready, settings.listen_control) if each
    ]
    monitoring = HttpServer(
        _make_monitoring_app(process), *(bind(each, "listen") for each in addresses)
    )
    await monitoring.start()
    await process.run()
    for watcher in watchers:
        watcher.cancel()
    server.close()
    await callers.stop()
    await process.close()
    await store.close()
