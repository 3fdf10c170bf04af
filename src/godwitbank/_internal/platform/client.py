"""HTTP client of the platform's store."""

from urllib.parse import urlencode

from godwitbank._internal.network.http_client import (
    HttpClient,
    NoAnswerError,
    Response,
    UnreachableError,
)

MAX_CONNECTIONS = 4
"""Most connections to the store: one waits for changes, others serve short calls."""


class RefusedCallError(Exception):
    """The store refused a call and changed nothing; a later call may succeed."""


CALL_ERRORS = (UnreachableError, NoAnswerError, RefusedCallError)
"""Exceptions of a call that got no usable answer."""


class StoreHttpClient:
    """Calls the store over at most ``MAX_CONNECTIONS`` connections.

    :param address: ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, MAX_CONNECTIONS)

    async def read(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> bytes:
        """Send a request to read rows, and return the body of its answer.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        """
        target = f"{path}?{urlencode(query)}"
        return _expect_success(await self._client.get(target, timeout_seconds))

    async def write(self, path: str, body: bytes, timeout_seconds: float) -> None:
        """Send a request to write rows.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        """
        _expect_success(await self._client.post(path, body, {}, timeout_seconds))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _expect_success(response: Response) -> bytes:
    if not 200 <= response.status < 300:
        raise RefusedCallError(f"status {response.status}")
    return response.content
