"""Whether an entry knows which jobs other entries own."""

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
"""Seconds for which an entry waits for the announcements of the others that it knows,
after its start or a pause of its process. Runs of others that it doesn't learn about by
then have expired."""


class Readiness:
    """Announcements that an entry has received since its start or its last pause.

    :ivar active_since: when its process started, or resumed after a pause, in seconds.
    """

    def __init__(
        self,
        links: Links,
        ownership: JobOwnership,
        reachability: PeerReachability,
        now: float,
    ) -> None:
        self._links = links
        self._ownership = ownership
        self._reachability = reachability
        self._synced = False
        self._announced: set[str] = set()
        self._now = now
        self.active_since = now

    def begin_event(self, now: float) -> None:
        """Prepare for one event."""
        self._now = now

    @property
    def synced(self) -> bool:
        """Whether this entry knows which jobs other entries own.

        Entries that can't be reached for ``SYNC_TIMEOUT_SECONDS`` don't delay this any
        longer: if they are gone, their agents have stopped their runs by then.
        """
        if not self._synced:
            connected = {
                link.hello.address
                for link in self._links.list_peers()
                if link.hello.incarnation in self._announced
            }
            known = set(self._links.addresses.list_others())
            all_connected = bool(known) and known <= connected
            self._synced = (
                all_connected or self._now - self.active_since > SYNC_TIMEOUT_SECONDS
            )
            if self._synced and known - connected:
                # They may be alive but cut off from this entry alone.
                self._mark_unreached(sorted(known - connected))
        return self._synced

    def _mark_unreached(self, addresses: list[str]) -> None:
        for address in addresses:
            placeholder = UNREACHED_PREFIX + address
            self._ownership.mark_lost(placeholder, address, self.active_since)
            self._reachability.probe(address, placeholder)

    @property
    def sync_deadline(self) -> float:
        """The latest time at which the jobs of other entries are known."""
        return self.active_since + SYNC_TIMEOUT_SECONDS

    @property
    def is_recently_active(self) -> bool:
        """Whether other entries may have lost peers before this entry could know them.

        That is so for some time after this process started or resumed after a pause.
        """
        return self._now - self.active_since < OWNERSHIP_RETENTION_SECONDS

    def record_announcement(self, incarnation: str) -> None:
        """Record that another entry has announced its jobs."""
        self._announced.add(incarnation)

    def mark_lost(self, incarnation: str) -> None:
        """Record that the last stream to another entry ended."""
        self._announced.discard(incarnation)

    def resume_after_pause(self) -> None:
        """Wait for the announcements of others again, as they may own its jobs by now.

        An entry that continued with its jobs right after a pause would start tasks that
        another entry has taken over, before it is connected to that entry again.
        """
        self._synced = False
        self.active_since = self._now
        self._announced.clear()
