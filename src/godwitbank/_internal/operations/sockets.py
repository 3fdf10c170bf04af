"""Listening sockets."""

import errno
import socket

from godwitbank._internal.exceptions import AddressInUseError
from godwitbank._internal.models.addresses import parse_address

BACKLOG_CONNECTIONS = 1024


def bind(address: str, setting: str) -> socket.socket:
    """Create a non-blocking socket that listens on an address.

    :param address: ``host:port`` to bind to.
    :param setting: name of the setting, for the error message.
    :raises AddressInUseError: if the address is in use or can't be bound.
    """
    host, port = parse_address(address)
    # With the default protocol number 0, asyncio doesn't set TCP_NODELAY on accepted
    # connections (see _set_nodelay in CPython's asyncio.base_events). Small frames
    # would then wait for an acknowledgement, which the peer delays by 40 ms.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, port))
    except OSError as error:
        listener.close()
        reason = "is in use" if error.errno == errno.EADDRINUSE else "can't be used"
        raise AddressInUseError(
            f"address {address} {reason}",
            context=f"setting '{setting}': {error.strerror}",
            remedy="stop the other process or set another address",
        ) from None
    listener.listen(BACKLOG_CONNECTIONS)
    listener.setblocking(False)
    return listener
