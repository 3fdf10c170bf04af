"""An agent that keeps more streams than it needs leaves one entry at a time."""

from collections.abc import Container

from godwitbank._internal.core.runs.links import Link, Links

LEAVE_DELAY_SECONDS = 0.5
"""Seconds between telling an entry that it will be left and leaving it; what it has
sent before it heard so has arrived by then."""


class StreamMoves:
    """Which entry is being left.

    It is told first that nothing new is taken from it, and left once nothing of it is
    here: an order on its way to a closed stream would be lost for seconds.
    """

    def __init__(self, links: Links, now: float) -> None:
        self._links = links
        self._leaving_since = now

    def find_closable(self, owners: Container[str], now: float) -> Link | None:
        """Find the stream that can be closed now.

        :param owners: entries of which a run is here, by incarnation.
        """
        for link in self._links:
            if not link.leaving:
                continue
            idle = link.hello.incarnation not in owners
            if idle and now - self._leaving_since > LEAVE_DELAY_SECONDS:
                return link
        return None

    def start_leaving(self, now: float) -> bool:
        """Choose an entry to leave, unless one is being left; tells whether it did."""
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
