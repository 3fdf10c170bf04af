"""Outcomes of runs whose entry has no open stream to this agent at the moment."""

from collections import defaultdict
from typing import NamedTuple

from godwitbank._internal.models.run_messages import RunOutcome

OUTCOME_RETENTION_SECONDS = 5.0
"""Seconds for which an outcome is kept until its entry reconnects.

After that time the entry has given up the run.
"""


class KeptOutcome(NamedTuple):
    """An outcome and the time at which it was stored."""

    outcome: RunOutcome
    kept_at: float


class Outbox:
    """Undelivered outcomes, by the incarnation of the entry that owns the run."""

    def __init__(self) -> None:
        self._kept: dict[str, list[KeptOutcome]] = defaultdict(list)

    def put(self, owner: str, outcome: RunOutcome, now: float) -> None:
        """Store an outcome, and drop all outcomes that have expired."""
        self._kept[owner].append(KeptOutcome(outcome, now))
        for key in list(self._kept):
            fresh = [
                each
                for each in self._kept[key]
                if now - each.kept_at < OUTCOME_RETENTION_SECONDS
            ]
            if fresh:
                self._kept[key] = fresh
            else:
                del self._kept[key]

    def take(self, owner: str, now: float) -> list[RunOutcome]:
        """Remove and return the outcomes of an entry that has reconnected."""
        kept = self._kept.pop(owner, [])
        return [
            each.outcome
            for each in kept
            if now - each.kept_at < OUTCOME_RETENTION_SECONDS
        ]
