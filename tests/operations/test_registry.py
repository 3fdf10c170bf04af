"""Tests of documents in the table: polls, lagging reads and repeated operations."""

import asyncio
from typing import Any

from godwitbank._internal.network.table import Conflict, Put, Row
from godwitbank._internal.operations.registry import ApplyRequest, DocumentRegistry


class _Table:
    """In-memory table; reads of some keys may return an outdated row."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.outdated_rows: dict[str, Row] = {}
        self.reads = 0

    async def read(self, key: str) -> Row:
        self.reads += 1
        return self.outdated_rows.get(key) or self.rows.get(key, Row(key, 0, None))

    async def write(self, puts: list[Put], ttl: float = 0.0) -> Conflict | None:
        for put in puts:
            version = put["version"] + 1
            self.rows[put["key"]] = Row(put["key"], version, put["value"])
        return None


def _make_registry() -> tuple[_Table, DocumentRegistry, list[tuple[str, int]]]:
    table = _Table()
    delivered: list[tuple[str, int]] = []

    def deliver(service: str, revision: int, text: str) -> None:
        delivered.append((service, revision))

    return table, DocumentRegistry(table, deliver), delivered  # type: ignore[arg-type]


async def _apply(registry: DocumentRegistry, service: str, operation: str) -> int:
    request = ApplyRequest(service, "text", "op", operation, None)
    return await registry.apply(request)


def test_poll_without_a_change_reads_one_small_row() -> None:
    async def run() -> Any:
        table, registry, _ = _make_registry()
        await _apply(registry, "a", "1")
        await registry.refresh({"a": 1})
        before = table.reads
        await registry.refresh({"a": 1})
        return table.reads - before, table.rows["head"].value

    assert asyncio.run(run()) == (1, 1)


def test_lagging_index_is_read_again() -> None:
    """A poll must not miss a change that the head shows and the index doesn't yet.

    The head is read from an up-to-date replica and the index from a lagging one. If the
    head's revision is recorded as processed although the index has a lower one, the
    entry installs the accepted document only at the next change of any service.
    """

    async def run() -> list[tuple[str, int]]:
        table, registry, delivered = _make_registry()
        await _apply(registry, "a", "1")
        outdated_index = table.rows["index"]
        await _apply(registry, "b", "2")
        delivered.clear()
        table.outdated_rows["index"] = outdated_index
        await registry.refresh({"a": 1})
        assert delivered == []
        table.outdated_rows.clear()
        await registry.refresh({"a": 1})
        return delivered

    assert asyncio.run(run()) == [("b", 2)]


def test_same_operation_is_accepted_once() -> None:
    async def run() -> tuple[int, int, int]:
        _, registry, _ = _make_registry()
        first = await _apply(registry, "a", "1")
        await _apply(registry, "a", "2")
        return first, await _apply(registry, "a", "1"), first

    first, again, _ = asyncio.run(run())
    assert again == first == 1
