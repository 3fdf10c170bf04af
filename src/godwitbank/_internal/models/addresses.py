"""Addresses as the settings write them."""


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)
