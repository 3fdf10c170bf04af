"""Whether an entry knows what other entries have taken."""

from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Links
from godwitbank._internal.core.runs.ownership import (
    OWNERSHIP_RETENTION_SECONDS,
    JobOwnership,
)
from godwitbank._internal.core.runs.reachability import (
    UNREACHED_PREFIX,
    PeerReachability,
)

SYNC_TIMEOUT_SECONDS = LAPSE_SECONDS
"""Seconds for which an entry that has started, or stood still, waits for the others it
knows. What those have ordered that it doesn't hear of by then is over."""


class Readiness:
    """What an entry has heard of others since it started, or stood still.

    :ivar active_since: when that was.
    """

    def __init__(
        self,
        links: Links,
        takings: JobOwnership,
        whereabouts: PeerReachability,
        now: float,
    ) -> None:
        self._links = links
        self._takings = takings
        self._whereabouts = whereabouts
        self._informed = False
        self._heard: set[str] = set()
        self._now = now
        self.active_since = now

    def begin_event(self, now: float) -> None:
        """Prepare for one event."""
        self._now = now

    @property
    def synced(self) -> bool:
        """Whether it is known what other entries have taken.

        Those that can't be reached for ``SYNC_TIMEOUT_SECONDS`` are gone for their
        agents, too, which have stopped their runs by then.
        """
        if not self._informed:
            linked = {
                link.hello.address
                for link in self._links.list_peers()
                if link.hello.incarnation in self._heard
            }
            known = set(self._links.addresses.list_others())
            linked_all = bool(known) and known <= linked
            self._informed = (
                linked_all or self._now - self.active_since > SYNC_TIMEOUT_SECONDS
            )
            if self._informed and known - linked:
                # They may be alive and cut off from here alone.
                self._lose_unreached(sorted(known - linked))
        return self._informed

    def _lose_unreached(self, addresses: list[str]) -> None:
        for address in addresses:
            unknown = UNREACHED_PREFIX + address
            self._takings.mark_lost(unknown, address, self.active_since)
            self._whereabouts.probe(address, unknown)

    @property
    def sync_deadline(self) -> float:
        """When it is known at the latest what other entries have taken."""
        return self.active_since + SYNC_TIMEOUT_SECONDS

    @property
    def is_recently_active(self) -> bool:
        """Whether others may have lost entries that were never met here."""
        return self._now - self.active_since < OWNERSHIP_RETENTION_SECONDS

    def record_announcement(self, incarnation: str) -> None:
        """Note that another entry has told what it has taken."""
        self._heard.add(incarnation)

    def mark_lost(self, incarnation: str) -> None:
        """Note that another entry's last stream ended."""
        self._heard.discard(incarnation)

    def resume_after_pause(self) -> None:
        """Begin anew after this entry stood still: others may have taken its jobs.

        An entry that went on with its jobs at once started tasks that another one had
        taken over, before it had a stream to that one again.
        """
        self._informed = False
        self.active_since = self._now
        self._heard.clear()
