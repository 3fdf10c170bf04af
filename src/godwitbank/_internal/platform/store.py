"""Client of the platform's store, and the tables that this project keeps there."""

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
"""Timeout of a short call; the store normally answers within milliseconds."""

RETRY_DELAY_SECONDS = 0.3
"""Delay after a failed call."""

MAX_STORE_DELAY_SECONDS = 2.4
"""Longest delay between attempts to store a report: all agents do so in an outage."""

MAX_LOGGED_ROWS = 100
"""Most unusable rows that are logged; all of them are counted."""

REPORTS_TABLE = "reports"
"""Table of the endpoints' last reports, with one row for each VM."""

ENTRIES_TABLE = "entries"
"""Table of the entries' stream addresses, with one row for each VM."""


class StoreClient:
    """Reads rows from the store, and writes those of this VM.

    :param calls: sends the HTTP requests.
    :param name: name of this VM, the key of its rows.
    :param log: receives unusable rows, failed calls and recoveries.
    :param counts: receives the number of unusable rows.
    """

    def __init__(
        self, calls: StoreHttpClient, name: str, log: DecisionLog, counts: Counts
    ) -> None:
        self._name = name
        self._counts = counts
        self._logged_rows: set[tuple[str, str]] = set()
        self._log = log
        self._is_failing = False
        self._unstored_report: EndpointReport | None = None
        self._calls = calls

    def record_unusable_row(self, table: str, key: str, reason: str) -> None:
        """Count an unusable row, and log it the first time."""
        self._counts.add("rows_unusable", table)
        if (table, key) in self._logged_rows:
            return
        if len(self._logged_rows) < MAX_LOGGED_ROWS:
            self._logged_rows.add((table, key))
            fields = {"table": table, "key": key, "reason": reason}
            self._log.write("row_unusable", "", fields)

    async def get_rows(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> ReadResult:
        """Read rows of one table.

        :param path: path of the call, one that returns rows.
        :param query: parameters of the call, ``table`` among them.
        :param timeout_seconds: longest wait for the answer.
        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        :raises msgspec.DecodeError: when the answer has another format.
        """
        content = await self._calls.read(path, query, timeout_seconds)
        self._mark_connected()
        read = decode_rows(content)
        if read.undecodable_count:
            self.record_unusable_row(
                query["table"], "", f"{read.undecodable_count} can't be decoded"
            )
        return read

    async def register_entry(self, address: str) -> None:
        """Write this entry's stream address, retrying until it succeeds."""
        while True:
            try:
                await self._write_row(ENTRIES_TABLE, address.encode())
                return
            except CALL_ERRORS as error:
                await self.wait_before_retry(error)

    async def _write_row(self, table: str, value: bytes) -> None:
        """Write this VM's row of a table, overwriting any earlier value."""
        text = base64.b64encode(value).decode()
        row = {"table": table, "part": "", "key": self._name, "value": text}
        body = msgspec.json.encode({"expect-rev": [], "puts": [row], "remove": []})
        await self._calls.write("/-/rows-tx", body, CALL_TIMEOUT_SECONDS)
        self._mark_connected()

    async def store_report(self, report: EndpointReport) -> None:
        """Store the endpoint's report, retrying until it succeeds.

        Writes follow one another, so that an earlier report never overwrites a later
        one. A report that has become outdated in the meantime isn't stored any more.
        """
        is_storing = self._unstored_report is not None
        self._unstored_report = report
        if is_storing:
            return
        delay = RETRY_DELAY_SECONDS
        while self._unstored_report is not None:
            if await self._try_to_store(self._unstored_report):
                delay = RETRY_DELAY_SECONDS
            else:
                await asyncio.sleep(delay)
                delay = min(2 * delay, MAX_STORE_DELAY_SECONDS)

    async def _try_to_store(self, report: EndpointReport) -> bool:
        try:
            await self._write_row(REPORTS_TABLE, msgspec.json.encode(report))
        except CALL_ERRORS as error:
            fields = {"error": type(error).__name__, "cpu": report.capacity.cpu}
            self._log.write("report_not_kept", "", fields)
            return False
        if self._unstored_report is report:
            self._unstored_report = None
        return True

    async def read_stored_report(self) -> EndpointReport | None:
        """Read the report that was last stored for this VM.

        :return: the report, or ``None`` if there is none or it can't be read.
        """
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
        """Read the entries' stream addresses, retrying until it succeeds."""
        query = {"table": ENTRIES_TABLE, "part": ""}
        while True:
            try:
                rows = await self.get_rows("/-/rows-get", query, CALL_TIMEOUT_SECONDS)
                return self._decode_addresses(rows)
            except (*CALL_ERRORS, msgspec.DecodeError) as error:
                await self.wait_before_retry(error)

    async def remove_row(self, table: str, row: Row) -> None:
        """Remove a row unless it was written again since it was read.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        """
        key = {"table": table, "part": "", "key": row.key}
        expected = {**key, "ver": row.version}
        changes = {"expect-rev": [expected], "puts": [], "remove": [key]}
        body = msgspec.json.encode(changes)
        await self._calls.write("/-/rows-tx", body, CALL_TIMEOUT_SECONDS)
        self._mark_connected()

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
        """Wait before the next call; log the failure if it is the first in a row."""
        if not self._is_failing:
            self._is_failing = True
            self._log.write("store_lost", "", {"error": type(error).__name__})
        await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _mark_connected(self) -> None:
        if self._is_failing:
            self._is_failing = False
            self._log.write("store_regained", "", {})

    def close(self) -> None:
        """Close all connections."""
        self._calls.close()
