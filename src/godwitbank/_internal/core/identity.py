"""Who a process is, and the periods both cores share."""

from typing import NamedTuple


class Identity(NamedTuple):
    """Who a process is.

    :param incarnation: random, new at each start of the process.
    :param address: ``host:port`` at which others reach its streams.
    """

    process: str
    incarnation: str
    address: str
    zone: str


class Timing(NamedTuple):
    """Periods shared by both cores, in seconds."""

    heartbeat: float = 1.0
    silence: float = 3.0
    start_window: float = 4.0
