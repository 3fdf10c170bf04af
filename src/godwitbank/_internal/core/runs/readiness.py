"""Whether an entry knows what other entries have taken."""

from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Links
from godwitbank._internal.core.runs.ownership import REMEMBER_SECONDS, Takings
from godwitbank._internal.core.runs.whereabouts import UNREACHED, Whereabouts

GRACE = LAPSE_SECONDS
"""Seconds for which an entry that has started, or stood still, waits for the others it
knows. What those have ordered that it doesn't hear of by then is over."""


class Readiness:
    """What an entry has heard of others since it started, or stood still.

    :ivar awake_since: when that was.
    """

    def __init__(
        self, links: Links, takings: Takings, whereabouts: Whereabouts, now: float
    ) -> None:
        self._links = links
        self._takings = takings
        self._whereabouts = whereabouts
        self._informed = False
        self._heard: set[str] = set()
        self._now = now
        self.awake_since = now

    def begin(self, now: float) -> None:
        """Prepare for one event."""
        self._now = now

    @property
    def informed(self) -> bool:
        """Whether it is known what other entries have taken.

        Those that can't be reached for ``GRACE`` are gone for their agents, too,
        which have stopped their runs by then.
        """
        if not self._informed:
            linked = {
                link.hello.address
                for link in self._links.list_peers()
                if link.hello.incarnation in self._heard
            }
            known = set(self._links.addresses.list_others())
            linked_all = bool(known) and known <= linked
            self._informed = linked_all or self._now - self.awake_since > GRACE
            if self._informed and known - linked:
                # They may be alive and cut off from here alone.
                self._lose_unreached(sorted(known - linked))
        return self._informed

    def _lose_unreached(self, addresses: list[str]) -> None:
        for address in addresses:
            unknown = UNREACHED + address
            self._takings.lose(unknown, address, self.awake_since)
            self._whereabouts.ask(address, unknown)

    @property
    def informed_at(self) -> float:
        """When it is known at the latest what other entries have taken."""
        return self.awake_since + GRACE

    @property
    def is_young(self) -> bool:
        """Whether others may have lost entries that were never met here."""
        return self._now - self.awake_since < REMEMBER_SECONDS

    def hear(self, incarnation: str) -> None:
        """Note that another entry has told what it has taken."""
        self._heard.add(incarnation)

    def lose(self, incarnation: str) -> None:
        """Note that another entry's last stream ended."""
        self._heard.discard(incarnation)

    def wake(self) -> None:
        """Begin anew after this entry stood still: others may have taken its jobs.

        An entry that went on with its jobs at once started tasks that another one had
        taken over, before it had a stream to that one again.
        """
        self._informed = False
        self.awake_since = self._now
        self._heard.clear()
