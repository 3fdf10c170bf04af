"""The HTTP client for the platform's store."""

import aiohttp

CONNECT_SECONDS = 0.2
"""Longest wait for a connection; one on the same VM or the store's takes some ms."""

KEEPALIVE_SECONDS = 60.0
"""Seconds an idle connection is kept; a new one costs a round trip."""

FAILURES = (aiohttp.ClientError, TimeoutError, OSError)
"""What a call raises when no usable answer came."""


def make_session(address: str, max_connections: int) -> aiohttp.ClientSession:
    """Make a client for one server; to be called with the loop running.

    :param address: ``host:port``.
    """
    connector = aiohttp.TCPConnector(
        limit=max_connections, keepalive_timeout=KEEPALIVE_SECONDS
    )
    return aiohttp.ClientSession(
        f"http://{address}",
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
        trust_env=False,
    )


def make_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Bound a whole call, and its connection more tightly."""
    return aiohttp.ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
