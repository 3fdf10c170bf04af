"""Entries that are gone for good, although the store still lists their addresses.

A process that starts waits for each listed entry until no run of it can be alive, as an
entry that it can't reach may be cut off from it alone. If the VM of an entry was
removed, each start would be delayed so. The other entries, which have seen it go,
remove its address from the store.
"""

from godwitbank._internal.core.runs.links import Links
from godwitbank._internal.core.runs.ownership import OWNERSHIP_RETENTION_SECONDS
from godwitbank._internal.core.runs.reachability import PeerReachability

GONE_SECONDS = OWNERSHIP_RETENTION_SECONDS + 3.0
"""Seconds without a stream to an entry, directly or through others, after which it is
gone. By then no entry waits for it any more, and its callers have given up."""


class DepartedEntries:
    """Addresses of entries that this one has had no contact to."""

    def __init__(self, links: Links, reachability: PeerReachability) -> None:
        self._links = links
        self._reachability = reachability
        self._missing_since: dict[str, float] = {}
        self._departed: set[str] = set()

    def update(self, now: float) -> list[str]:
        """Look at which entries are connected now.

        :return: the addresses to remove from the store. Only one entry removes an
            address: the connected one with the lowest address of its own. None is
            removed unless more entries are connected than missing, since this entry may
            then be the one that is cut off; those that departed before don't count.
        """
        addresses = self._links.addresses
        peers = self._links.list_peers()
        reached = {link.hello.address for link in peers}
        reached.update(self._reachability.list_relay_streams())
        missing = set(addresses.list_others()) - reached
        self._missing_since = {
            each: self._missing_since.get(each, now) for each in missing
        }
        self._departed &= missing
        if len(missing - self._departed) >= len(reached):
            return []
        self._departed.update(
            each
            for each, since in self._missing_since.items()
            if now - since >= GONE_SECONDS
        )
        if min(reached) < addresses.own:
            return []
        return sorted(self._departed)
