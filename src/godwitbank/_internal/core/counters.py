"""Counters of the core's decisions, by name, reason and queue."""

from collections import Counter
from typing import NamedTuple


class CounterKey(NamedTuple):
    """Key of one counter.

    :param reason: set if the counter distinguishes several reasons.
    :param queue: set if it counts jobs of one queue of the configuration. Names that
        callers send must not be used, as their number has no bound.
    """

    name: str
    reason: str = ""
    queue: str = ""


class Counts:
    """Monotonic counters, published by the I/O layer as metrics.

    >>> counts = Counts()
    >>> counts.add("starts")
    >>> counts.get("starts")
    1
    """

    def __init__(self) -> None:
        self._values: Counter[CounterKey] = Counter()

    def add(
        self, name: str, reason: str = "", amount: int = 1, queue: str = ""
    ) -> None:
        """Increase a counter by ``amount``."""
        self._values[CounterKey(name, reason, queue)] += amount

    def get(self, name: str, reason: str = "") -> int:
        """Return the value of a counter, summed up over all queues."""
        return sum(
            value
            for key, value in self._values.items()
            if key.name == name and key.reason == reason
        )

    def group_by_queue(self) -> dict[str, "Counts"]:
        """Return the counters of each queue, by its name."""
        groups: dict[str, Counts] = {}
        for key, value in self._values.items():
            if key.queue:
                group = groups.setdefault(key.queue, Counts())
                group.add(key.name, key.reason, value)
        return groups

    def list_reasons(self, name: str) -> dict[str, int]:
        """Return a counter's values by reason."""
        reasons: Counter[str] = Counter()
        for key, value in self.list_all():
            if key.name == name:
                reasons[str(key.reason)] += value
        return dict(reasons)

    def list_all(self) -> list[tuple[CounterKey, int]]:
        """List all counters with their values, sorted by key."""
        return sorted(self._values.items())
