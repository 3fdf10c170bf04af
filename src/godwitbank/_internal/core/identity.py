"""Identity of a process, and the periods that entries and agents share."""

from typing import NamedTuple

from godwitbank._internal.models.messages import PROTOCOL_VERSION, Hello


class Identity(NamedTuple):
    """Identity of a process.

    :param process: name of the process.
    :param incarnation: random, new at each start of the process.
    :param address: ``host:port`` at which it accepts streams.
    :param zone: availability zone of the process.
    """

    process: str
    incarnation: str
    address: str
    zone: str


def make_hello(identity: Identity, role: str) -> Hello:
    """Make the greeting with which a process introduces itself on a stream."""
    return Hello(
        PROTOCOL_VERSION,
        role,
        identity.process,
        identity.incarnation,
        identity.address,
        identity.zone,
    )


class Timing(NamedTuple):
    """Periods shared by entries and agents, in seconds.

    :param heartbeat: interval between heartbeats.
    :param silence: time without a message after which a stream is closed.
    :param start_window: time after the agent's last reported clock within which a
        start is valid.
    """

    heartbeat: float = 1.0
    silence: float = 3.0
    start_window: float = 4.0
