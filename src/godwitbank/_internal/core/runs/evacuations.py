"""Which availability zones are evacuated, as one process knows it.

Operators ask at the store that a zone's endpoints get nothing new. Entries read it
there and tell each other and their agents. Whoever was told something older later
must not go back to it: runs would start in a zone that is being emptied, or its room
would stay unused after it was taken back.
"""

from godwitbank._internal.models.jobs import Evacuation
from godwitbank._internal.models.run_messages import Evacuated

NO_EVACUATION_KNOWN = Evacuation(frozenset(), -1)


class Evacuations:
    """The newest that is known, by the store's revision."""

    def __init__(self) -> None:
        self._newest = NO_EVACUATION_KNOWN

    @property
    def newest(self) -> Evacuation:
        """What is in force here."""
        return self._newest

    @property
    def known(self) -> bool:
        """Whether anything was read or told yet."""
        return self._newest is not NO_EVACUATION_KNOWN

    def covers(self, zone: str) -> bool:
        """Tell whether a zone's endpoints are to get nothing new."""
        return zone in self._newest.zones

    def install(self, told: Evacuation) -> frozenset[str] | None:
        """Put what was read or told in force, unless it is older than what is.

        :return: the zones that were evacuated or taken back by it; ``None`` if this
            process held the same or newer knowledge.
        """
        if told.revision <= self._newest.revision:
            return None
        first = not self.known
        changed = told.zones ^ self._newest.zones
        self._newest = told
        return changed if changed or first else None

    def is_outdated(self, told: Evacuation) -> bool:
        """Tell whether somebody else holds older knowledge that differs."""
        older = told.revision < self._newest.revision
        return older and told.zones != self._newest.zones


def encode_evacuation(known: Evacuation) -> Evacuated:
    """Make what other processes are told."""
    return Evacuated(sorted(known.zones), known.revision)


def decode_evacuation(message: Evacuated) -> Evacuation:
    """Read what another process told."""
    return Evacuation(frozenset(map(str, message.zones)), message.revision)
