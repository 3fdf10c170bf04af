"""Addresses of entries to which an agent announces itself."""

BALANCER_PERIOD_SECONDS = 5.0
"""Seconds between queries through the balancer while entries are connected."""


class Announcements:
    """Entries known to an agent, and the choice of those it announces itself to.

    No list of endpoints or entries is configured. An agent queries an entry through
    the balancer, and announces itself to the entries that this one names unless
    they are already connected.
    """

    def __init__(self, balancer: str) -> None:
        self._balancer = balancer
        self._known: set[str] = set()
        self._balancer_queried_at = float("-inf")

    def add_entries(self, entries: list[str]) -> None:
        """Add the addresses of entries that another process named."""
        self._known.update(entries)

    def remove_entry(self, entry: str) -> None:
        """Remove the address of an entry that could not be reached."""
        self._known.discard(entry)

    def choose_targets(self, connected: list[str], now: float) -> list[str]:
        """Choose the addresses to announce to now.

        :param connected: addresses of the entries that are connected.
        """
        targets = sorted(self._known.difference(connected))
        due = now - self._balancer_queried_at >= BALANCER_PERIOD_SECONDS
        if due or not connected:
            self._balancer_queried_at = now
            targets.append(self._balancer)
        return targets
