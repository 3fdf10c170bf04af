"""Counters of the core's decisions, by name and reason."""

from collections import Counter
from typing import NamedTuple


class CounterKey(NamedTuple):
    """Key of one counter: its name, and a reason if it distinguishes several."""

    name: str
    reason: str = ""


class Counts:
    """Monotonic counters, published by the I/O layer as metrics.

    >>> counts = Counts()
    >>> counts.add("starts")
    >>> counts.get("starts")
    1
    """

    def __init__(self) -> None:
        self._values: Counter[CounterKey] = Counter()

    def add(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Increase a counter by ``amount``."""
        self._values[CounterKey(name, reason)] += amount

    def get(self, name: str, reason: str = "") -> int:
        """Return the value of a counter."""
        return self._values[CounterKey(name, reason)]

    def list_all(self) -> list[tuple[CounterKey, int]]:
        """List all counters with their values, sorted by key."""
        return sorted(self._values.items())
