"""Outcomes for entries that have no stream at the moment."""

from collections import defaultdict
from typing import NamedTuple

from godwitbank._internal.models.run_messages import RunOutcome

OUTCOME_RETENTION_SECONDS = 5.0
"""Seconds an outcome waits for its entry to come back; later it has given up."""


class KeptOutcome(NamedTuple):
    """An outcome and when it was put here."""

    outcome: RunOutcome
    kept_at: float


class Outbox:
    """Outcomes by the incarnation of the entry they belong to."""

    def __init__(self) -> None:
        self._kept: dict[str, list[KeptOutcome]] = defaultdict(list)

    def put(self, owner: str, outcome: RunOutcome, now: float) -> None:
        """Keep an outcome, and drop what is too old."""
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
        """Take the outcomes of an entry that is back."""
        kept = self._kept.pop(owner, [])
        return [
            each.outcome
            for each in kept
            if now - each.kept_at < OUTCOME_RETENTION_SECONDS
        ]
