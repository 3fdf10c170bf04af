"""Tracks which availability zones are evacuated, as known to one process.

Operators record in the store that the endpoints of a zone get no new runs. Entries read
this from the store and announce it to each other and to their agents. An outdated
announcement that arrives late must not replace newer state: runs would start in a zone
that is being evacuated, or the capacity of a zone that is back in use would stay idle.
"""

from godwitbank._internal.models.jobs import Evacuation
from godwitbank._internal.models.run_messages import Evacuated

NO_EVACUATION_KNOWN = Evacuation(frozenset(), -1)


class Evacuations:
    """Keeps the evacuation with the highest store revision seen so far."""

    def __init__(self) -> None:
        self._newest = NO_EVACUATION_KNOWN

    @property
    def newest(self) -> Evacuation:
        """The evacuation in force in this process."""
        return self._newest

    @property
    def known(self) -> bool:
        """Whether an evacuation state was read or announced yet."""
        return self._newest is not NO_EVACUATION_KNOWN

    def covers(self, zone: str) -> bool:
        """Return whether the endpoints of a zone get no new runs."""
        return zone in self._newest.zones

    def install(self, evacuation: Evacuation) -> frozenset[str] | None:
        """Replace the evacuation in force, unless the given one is not newer.

        :return: zones whose state changed, which may be empty the first time; ``None``
            if nothing changed or the given evacuation was not newer.
        """
        if evacuation.revision <= self._newest.revision:
            return None
        first = not self.known
        changed = evacuation.zones ^ self._newest.zones
        self._newest = evacuation
        return changed if changed or first else None

    def is_outdated(self, evacuation: Evacuation) -> bool:
        """Return whether an evacuation held by another process is older and differs."""
        older = evacuation.revision < self._newest.revision
        return older and evacuation.zones != self._newest.zones


def encode_evacuation(evacuation: Evacuation) -> Evacuated:
    """Build the message that announces an evacuation to other processes."""
    return Evacuated(sorted(evacuation.zones), evacuation.revision)


def decode_evacuation(message: Evacuated) -> Evacuation:
    """Read the evacuation announced by another process."""
    return Evacuation(frozenset(map(str, message.zones)), message.revision)
