"""A stand-in for the platform's metadata store: rows, transactions, a change feed.

Usage: ``python -m standins.platform_store ADDRESS``. ``PUT /control`` sets fields of
``Store``: it makes the store unavailable to callers from some addresses or to all
(with an error, or without any response), makes it lose the responses of writes that
took effect, or truncates the history of changes. ``PUT /operator`` writes a row of a
table that only operators may write, and ``DELETE /operator`` removes one.
"""

import asyncio
import base64
import sys
from typing import Any, NamedTuple

import msgspec
import uvicorn
from litestar import Litestar, Request, Response, delete, get, post, put

MAX_PAGE_ROWS = 500
"""Maximum number of rows in one response."""

OPERATORS_TABLES = {"op", "servers"}


class RowKey(NamedTuple):
    """The table, partition and key of a row."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """The value of a row and the revision of its last change.

    :param value: ``None`` if the row was removed.
    """

    value: str | None
    ver: int


class Store:
    """Rows, their revisions, and the fault controls."""

    def __init__(self) -> None:
        self.rows: dict[RowKey, Row] = {}
        self.revision = 0
        self.changed = asyncio.Event()
        self.oldest = 0
        """Oldest revision from which the change feed can continue."""
        self.turned_away: list[str] = []
        """IP addresses whose requests are refused; ``all`` stands for every address."""
        self.silent = False
        """Whether refused requests get no response instead of an error."""
        self.lose_answers = 0
        """Number of coming transactions that take effect but get no response."""

    def commit(self, body: dict[str, Any]) -> bool:
        """Apply all changes of a transaction, or none if a revision doesn't match.

        :return: whether the changes were applied.
        """
        for expected in body.get("expect-rev", []):
            row = self.rows.get(_make_key(expected))
            current = row.ver if row and row.value is not None else 0
            if current != expected["ver"]:
                return False
        self.revision += 1
        for each in body.get("puts", []):
            self.rows[_make_key(each)] = Row(each["value"], self.revision)
        for each in body.get("remove", []):
            self.rows[_make_key(each)] = Row(None, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()
        return True

    def make_answer(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        """Make the body of a response that holds rows."""
        return {
            "rows": rows,
            "has-more": False,
            "ver": self.revision,
            "server-time-ms": 0,
        }

    def list_rows(self, table: str, after: int | None) -> list[dict[str, Any]]:
        """List the rows of a table, or those that changed after a revision.

        :param after: the revision; ``None`` lists all rows, without removed ones.
        """
        rows = []
        for key, row in self.rows.items():
            if key.table != table or (after is not None and row.ver <= after):
                continue
            if row.value is None and after is None:
                continue
            entry: dict[str, Any] = {**key._asdict(), "ver": row.ver}
            if row.value is None:
                entry["removed"] = True
            else:
                entry["value"] = row.value
            rows.append(entry)
        return sorted(rows, key=lambda row: row["key"])


def _make_key(entry: dict[str, Any]) -> RowKey:
    return RowKey(entry["table"], entry.get("part", ""), entry["key"])


def make_app(store: Store) -> Litestar:
    """Make the HTTP application of the store."""

    async def refuse_if_unavailable(request: Request) -> Response[Any] | None:
        caller = request.client.host if request.client else ""
        if caller in store.turned_away or "all" in store.turned_away:
            if store.silent:
                await asyncio.sleep(3600)
            return Response({"error": "unavailable"}, status_code=503)
        return None

    @post("/-/rows-tx", status_code=200)
    async def transact(request: Request) -> Response[Any]:
        refused = await refuse_if_unavailable(request)
        if refused is not None:
            return refused
        body = msgspec.json.decode(await request.body())
        touched = [*body.get("puts", []), *body.get("remove", [])]
        if any(each["table"] in OPERATORS_TABLES for each in touched):
            return Response({"error": "not yours"}, status_code=403)
        committed = store.commit(body)
        if store.lose_answers > 0:
            store.lose_answers -= 1
            await asyncio.sleep(3600)
        return Response(store.make_answer([]), status_code=200 if committed else 412)

    @get("/-/rows-get")
    async def read(request: Request) -> Response[Any]:
        refused = await refuse_if_unavailable(request)
        if refused is not None:
            return refused
        table = request.query_params["table"]
        first = request.query_params.get("from", "")
        rows = [row for row in store.list_rows(table, None) if row["key"] >= first]
        limit = int(request.query_params.get("page-limit", MAX_PAGE_ROWS))
        body = store.make_answer(rows[:limit])
        return Response({**body, "has-more": len(rows) > limit})

    @get("/-/rows-feed")
    async def follow(request: Request) -> Response[Any]:
        refused = await refuse_if_unavailable(request)
        if refused is not None:
            return refused
        table = request.query_params["table"]
        after = int(request.query_params["after"])
        if after < store.oldest:
            return Response({"error": "history is gone"}, status_code=410)
        try:
            async with asyncio.timeout(int(request.query_params["wait-ms"]) / 1000):
                while not store.list_rows(table, after):
                    await store.changed.wait()
        except TimeoutError:
            return Response(store.make_answer([]))
        return Response(store.make_answer(store.list_rows(table, after)))

    @put("/operator", status_code=200)
    async def operate(request: Request) -> dict[str, int]:
        value = base64.b64encode(await request.body()).decode()
        row = {"table": "op", "key": request.query_params["key"], "value": value}
        store.commit({"puts": [row]})
        return {"ver": store.revision}

    @delete("/operator", status_code=200)
    async def remove(request: Request) -> dict[str, int]:
        row = {"table": "op", "key": request.query_params["key"]}
        store.commit({"remove": [row]})
        return {"ver": store.revision}

    @put("/control", status_code=200)
    async def control(request: Request) -> dict[str, Any]:
        for name, value in msgspec.json.decode(await request.body()).items():
            setattr(store, name, value)
        if "oldest" in await request.json():
            store.oldest = store.revision
        return {}

    return Litestar(
        route_handlers=[transact, read, follow, operate, remove, control],
        openapi_config=None,
        logging_config=None,
    )


async def main() -> None:
    """Serve until killed."""
    host, _, port = sys.argv[1].rpartition(":")
    config = uvicorn.Config(
        make_app(Store()), host=host, port=int(port), log_level="warning"
    )
    await uvicorn.Server(config).serve()


if __name__ == "__main__":
    asyncio.run(main())
