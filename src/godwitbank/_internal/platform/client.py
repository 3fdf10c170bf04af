"""Calls to the platform's store over HTTP."""

from urllib.parse import urlencode

from godwitbank._internal.network.http_client import (
    HttpClient,
    NoAnswerError,
    Response,
    UnreachableError,
)

MAX_CONNECTIONS = 4
"""Connections to the store: one waits for changes, the others come and go."""


class RefusedCallError(Exception):
    """The store answered that it did nothing; a later call may be taken."""


CALL_ERRORS = (UnreachableError, NoAnswerError, RefusedCallError)
"""What a call raises when no usable answer came."""


class StoreHttpClient:
    """Calls to the store, few at a time.

    :param address: ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._client = HttpClient(address, MAX_CONNECTIONS)

    async def read(
        self, path: str, query: dict[str, str], timeout_seconds: float
    ) -> bytes:
        """Read rows.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        """
        target = f"{path}?{urlencode(query)}"
        return _expect_success(await self._client.get(target, timeout_seconds))

    async def write(self, path: str, body: bytes, timeout_seconds: float) -> None:
        """Write rows.

        :raises UnreachableError, NoAnswerError, RefusedCallError: see ``CALL_ERRORS``.
        """
        _expect_success(await self._client.post(path, body, {}, timeout_seconds))

    def close(self) -> None:
        """Close connections."""
        self._client.close()


def _expect_success(response: Response) -> bytes:
    if not 200 <= response.status < 300:
        raise RefusedCallError(f"status {response.status}")
    return response.content
