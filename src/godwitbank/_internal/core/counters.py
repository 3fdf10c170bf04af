"""Counts of what the core did, by name and reason."""

from collections import Counter
from typing import NamedTuple


class CounterKey(NamedTuple):
    """One counter: a name and the reason it distinguishes."""

    name: str
    reason: str = ""


class Counts:
    """Monotonic counters that a shell may publish.

    >>> counts = Counts()
    >>> counts.add("starts")
    >>> counts.get("starts")
    1
    """

    def __init__(self) -> None:
        self._values: Counter[CounterKey] = Counter()

    def add(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Count ``amount`` more of a kind."""
        self._values[CounterKey(name, reason)] += amount

    def get(self, name: str, reason: str = "") -> int:
        """Tell one counter's value."""
        return self._values[CounterKey(name, reason)]

    def list_all(self) -> list[tuple[CounterKey, int]]:
        """List every counter with its value, sorted."""
        return sorted(self._values.items())
