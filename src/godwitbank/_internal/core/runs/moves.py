"""Closes an agent's surplus streams, one entry at a time."""

from collections.abc import Container

from godwitbank._internal.core.runs.links import Link, Links

LEAVE_DELAY_SECONDS = 0.5
"""Seconds between announcing to an entry that its stream will be closed and closing it.
Orders sent before the entry received the announcement arrive within this time."""


class StreamMoves:
    """Tracks the entry whose stream the agent is about to close.

    The entry is told first that it can place no new runs here. Its stream is closed
    once no run of it is left here, because the loss of an order sent to a closed stream
    would go unnoticed for seconds.

    :param now: current time in seconds.
    """

    def __init__(self, links: Links, now: float) -> None:
        self._links = links
        self._leaving_since = now

    def find_closable(self, owners: Container[str], now: float) -> Link | None:
        """Return the stream that can be closed now, or ``None``.

        :param owners: incarnations of the entries that own a run here.
        """
        for link in self._links:
            if not link.leaving:
                continue
            idle = link.hello.incarnation not in owners
            if idle and now - self._leaving_since > LEAVE_DELAY_SECONDS:
                return link
        return None

    def start_leaving(self, now: float) -> bool:
        """Choose a surplus entry to leave, unless one is being left already.

        :return: whether an entry was chosen.
        """
        if any(link.leaving for link in self._links):
            return False
        address = self._links.addresses.find_surplus()
        if address is None:
            return False
        for link in self._links:
            if link.hello.address == address:
                link.leaving = True
        self._leaving_since = now
        return True
