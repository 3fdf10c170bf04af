"""Addresses of other entries: learnt, dialled, and announced to all processes."""

from collections.abc import Callable, Iterable

from godwitbank._internal.core.events import Dial, Send
from godwitbank._internal.core.runs.events import AddressesRead, RunAction
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.models.messages import Peers

ANNOUNCE_ENTRIES_SECONDS = 1.0
"""Seconds between two announcements of newly known entries.

A process that opens a stream gets all known entries at once. Until an announcement, an
agent uses the entries that it knows.
"""


class EntryDiscovery:
    """Dials the entries that become known, and announces them to other processes."""

    def __init__(self, links: Links, now: float) -> None:
        self._links = links
        self._new_entries: list[str] = []
        self._next_announcement_at = now
        self._now = now
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit

    def handle_addresses(self, event: AddressesRead) -> None:
        """Add addresses that were read from the settings or the store."""
        self.add(event.addresses)

    def handle_peers(self, link: Link, peers: Peers) -> None:
        """Add addresses that another entry knows."""
        del link
        self.add(str(each) for each in peers.entries)

    def add(self, addresses: Iterable[str]) -> None:
        """Add addresses of entries, and dial them."""
        self._new_entries += self._links.addresses.add(addresses, self._now)
        self.dial()

    def dial(self) -> None:
        """Dial the addresses that are due."""
        for address in self._links.addresses.list_due(self._now):
            self._emit(Dial(address))

    def announce_all(self, stream: int) -> None:
        """Announce all known entries to a process that opened a stream."""
        self._emit(Send(stream, Peers(self._links.addresses.list_known(), [])))

    def announce_new(self) -> None:
        """Announce the entries that became known since the last announcement.

        If each new entry were announced at once, along with all known ones, the
        announcements while all entries start would grow with the cube of their number.
        """
        if not self._new_entries or self._now < self._next_announcement_at:
            return
        self._next_announcement_at = self._now + ANNOUNCE_ENTRIES_SECONDS
        announcement, self._new_entries = Peers(self._new_entries, []), []
        for link in self._links:
            self._emit(Send(link.stream, announcement))
