"""The platform's store: calls, and what this project keeps there."""

import asyncio
import base64

import msgspec

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.models.jobs import EndpointReport
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.platform.client import CALL_ERRORS, StoreHttpClient
from godwitbank._internal.platform.rows import (
    ReadResult,
    Row,
    decode_address,
    decode_rows,
    decode_stored_report,
)

CALL_TIMEOUT_SECONDS = 1.5
"""Longest wait for the store's answer; it answers in some milliseconds."""

RETRY_DELAY_SECONDS = 0.3
"""Pause after a call that failed."""

MAX_LOGGED_ROWS = 100
"""Rows that can't be used which are logged; all are counted."""

REPORTS_TABLE = "reports"
"""Our table of the endpoints' last reports, one row a VM."""

ENTRIES_TABLE = "entries"
"""Our table of the entries' stream addresses, one row a VM."""


class StoreClient:
    """Reads rows, and keeps ours."""

    def __init__(
        self, calls: StoreHttpClient, name: str, log: DecisionLog, counts: Counts
    ) -> None:
        self._name = name
        self._counts = counts
        self._unusable: set[tuple[str, str]] = set()
        self._log = log
        self._lost = False
        self._calls = calls

    def record_unusable_row(self, table: str, key: str, reason: str) -> None:
        """Count a row that can't be used, and log it once."""
        self._counts.add("rows_unusable", table)
        if (table, key) in self._unusable:
            return
        if len(self._unusable) < MAX_LOGGED_ROWS:
            self._unusable.add((table, key))
            fields = {"table": table, "key": key, "reason": reason}
            self._log.write("row_unusable", "", fields)

    async def get_rows(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> ReadResult:
        """Read rows of one table.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        :raises msgspec.DecodeError: when the answer is no answer about rows.
        """
        content = await self._calls.read(path, query, timeout_seconds)
        self._regain()
        read = decode_rows(content)
        if read.undecodable_count:
            self.record_unusable_row(
                query["table"], "", f"{read.undecodable_count} can't be decoded"
            )
        return read

    async def register_entry(self, address: str) -> None:
        """Write where this entry's streams are, until it succeeds."""
        while True:
            try:
                await self._put(ENTRIES_TABLE, address.encode())
                return
            except CALL_ERRORS as error:
                await self.wait_before_retry(error)

    async def _put(self, table: str, value: bytes) -> None:
        """Write this VM's row of a table, whatever stood there."""
        text = base64.b64encode(value).decode()
        row = {"table": table, "part": "", "key": self._name, "value": text}
        body = msgspec.json.encode({"expect-rev": [], "puts": [row], "remove": []})
        await self._calls.write("/-/rows-tx", body, CALL_TIMEOUT_SECONDS)
        self._regain()

    async def store_report(self, report: EndpointReport) -> None:
        """Keep the endpoint's report; tried once, as the next may differ."""
        try:
            await self._put(REPORTS_TABLE, msgspec.json.encode(report))
        except CALL_ERRORS as error:
            fields = {"error": type(error).__name__}
            self._log.write("report_not_kept", "", fields)

    async def read_stored_report(self) -> EndpointReport | None:
        """Find the report kept last on this VM; ``None`` if that fails."""
        query = {
            "table": REPORTS_TABLE,
            "part": "",
            "from": self._name,
            "page-limit": "1",
        }
        try:
            rows = await self.get_rows("/-/rows-get", query, CALL_TIMEOUT_SECONDS)
            for row in rows.rows:
                if row.key == self._name:
                    return self._decode_report(row)
        except (*CALL_ERRORS, msgspec.DecodeError) as error:
            fields = {"error": type(error).__name__}
            self._log.write("report_not_recalled", "", fields)
        return None

    def _decode_report(self, row: Row) -> EndpointReport | None:
        report = decode_stored_report(row.value)
        if report is None:
            self.record_unusable_row(REPORTS_TABLE, row.key, "no report")
        return report

    async def read_entry_addresses(self) -> tuple[str, ...]:
        """Read where entries are, until it succeeds."""
        query = {"table": ENTRIES_TABLE, "part": ""}
        while True:
            try:
                rows = await self.get_rows("/-/rows-get", query, CALL_TIMEOUT_SECONDS)
                return self._decode_addresses(rows)
            except (*CALL_ERRORS, msgspec.DecodeError) as error:
                await self.wait_before_retry(error)

    def _decode_addresses(self, read: ReadResult) -> tuple[str, ...]:
        addresses = []
        for row in read.rows:
            address = decode_address(row.value)
            if address is None:
                self.record_unusable_row(ENTRIES_TABLE, row.key, "no address")
            else:
                addresses.append(address)
        return tuple(addresses)

    async def wait_before_retry(self, error: Exception) -> None:
        """Wait before the next call after one that failed."""
        if not self._lost:
            self._lost = True
            self._log.write("store_lost", "", {"error": type(error).__name__})
        await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _regain(self) -> None:
        if self._lost:
            self._lost = False
            self._log.write("store_regained", "", {})

    def close(self) -> None:
        """Close connections."""
        self._calls.close()
