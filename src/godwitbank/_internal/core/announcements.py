"""Where an agent announces itself next."""

BALANCER_PERIOD_SECONDS = 5.0
"""Seconds between looks through the balancer while entries are connected."""


class Announcements:
    """Entries an agent has heard of, and when to tell whom that it is there.

    There is no list of endpoints and none of entries: an agent asks whichever
    entry the balancer leads to, and tells those it names that don't dial it.
    """

    def __init__(self, balancer: str) -> None:
        self._balancer = balancer
        self._known: set[str] = set()
        self._balancer_queried_at = float("-inf")

    def add_entries(self, entries: list[str]) -> None:
        """Note the entries another process named."""
        self._known.update(entries)

    def remove_entry(self, entry: str) -> None:
        """Note that an entry could not be reached."""
        self._known.discard(entry)

    def choose_targets(self, connected: list[str], now: float) -> list[str]:
        """Choose the addresses to announce to now."""
        targets = sorted(self._known.difference(connected))
        due = now - self._balancer_queried_at >= BALANCER_PERIOD_SECONDS
        if due or not connected:
            self._balancer_queried_at = now
            targets.append(self._balancer)
        return targets
