"""Listening sockets."""

import errno
import socket

from godwitbank._internal.exceptions import AddressInUseError
from godwitbank._internal.models.settings import parse_address

BACKLOG_CONNECTIONS = 1024


def bind(address: str, setting: str) -> socket.socket:
    """Bind a listening socket.

    :raises AddressInUseError: naming the address and the setting.
    """
    host, port = parse_address(address)
    # With protocol number 0 asyncio would not set TCP_NODELAY on what is accepted
    # (cpython base_events._set_nodelay), and small frames would wait for an
    # acknowledgement that the other side delays by 40 ms.
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
