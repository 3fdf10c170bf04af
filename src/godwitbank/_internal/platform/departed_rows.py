"""Removal of the rows of entries that are gone for good."""

import asyncio
from collections.abc import Collection
from typing import TYPE_CHECKING

import msgspec

from godwitbank._internal.core.runs.departed import DepartedEntries
from godwitbank._internal.operations.clocks import read_boot_time
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.platform.client import CALL_ERRORS
from godwitbank._internal.platform.rows import Row, decode_address
from godwitbank._internal.platform.store import (
    CALL_TIMEOUT_SECONDS,
    ENTRIES_TABLE,
    StoreClient,
)

if TYPE_CHECKING:
    from godwitbank._internal.operations.run_entry import RunEntryProcess

CHECK_SECONDS = 3.0
"""Interval of the checks, in seconds. A VM that starts at an address that was gone
connects to the other entries within that time."""


class DepartedRows:
    """Rows of entries that are gone, as read at the last check.

    A row is removed at the second check that finds it unchanged. An entry that has just
    registered at an address that was gone before would otherwise lose its row.
    """

    def __init__(self, store: StoreClient, log: DecisionLog) -> None:
        self._store = store
        self._log = log
        self._versions: dict[str, int] = {}
        self._removed: frozenset[str] = frozenset()

    async def remove(self, addresses: Collection[str]) -> None:
        """Remove the rows with some addresses.

        The store isn't read again for addresses that had no row at the last check.

        :param addresses: addresses of all entries that are gone now.
        """
        if not set(addresses) - self._removed:
            self._removed &= frozenset(addresses)
            return
        try:
            rows = await self._read(addresses)
            for row in rows:
                if self._versions.get(row.key) == row.version:
                    await self._store.remove_row(ENTRIES_TABLE, row)
                    self._log.write("entry_removed", "", {"key": row.key})
            self._versions = {row.key: row.version for row in rows}
            found = {decode_address(row.value) for row in rows}
            self._removed = frozenset(set(addresses) - found)
        except (*CALL_ERRORS, msgspec.DecodeError) as error:
            fields = {"error": type(error).__name__}
            self._log.write("entry_not_removed", "", fields)

    async def _read(self, addresses: Collection[str]) -> list[Row]:
        query = {"table": ENTRIES_TABLE, "part": ""}
        read = await self._store.get_rows("/-/rows-get", query, CALL_TIMEOUT_SECONDS)
        return [row for row in read.rows if decode_address(row.value) in addresses]


async def remove_departed_entries(
    store: StoreClient, process: "RunEntryProcess", log: DecisionLog
) -> None:
    """Remove the addresses of entries that are gone for good from the store."""
    core = process.core
    departed = DepartedEntries(core.links, core.handover.reachability)
    rows = DepartedRows(store, log)
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        await rows.remove(departed.update(read_boot_time()))
