"""The platform's store: the operators' configuration, and where entries are."""

import asyncio
import base64
from collections.abc import Callable

import msgspec

from godwitbank._internal.models.jobs import Configuration, EndpointReport
from godwitbank._internal.operations.decisions import DecisionLog
from godwitbank._internal.platform.bodies import decode_configuration
from godwitbank._internal.platform.client import FAILURES, make_session, make_timeout

WATCH_SECONDS = 20.0
"""Longest wait of one look for changes; the store allows 30 s. A connection that
went silent is noticed after this and ``CALL_SECONDS``, so it is also the longest
a change may stay unseen if every peer misses it, too."""

CALL_SECONDS = 1.5
"""Longest wait for the store's answer; it answers in some milliseconds."""

RETRY_SECONDS = 0.3
"""Pause after a call that failed."""

MAX_CONNECTIONS = 4
"""Connections to the store: one waits for changes, the others come and go."""

REPORTS_TABLE = "reports"
"""Our table of the endpoints' last reports, one row a VM."""

ENTRIES_TABLE = "entries"
"""Our table of the entries' stream addresses, one row a VM."""


class _Row(msgspec.Struct):
    key: str = ""
    value: str = ""
    removed: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    ver: int = 0


_rows_decoder = msgspec.json.Decoder(_Rows)


class StoreClient:
    """Reads, watches and registers at the store."""

    def __init__(self, address: str, name: str, log: DecisionLog) -> None:
        self._name = name
        self._log = log
        self._lost = False
        self._session = make_session(address, MAX_CONNECTIONS)

    async def watch_configuration(
        self, deliver: Callable[[Configuration], None]
    ) -> None:
        """Deliver each configuration, for ever.

        A lost history or a failed call leads to a whole read.
        """
        seen = 0
        while True:
            try:
                if not seen:
                    seen = await self._read_configuration(deliver)
                seen = await self._await_change(seen, deliver)
            except (*FAILURES, msgspec.DecodeError, ValueError) as error:
                seen = 0
                await self._pause(error)

    async def _read_configuration(
        self, deliver: Callable[[Configuration], None]
    ) -> int:
        rows = await self._get("/-/rows-get", {"table": "op", "part": ""}, CALL_SECONDS)
        self._deliver(rows, deliver)
        return rows.ver

    async def _await_change(
        self, seen: int, deliver: Callable[[Configuration], None]
    ) -> int:
        wait = int(WATCH_SECONDS * 1000)
        query = {"table": "op", "after": str(seen), "wait-ms": str(wait)}
        rows = await self._get("/-/rows-feed", query, WATCH_SECONDS + CALL_SECONDS)
        self._deliver(rows, deliver)
        return rows.ver

    def _deliver(self, rows: _Rows, deliver: Callable[[Configuration], None]) -> None:
        for row in rows.rows:
            if row.key == "config" and not row.removed:
                deliver(decode_configuration(row.value))

    async def _get(self, path: str, query: dict[str, str], seconds: float) -> _Rows:
        async with self._session.get(
            path, params=query, timeout=make_timeout(seconds)
        ) as response:
            response.raise_for_status()
            content = await response.read()
        self._regain()
        return _rows_decoder.decode(content)

    async def register_entry(self, address: str) -> None:
        """Write where this entry's streams are, until it succeeds."""
        while True:
            try:
                await self._put(ENTRIES_TABLE, address.encode())
                return
            except FAILURES as error:
                await self._pause(error)

    async def _put(self, table: str, value: bytes) -> None:
        """Write this VM's row of a table, whatever stood there."""
        text = base64.b64encode(value).decode()
        row = {"table": table, "part": "", "key": self._name, "value": text}
        body = msgspec.json.encode({"expect-rev": [], "puts": [row], "remove": []})
        headers = {"Content-Type": "application/json"}
        async with self._session.post(
            "/-/rows-tx", data=body, headers=headers, timeout=make_timeout(CALL_SECONDS)
        ) as response:
            response.raise_for_status()
            await response.read()
        self._regain()

    async def keep_report(self, report: EndpointReport) -> None:
        """Keep the endpoint's report; tried once, as the next may differ."""
        try:
            await self._put(REPORTS_TABLE, msgspec.json.encode(report))
        except FAILURES as error:
            fields = {"error": type(error).__name__}
            self._log.write("report_not_kept", "", fields)

    async def recall_report(self) -> EndpointReport | None:
        """Find the report kept last on this VM; ``None`` if that fails."""
        query = {
            "table": REPORTS_TABLE,
            "part": "",
            "from": self._name,
            "page-limit": "1",
        }
        try:
            rows = await self._get("/-/rows-get", query, CALL_SECONDS)
            for row in rows.rows:
                if row.key == self._name:
                    value = base64.b64decode(row.value)
                    return msgspec.json.decode(value, type=EndpointReport)
        except (*FAILURES, msgspec.DecodeError, ValueError) as error:
            fields = {"error": type(error).__name__}
            self._log.write("report_not_recalled", "", fields)
        return None

    async def find_entries(self) -> tuple[str, ...]:
        """Read where entries are, until it succeeds."""
        query = {"table": ENTRIES_TABLE, "part": ""}
        while True:
            try:
                rows = await self._get("/-/rows-get", query, CALL_SECONDS)
                values = [base64.b64decode(row.value).decode() for row in rows.rows]
                return tuple(values)
            except (*FAILURES, msgspec.DecodeError, ValueError) as error:
                await self._pause(error)

    async def _pause(self, error: Exception) -> None:
        if not self._lost:
            self._lost = True
            self._log.write("store_lost", "", {"error": type(error).__name__})
        await asyncio.sleep(RETRY_SECONDS)

    def _regain(self) -> None:
        if self._lost:
            self._lost = False
            self._log.write("store_regained", "", {})

    async def close(self) -> None:
        """Close connections."""
        await self._session.close()
