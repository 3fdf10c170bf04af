"""Which entry may use an agent's free slots.

While no entry has work waiting, every entry is told of all free slots, so that
a start needs no round trip. As soon as one has work waiting, a freed slot is
offered to the entry with the most urgent waiting task alone, so that entries
that share an agent serve one common order and don't collide.
"""

from typing import NamedTuple


class Demand(NamedTuple):
    """What an entry has waiting.

    :param rank: rank of its most urgent task, in the agent's clock.
    """

    waiting: int
    rank: float


class EntryShare:
    """What one entry was told, as the agent knows it."""

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
        """Begin to count an entry's stream."""
        self._shares[stream] = EntryShare()

    def remove(self, stream: int) -> None:
        """Stop counting an entry's stream."""
        self._shares.pop(stream, None)

    def set_demand(self, stream: int, count: int, rank: float) -> None:
        """Note what an entry has waiting."""
        self._shares[stream].demand = Demand(count, rank)

    def record_start(self, stream: int) -> None:
        """Note that a start arrived from an entry."""
        share = self._shares[stream]
        share.announced -= 1
        share.seen += 1
        if share.demand.waiting > 0:
            share.demand = Demand(share.demand.waiting - 1, share.demand.rank)

    def count_seen(self, stream: int) -> int:
        """Tell how many starts arrived on a stream."""
        share = self._shares.get(stream)
        return share.seen if share else 0

    def divide(self, free: int) -> dict[int, int]:
        """Decide how many slots each stream may use."""
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
        """Decide and note what one entry is told in a frame sent anyway."""
        share = self._shares.get(stream)
        if share is None:
            return 0
        share.announced = self.divide(free)[stream]
        return share.announced

    def list_changes(self, free: int) -> list[tuple[int, int]]:
        """List the streams whose view is wrong enough to need a message.

        An entry that believes in free slots where there are none would collide;
        one with waiting work that doesn't know of a free slot would idle it.
        Other differences wait for the next frame.
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
