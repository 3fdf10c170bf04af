"""Claims of jobs at one agent: whose runs of a job may be here.

Two entries that can't reach each other may both have a job. The agents reach both, and
let the newest claim win: its caller went from one to the other. Of two claims at one
moment agents may hear either first; there the claimants' order decides, so that no two
entries win at an agent each.
"""

from collections import OrderedDict
from typing import NamedTuple

from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS

CLAIM_RETENTION_SECONDS = 20.0
"""Seconds a claim is kept; longer than any caller waits (10 s)."""


SIMULTANEOUS_SECONDS = BUSY_TIMEOUT_SECONDS
"""Seconds between two claims within which agents may hear either first: what was held
up for longer isn't read any more."""


class Claimant(NamedTuple):
    """The entry that claimed a job last."""

    incarnation: str
    at: float


class Claims:
    """Claims at one agent, and the entries that wait for their answer."""

    def __init__(self) -> None:
        self._claims: OrderedDict[str, Claimant] = OrderedDict()
        self._unanswered: dict[str, int] = {}
        self._stopping: set[str] = set()

    def add(self, job: str, incarnation: str, stream: int, now: float) -> None:
        """Note a claim that is to be answered on a stream."""
        self._claims.pop(job, None)
        self._claims[job] = Claimant(incarnation, now)
        self._unanswered[job] = stream
        self._stopping.discard(job)
        while now - next(iter(self._claims.values())).at > CLAIM_RETENTION_SECONDS:
            self._claims.popitem(last=False)

    def find_winner(self, job: str, incarnation: str, now: float) -> str:
        """Find who claimed a job at the same moment and goes before an entry.

        :return: that one's incarnation, or an empty string.
        """
        claimant = self._claims.get(job)
        if claimant is None or now - claimant.at > SIMULTANEOUS_SECONDS:
            return ""
        return claimant.incarnation if claimant.incarnation > incarnation else ""

    def allows(self, job: str, incarnation: str) -> bool:
        """Tell whether an entry may still start runs of a job."""
        claimant = self._claims.get(job)
        return claimant is None or claimant.incarnation == incarnation

    def list_unanswered(self) -> list[str]:
        """List the jobs whose claim has not been answered."""
        return list(self._unanswered)

    def pop_answer_stream(self, job: str) -> int:
        """Take the stream on which a claim is answered."""
        self._stopping.discard(job)
        return self._unanswered.pop(job)

    def begin_stop(self, job: str) -> int | None:
        """Note that runs are being stopped; returns the stream to tell so, once."""
        if job in self._stopping:
            return None
        self._stopping.add(job)
        return self._unanswered[job]
