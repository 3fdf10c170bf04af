"""HTTP connections to a server, which are replaced together if they fall silent."""

import asyncio
from typing import Any

import httpx


class _Pool:
    """A pool of connections.

    :ivar calls: number of calls in flight.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.calls = 0


class Connections:
    """Calls a server over a pool of persistent connections.

    What made one connection fall silent may have affected all. If a call times out and
    the server answered none since it was sent, later calls use new connections, as each
    of the old ones would let one more call time out.

    :param base_url: URL that the paths of calls are relative to.
    :param max_connections: most connections of a pool; further calls wait for one.
    """

    def __init__(self, base_url: str, max_connections: int) -> None:
        self._base_url = base_url
        self._limits = httpx.Limits(max_connections=max_connections)
        # Loading the certificates takes most of the time to make a client.
        self._tls = httpx.create_ssl_context()
        self._pool = self._make_pool()
        self._answers = 0

    def _make_pool(self) -> _Pool:
        return _Pool(
            httpx.AsyncClient(
                base_url=self._base_url, limits=self._limits, verify=self._tls
            )
        )

    async def request(
        self, method: str, path: str, timeout_seconds: float, body: Any
    ) -> httpx.Response:
        """Send a request with a JSON body, and wait for the response.

        :param timeout_seconds: longest wait for a connection, and for each part of the
            response.
        :raises httpx.HTTPError: if no complete response came.
        """
        pool = self._pool
        answers_before = self._answers
        pool.calls += 1
        try:
            response = await pool.client.request(
                method, path, json=body, timeout=timeout_seconds
            )
            self._answers += 1
            return response
        except httpx.TimeoutException:
            if pool is self._pool and self._answers == answers_before:
                self._pool = self._make_pool()
            raise
        finally:
            pool.calls -= 1
            if pool is not self._pool and not pool.calls:
                await asyncio.shield(pool.client.aclose())

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.client.aclose()
