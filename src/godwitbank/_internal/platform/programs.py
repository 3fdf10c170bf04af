"""What both programs need to run on the platform."""

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
    # Each program imports its own only.
    from godwitbank._internal.operations.run_agent import RunAgentProcess
    from godwitbank._internal.operations.run_entry import RunEntryProcess

Process = Union["RunAgentProcess", "RunEntryProcess"]

STDOUT_FD = 1

DISCOVERY_INTERVAL_SECONDS = 3.0
"""Seconds between two looks whether any entry is reached. Those that come back at their
addresses are dialled twice a second meanwhile; a read is paid for."""


def make_identity(settings: PlatformSettings) -> Identity:
    """Choose a new incarnation."""
    incarnation = uuid.uuid4().hex
    return Identity(settings.name, incarnation, settings.stream, settings.zone)


def reload_settings_on_sighup(process: Process, log: DecisionLog) -> None:
    """Read the settings again at a signal."""

    def reload() -> None:
        try:
            settings = PlatformSettings.from_environment()
        except SettingsError as error:
            # The old settings stay in force; a process must not die of a file.
            log.write("settings_rejected", "", {"error": error.message})
            return
        log.write("settings_reloaded", "", {"seeds": settings.seeds})
        process.add_entry_addresses(settings.seeds)

    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload)


async def discover_entries(store: StoreClient, process: Process) -> None:
    """Learn from the store where entries are; again while none is reached.

    All entries may be replaced at other addresses while a process is cut off: nobody
    is left then who could tell it of them.
    """
    while True:
        process.add_entry_addresses(await store.read_entry_addresses())
        await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)
        while process.core.links.list_peers():
            await asyncio.sleep(DISCOVERY_INTERVAL_SECONDS)
