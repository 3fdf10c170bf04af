"""Client of the platform's transactional table service.

The service commits a set of writes if a set of rows is unchanged. A write whose
response was lost may have been committed. Callers must not assume either: they read
the rows back or send the same write again.
"""

from typing import Any, NamedTuple, TypedDict

import httpx

from godwitbank._internal.exceptions import TableError
from godwitbank._internal.network.connections import Connections

READ_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 1.5

MAX_CONNECTIONS = 8
"""Most connections to the table service; further calls wait for one."""


class Row(NamedTuple):
    """A row of the table.

    :param version: 0 if the row doesn't exist.
    """

    key: str
    version: int
    value: Any


class Put(TypedDict):
    """A conditional write: the row must be at ``version``."""

    key: str
    version: int
    value: Any


class Conflict(NamedTuple):
    """Rows that were not at the expected version."""

    rows: dict[str, Row]


class TableClient:
    """Reads and conditional writes over HTTP."""

    def __init__(self, base_url: str) -> None:
        self._connections = Connections(base_url, MAX_CONNECTIONS)

    async def read(self, key: str) -> Row:
        """Read one row.

        :raises TableError: if the service gives no usable answer.
        """
        body = await self._call("GET", f"/v1/rows/{key}", READ_TIMEOUT_SECONDS, None)
        return Row(key, int(body["version"]), body["value"])

    async def write(self, puts: list[Put], ttl: float = 0.0) -> Conflict | None:
        """Commit all writes or none.

        :param ttl: seconds after which the rows may be deleted; 0 keeps them.
        :return: the conflicting rows, or ``None`` if the writes were committed.
        :raises TableError: if it isn't known whether the writes were committed.
        """
        request = {"puts": puts, "ttl": ttl}
        body = await self._call(
            "POST", "/v1/transactions", WRITE_TIMEOUT_SECONDS, request
        )
        if body["committed"]:
            return None
        rows = {
            row["key"]: Row(row["key"], int(row["version"]), row["value"])
            for row in body["conflicts"]
        }
        return Conflict(rows)

    async def delete(self, values: dict[str, Any]) -> None:
        """Delete the rows that still have these values.

        :raises TableError: if it isn't known whether the deletion was committed.
        """
        request = {"deletes": values}
        await self._call("POST", "/v1/deletions", WRITE_TIMEOUT_SECONDS, request)

    async def close(self) -> None:
        """Close the connections."""
        await self._connections.close()

    async def _call(
        self, method: str, path: str, timeout: float, body: Any
    ) -> dict[str, Any]:
        try:
            response = await self._connections.request(method, path, timeout, body)
            if response.status_code != httpx.codes.OK:
                raise TableError(
                    f"the table service answered {response.status_code}",
                    context=path,
                    remedy="wait for the platform's service to recover",
                )
            result: dict[str, Any] = response.json()
        except (httpx.HTTPError, ValueError) as error:
            raise TableError(
                "the table service gave no answer",
                context=f"{path}: {type(error).__name__}",
                remedy="wait for the platform's service to recover",
            ) from None
        return result
