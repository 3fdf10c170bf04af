"""The platform's store: the operators' configuration, and where entries are."""

import asyncio
import base64
from collections.abc import Callable

import httpx
import msgspec
from absl import logging

from godwitbank._internal.models.jobs import Configuration
from godwitbank._internal.platform.bodies import decode_configuration

WATCH_SECONDS = 20.0
"""Longest wait of one look for changes; the store allows 30 s. A connection that
went silent is noticed after this and ``CALL_SECONDS``, so it is also the longest
a change may stay unseen if every peer misses it, too."""

CALL_SECONDS = 1.5
"""Longest wait for the store's answer; it answers in some milliseconds."""

RETRY_SECONDS = 0.3
"""Pause after a call that failed."""

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

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(base_url=f"http://{address}", trust_env=False)

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
            except (httpx.HTTPError, msgspec.DecodeError, ValueError) as error:
                logging.warning("store not read: %s", type(error).__name__)
                seen = 0
                await asyncio.sleep(RETRY_SECONDS)

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
        response = await self._client.get(path, params=query, timeout=seconds)
        response.raise_for_status()
        return _rows_decoder.decode(response.content)

    async def register_entry(self, name: str, address: str) -> None:
        """Write where this entry's streams are, until it succeeds."""
        value = base64.b64encode(address.encode()).decode()
        row = {"table": ENTRIES_TABLE, "part": "", "key": name, "value": value}
        body = msgspec.json.encode({"expect-rev": [], "puts": [row], "remove": []})
        headers = {"Content-Type": "application/json"}
        while True:
            try:
                response = await self._client.post(
                    "/-/rows-tx", content=body, headers=headers, timeout=CALL_SECONDS
                )
                response.raise_for_status()
                return
            except httpx.HTTPError as error:
                logging.warning("entry not registered: %s", type(error).__name__)
                await asyncio.sleep(RETRY_SECONDS)

    async def find_entries(self) -> tuple[str, ...]:
        """Read where entries are, until it succeeds."""
        query = {"table": ENTRIES_TABLE, "part": ""}
        while True:
            try:
                rows = await self._get("/-/rows-get", query, CALL_SECONDS)
                values = [base64.b64decode(row.value).decode() for row in rows.rows]
                return tuple(values)
            except (httpx.HTTPError, msgspec.DecodeError, ValueError) as error:
                logging.warning("entries not read: %s", type(error).__name__)
                await asyncio.sleep(RETRY_SECONDS)

    async def close(self) -> None:
        """Close connections."""
        await self._client.aclose()
