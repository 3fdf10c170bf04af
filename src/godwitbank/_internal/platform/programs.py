"""Parts of the startup that the entry and the agent share."""

import asyncio
import signal
import uuid
from typing import TYPE_CHECKING, Union

from godwitbank._internal.core.identity import Identity
from godwitbank._internal.exceptions import SettingsError
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.platform.settings import PlatformSettings
from godwitbank._internal.platform.store import StoreClient

if TYPE_CHECKING:
    # At run time each program imports only its own process class.
    from godwitbank._internal.operations.run_agent import RunAgentProcess
    from godwitbank._internal.operations.run_entry import RunEntryProcess

Process = Union["RunAgentProcess", "RunEntryProcess"]

STDOUT_FD = 1

DISCOVERY_INTERVAL_SECONDS = 3.0
"""Interval of the checks whether any entry is connected. If none is, the addresses are
read from the store again. The interval is long because each read has a cost, and
because entries that return at a known address are dialled twice a second anyway."""


def make_identity(settings: PlatformSettings) -> Identity:
    """Make the identity of this process, with a new random incarnation."""
    incarnation = uuid.uuid4().hex
    return Identity(settings.name, incarnation, settings.stream, settings.zone)


def reload_settings_on_sighup(process: Process, log: DecisionLog) -> None:
    """Read the settings again on each SIGHUP and add the seeds that they name."""

    def reload() -> None:
        try:
            settings = PlatformSettings.from_environment()
        except SettingsError as error:
            # The old settings stay in force: an invalid file must not end the process.
            log.write("settings_rejected", "", {"error": error.message})
            return
        log.write("settings_reloaded", "", {"seeds": settings.seeds})
        process.add_entry_addresses(settings.seeds)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


async def discover_entries(store: StoreClient, process: Process) -> None:
    """Read the entries' addresses from the store, and again while none is connected.

    While a process is cut off from the network, all entries may be replaced at other
    addresses. Then no entry that it knows is left to announce the new ones.
    """
    while True:
        process.add_entry_addresses(await store.read_entry_addresses())
        await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)
        while process.core.links.list_peers():
            await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)
