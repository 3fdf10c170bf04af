"""Who a process is, and the periods both cores share."""

from typing import NamedTuple

from godwitbank._internal.models.messages import PROTOCOL_VERSION, Hello


class Identity(NamedTuple):
    """Who a process is.

    :param incarnation: random, new at each start of the process.
    :param address: ``host:port`` at which others reach its streams.
    """

    process: str
    incarnation: str
    address: str
    zone: str


def make_hello(identity: Identity, role: str) -> Hello:
    """Make the frame with which a process introduces itself."""
    return Hello(
        PROTOCOL_VERSION,
        role,
        identity.process,
        identity.incarnation,
        identity.address,
        identity.zone,
    )


class Timing(NamedTuple):
    """Periods shared by both cores, in seconds."""

    heartbeat: float = 1.0
    silence: float = 3.0
    start_window: float = 4.0
