"""Division of an agent's free slots among entries.

While no entry has waiting work, all free slots are announced to every entry, so that
a start needs no round trip. As soon as one has waiting work, a freed slot is granted
only to the entry with the most urgent waiting task, so that entries that share an
agent follow one common order and don't compete for the same slot.
"""

from typing import NamedTuple


class Demand(NamedTuple):
    """Waiting work of an entry.

    :param waiting: number of waiting tasks.
    :param rank: rank of the most urgent of them, in the agent's clock.
    """

    waiting: int
    rank: float


class EntryShare:
    """State of one entry's share of the slots.

    :ivar announced: slots last announced to the entry, less the starts received
        since.
    :ivar seen: starts received on the stream.
    :ivar demand: waiting work that the entry announced, less the starts received
        since.
    """

    __slots__ = ("announced", "seen", "demand")

    def __init__(self) -> None:
        self.announced = 0
        self.seen = 0
        self.demand = Demand(0, 0.0)


class Grants:
    """Divides free slots among the entries connected to one agent."""

    def __init__(self) -> None:
        self._shares: dict[int, EntryShare] = {}

    def add(self, stream: int) -> None:
        """Add an entry's stream."""
        self._shares[stream] = EntryShare()

    def remove(self, stream: int) -> None:
        """Remove an entry's stream."""
        self._shares.pop(stream, None)

    def set_demand(self, stream: int, count: int, rank: float) -> None:
        """Record the waiting work that an entry announced."""
        self._shares[stream].demand = Demand(count, rank)

    def record_start(self, stream: int) -> None:
        """Record that a start was received from an entry."""
        share = self._shares[stream]
        share.announced -= 1
        share.seen += 1
        if share.demand.waiting > 0:
            share.demand = Demand(share.demand.waiting - 1, share.demand.rank)

    def count_seen(self, stream: int) -> int:
        """Return how many starts were received on a stream."""
        share = self._shares.get(stream)
        return share.seen if share else 0

    def divide(self, free: int) -> dict[int, int]:
        """Divide free slots among the streams.

        Entries with waiting work are served in the order of their ranks; what is
        left is announced to every entry.

        :return: slots that each stream may use.
        """
        wanting = sorted(
            (stream for stream, share in self._shares.items() if share.demand.waiting),
            key=lambda stream: self._shares[stream].demand.rank,
        )
        allowed: dict[int, int] = {}
        left = max(free, 0)
        for stream in wanting:
            allowed[stream] = min(left, self._shares[stream].demand.waiting)
            left -= allowed[stream]
        for stream in self._shares:
            allowed[stream] = allowed.get(stream, 0) + left
        return allowed

    def announce(self, stream: int, free: int) -> int:
        """Return and record the slots to announce in a message that is being sent."""
        share = self._shares.get(stream)
        if share is None:
            return 0
        share.announced = self.divide(free)[stream]
        return share.announced

    def list_changes(self, free: int) -> list[tuple[int, int]]:
        """List the streams that need a message now, with the slots to announce.

        An entry that wrongly expects free slots would send starts that are refused;
        one that has waiting work and doesn't know of a free slot would leave it idle.
        Other differences are announced with the next message. The announcements are
        recorded.
        """
        changes = []
        for stream, allowed in self.divide(free).items():
            share = self._shares[stream]
            collides = allowed <= 0 < share.announced
            idles = share.announced <= 0 < allowed or (
                share.demand.waiting > 0 and share.announced < allowed
            )
            if collides or idles:
                share.announced = allowed
                changes.append((stream, allowed))
        return changes
