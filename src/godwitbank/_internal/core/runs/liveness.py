"""When the entries that have runs at an endpoint were last known to be alive."""

import math
from collections.abc import Iterable

from godwitbank._internal.core.runs.lease import OWNER_LIVENESS_SECONDS


class EntryLiveness:
    """When entries were last known to be alive, on the clock of one agent.

    An entry's runs must not outlive it: its callers submit their jobs again elsewhere,
    and a task would run twice. The agent stops the runs of a dead entry. If the agent
    dies between the entry's end and that stop, only the lease ends the runs, so it must
    be bounded by the last time at which the entry was known to be alive.
    """

    def __init__(self) -> None:
        self._last_alive_at: dict[str, float] = {}

    def record_alive(self, owner: str, at: float) -> None:
        """Record that an entry was alive at a time."""
        self._last_alive_at[owner] = max(at, self._last_alive_at.get(owner, -math.inf))

    def retain(self, owners: Iterable[str]) -> None:
        """Forget all entries but the given ones."""
        kept = set(owners)
        self._last_alive_at = {
            owner: at for owner, at in self._last_alive_at.items() if owner in kept
        }

    def find_lease_end(self, owners: Iterable[str]) -> float:
        """Return when a lease on behalf of some entries must end.

        Later heartbeats from these entries allow a later end.
        """
        last_alive = (self._last_alive_at.get(owner, -math.inf) for owner in owners)
        return min(last_alive, default=math.inf) + OWNER_LIVENESS_SECONDS
