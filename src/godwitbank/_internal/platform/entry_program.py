"""The entry process as the platform starts it."""

import asyncio
import os
from random import Random

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.poll_limits import PollLimits
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.operations.run_entry import RunEntryProcess
from godwitbank._internal.operations.server import HttpServer
from godwitbank._internal.operations.sockets import bind
from godwitbank._internal.platform.callers import make_callers_app
from godwitbank._internal.platform.client import StoreHttpClient
from godwitbank._internal.platform.departed_rows import remove_departed_entries
from godwitbank._internal.platform.monitoring import make_entry_monitoring
from godwitbank._internal.platform.operators import OperatorTableWatcher, Subscriber
from godwitbank._internal.platform.programs import (
    STDOUT_FD,
    discover_entries,
    make_identity,
    reload_settings_on_sighup,
)
from godwitbank._internal.platform.settings import METRICS_PORT, PlatformSettings
from godwitbank._internal.platform.store import StoreClient


async def serve_entry(stream_bind: str = "") -> None:
    """Run the entry until it is stopped.

    :param stream_bind: ``host:port`` to listen on for streams, if a proxy forwards
        connections from the announced address; empty to listen on the latter.
    """
    settings = PlatformSettings.from_environment()
    counts = Counts()
    log = DecisionLog(STDOUT_FD, settings.name, read_boot_time, counts)
    rng = Random(os.urandom(8))
    process = RunEntryProcess(
        make_identity(settings), rng, log, counts, settings.deployment
    )
    reload_settings_on_sighup(process, log)
    loop = asyncio.get_running_loop()
    listener = bind(stream_bind or settings.stream, "port-range")
    server = await loop.create_server(
        process.streams.make_accepted_stream, sock=listener
    )
    process.add_entry_addresses(settings.seeds)
    store = StoreClient(StoreHttpClient(settings.store), settings.name, log, counts)
    subscriber = Subscriber(
        process.update_evacuation, process.install_configuration, process.count_entries
    )
    poll_limits = PollLimits.from_deployment(settings.deployment)
    tasks = [
        asyncio.create_task(
            OperatorTableWatcher(store, subscriber, poll_limits, log, counts).run()
        ),
        asyncio.create_task(store.register_entry(settings.stream)),
        asyncio.create_task(discover_entries(store, process)),
        asyncio.create_task(remove_departed_entries(store, process, log)),
    ]
    callers = HttpServer(
        make_callers_app(process), bind(settings.listen_callers, "listen.front")
    )
    await callers.start()
    addresses = [f"{settings.ip}:{METRICS_PORT}"]
    addresses += [
        address
        for address in (settings.listen_ready, settings.listen_control)
        if address
    ]
    monitoring = HttpServer(
        make_entry_monitoring(process),
        *(bind(address, "listen") for address in addresses),
        accepts_per_iteration=1,
    )
    await monitoring.start()
    await process.run()
    for task in tasks:
        task.cancel()
    server.close()
    await callers.stop()
    await process.close()
    store.close()
