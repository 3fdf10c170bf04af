"""Claims of jobs at one agent: which entry may have runs of a job here.

Two entries that can't reach each other may both own a job. The agents reach both, and
let the newest claim win, because the job's caller has moved to the entry that sent it.
Agents may receive two almost simultaneous claims in different order. The order of the
claimants' incarnations decides between these, so that every agent picks the same entry.
"""

from collections import OrderedDict
from typing import NamedTuple

from godwitbank._internal.core.runs.links import BUSY_TIMEOUT_SECONDS

CLAIM_RETENTION_SECONDS = 20.0
"""Seconds for which a claim is kept; longer than any caller waits (10 s)."""


SIMULTANEOUS_SECONDS = BUSY_TIMEOUT_SECONDS
"""Seconds between two claims within which agents may receive them in either order. A
frame that is delayed for longer isn't read any more, as its stream has timed out."""


class Claimant(NamedTuple):
    """The entry that claimed a job last, and when."""

    incarnation: str
    at: float


class Claims:
    """Claims at one agent, and the streams of entries that wait for an answer."""

    def __init__(self) -> None:
        self._claims: OrderedDict[str, Claimant] = OrderedDict()
        self._unanswered: dict[str, int] = {}
        self._stopping: set[str] = set()

    def add(self, job: str, incarnation: str, stream: int, now: float) -> None:
        """Record a claim that is to be answered on a stream."""
        self._claims.pop(job, None)
        self._claims[job] = Claimant(incarnation, now)
        self._unanswered[job] = stream
        self._stopping.discard(job)
        while now - next(iter(self._claims.values())).at > CLAIM_RETENTION_SECONDS:
            self._claims.popitem(last=False)

    def find_winner(self, job: str, incarnation: str, now: float) -> str:
        """Return the entry whose claim wins against a new claim of the same job.

        That is an almost simultaneous claimant with a greater incarnation.

        :param incarnation: of the entry that claims the job now.
        :return: the winner's incarnation, or an empty string if the new claim wins.
        """
        claimant = self._claims.get(job)
        if claimant is None or now - claimant.at > SIMULTANEOUS_SECONDS:
            return ""
        return claimant.incarnation if claimant.incarnation > incarnation else ""

    def allows(self, job: str, incarnation: str) -> bool:
        """Return whether an entry may start runs of a job, by the last claim of it."""
        claimant = self._claims.get(job)
        return claimant is None or claimant.incarnation == incarnation

    def list_unanswered(self) -> list[str]:
        """List the jobs whose last claim hasn't been answered completely."""
        return list(self._unanswered)

    def pop_answer_stream(self, job: str) -> int:
        """Mark a claim as answered, and return the stream for the answer."""
        self._stopping.discard(job)
        return self._unanswered.pop(job)

    def begin_stop(self, job: str) -> int | None:
        """Record that other entries' runs of a job are being stopped.

        :return: the stream on which to report this; ``None`` if that was done already.
        """
        if job in self._stopping:
            return None
        self._stopping.add(job)
        return self._unanswered[job]
