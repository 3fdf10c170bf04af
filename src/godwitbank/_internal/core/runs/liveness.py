"""Until when the entries whose runs are at an endpoint are known to have lived."""

import math
from collections.abc import Iterable

from godwitbank._internal.core.runs.lease import OWNER_LIVENESS_SECONDS


class EntryLiveness:
    """Proofs of life of entries, on the clock of one agent.

    An entry's runs must not outlive it: its callers submit their jobs again elsewhere,
    and a task would run twice. An agent that lives stops them; one that dies between
    its entry's end and the stop leaves them to a lease, which must not be longer than
    the entry is known to have lived.
    """

    def __init__(self) -> None:
        self._proved: dict[str, float] = {}

    def record_alive(self, owner: str, at: float) -> None:
        """Note that an entry lived at a moment."""
        self._proved[owner] = max(at, self._proved.get(owner, -math.inf))

    def retain(self, owners: Iterable[str]) -> None:
        """Forget all entries but some."""
        kept = set(owners)
        self._proved = {
            owner: at for owner, at in self._proved.items() if owner in kept
        }

    def find_lease_end(self, owners: Iterable[str]) -> float:
        """Tell when what runs for some entries must be over, without a new proof."""
        proofs = (self._proved.get(owner, -math.inf) for owner in owners)
        return min(proofs, default=math.inf) + OWNER_LIVENESS_SECONDS
