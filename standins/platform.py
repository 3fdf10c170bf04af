"""A stand-in for the platform's table and object store.

Rows have versions; a transaction commits if every row is at the given version.
``PUT /control`` makes the store slow or unavailable, makes it lose the responses of
writes that took effect, or makes reads return the state of some commits ago.
"""

import asyncio
import copy
import sys
from typing import Any

import uvicorn
from litestar import Litestar, Response, get, post, put

WRITE_SECONDS = 0.005
READ_SECONDS = 0.0005


class Store:
    """Rows, objects and fault controls."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {}
        self.stale_rows: dict[str, dict[str, Any]] | None = None
        self.history: list[dict[str, dict[str, Any]]] = []
        self.objects: dict[str, bytes] = {}
        self.writes = 0
        self.reads = 0
        self.control: dict[str, Any] = {
            "down": False,
            "slow_seconds": 0.0,
            "lose_answers": 0,
            "age_reads": 0,
        }

    def read(self, key: str) -> dict[str, Any]:
        """Read a row, from an older state if ``age_reads`` is set."""
        rows = self.rows if self.stale_rows is None else self.stale_rows
        return rows.get(key, {"key": key, "version": 0, "value": None})

    def commit(self, puts: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """Apply all writes of a transaction, or none if a version doesn't match.

        :return: current rows whose version differs from the given one.
        """
        empty = {"version": 0, "value": None}
        conflicts = [
            {**empty, **self.rows.get(each["key"], {}), "key": each["key"]}
            for each in puts
            if self.rows.get(each["key"], empty)["version"] != each["version"]
        ]
        if not conflicts:
            self.history = [*self.history[-3:], copy.copy(self.rows)]
            for each in puts:
                version = each["version"] + 1
                row = {"key": each["key"], "version": version, "value": each["value"]}
                self.rows[each["key"]] = row
        return conflicts


def make_app(store: Store) -> Litestar:
    """Make the HTTP application of the store."""

    def loses_answer() -> bool:
        if store.control["lose_answers"] > 0:
            store.control["lose_answers"] -= 1
            return True
        return False

    async def delay(seconds: float) -> Response | None:
        await asyncio.sleep(seconds + store.control["slow_seconds"])
        if store.control["down"]:
            return Response({"detail": "down"}, status_code=503)
        return None

    @get("/v1/rows/{key:path}")
    async def read_row(key: str) -> Response:
        store.reads += 1
        failed = await delay(READ_SECONDS)
        return failed or Response(store.read(key.lstrip("/")))

    @post("/v1/transactions", status_code=200)
    async def commit(data: dict[str, Any]) -> Response:
        store.writes += 1
        failed = await delay(WRITE_SECONDS)
        if failed:
            return failed
        conflicts = store.commit(data["puts"])
        if loses_answer():
            return Response({"detail": "answer lost"}, status_code=504)
        return Response({"committed": not conflicts, "conflicts": conflicts})

    @post("/v1/deletions", status_code=200)
    async def delete(data: dict[str, Any]) -> Response:
        store.writes += 1
        failed = await delay(WRITE_SECONDS)
        if failed:
            return failed
        for key, value in data["deletes"].items():
            if store.rows.get(key, {}).get("value") == value:
                del store.rows[key]
        return Response({"committed": True})

    @put("/control")
    async def control(data: dict[str, Any]) -> dict[str, Any]:
        store.control.update(data)
        age = int(data.get("age_reads", 0))
        if age:
            store.stale_rows = store.history[-age]
        elif "age_reads" in data:
            store.stale_rows = None
        return store.control

    @get("/control")
    async def show() -> dict[str, Any]:
        counts = {"reads": store.reads, "writes": store.writes}
        return {**store.control, **counts, "rows": len(store.rows)}

    return Litestar(
        route_handlers=[read_row, commit, delete, control, show], openapi_config=None
    )


def main() -> None:
    """Serve on the port given on the command line."""
    app = make_app(Store())
    uvicorn.run(app, host="127.0.0.1", port=int(sys.argv[1]), log_level="warning")


if __name__ == "__main__":
    main()
