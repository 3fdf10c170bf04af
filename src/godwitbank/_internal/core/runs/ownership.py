"""Which entry has which job, as far as this entry was told.

A caller whose connection broke submits the same job again, to any entry. The
first entry's runs may still be alive; started a second time they would run
twice at once. Entries tell each other what they have taken, and the second asks
the first to stop before it starts anything.
"""

from collections import OrderedDict
from typing import NamedTuple

from godwitbank._internal.core.runs.lease import LAPSE_SECONDS

REMEMBER_SECONDS = 12.0
"""Seconds a taking and a lost peer are remembered; longer than callers wait (10 s)
and the 1.3 s after which they submit again."""

YIELD_SECONDS = 0.8
"""Seconds the other entry has to answer; its agents stop runs in some 50 ms."""

CLAIM_SECONDS = 0.05
"""Seconds agents have to answer a claim; those that live do within 5 ms, and their
stopping of a run takes 50 ms. Longer waits for agents that were dark made every job
late while an entry was missing, too."""


class Taking(NamedTuple):
    """A peer took a job."""

    incarnation: str
    at: float


class Takings:
    """Jobs taken by peers, newest last."""

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, Taking] = OrderedDict()
        self._lost: dict[str, float] = {}
        self._missed: dict[str, float] = {}
        self._settled: dict[str, float] = {}

    def note(self, job: str, age: float, incarnation: str, now: float) -> None:
        """Note what a peer took ``age`` seconds ago; the newest taking counts."""
        known = self._jobs.pop(job, None)
        taking = Taking(incarnation, now - age)
        if known is not None and known.at > taking.at:
            taking = known
        self._jobs[job] = taking
        while self._jobs:
            oldest = next(iter(self._jobs))
            if now - self._jobs[oldest].at < REMEMBER_SECONDS:
                break
            del self._jobs[oldest]

    def lose(self, incarnation: str, now: float) -> None:
        """Note that a peer's last stream ended."""
        self._lost[incarnation] = now

    def settle(self, incarnation: str) -> None:
        """Note that a lost peer has taken nothing that isn't known here."""
        lost_at = self._lost.pop(incarnation, None)
        if lost_at is not None:
            lately = lost_at - REMEMBER_SECONDS
            self._settled = {
                each: at for each, at in self._settled.items() if at > lately
            }
            self._settled[incarnation] = lost_at

    def miss(self, incarnation: str, now: float) -> None:
        """Note that others tell of a peer which can't be reached from here.

        What it had taken is known through them, so nothing needs to be guessed.
        """
        lately = now - REMEMBER_SECONDS
        self._missed = {each: at for each, at in self._missed.items() if at > lately}
        self._missed.setdefault(incarnation, now)

    def regain(self, incarnation: str) -> None:
        """Note a stream to a peer; it tells what it has taken meanwhile."""
        self._lost.pop(incarnation, None)
        self._missed.pop(incarnation, None)
        self._settled.pop(incarnation, None)

    def list_by_owner(self) -> dict[str, dict[str, Taking]]:
        """List what each peer took, by the peer's incarnation and the job."""
        owned: dict[str, dict[str, Taking]] = {}
        for job, taking in self._jobs.items():
            owned.setdefault(taking.incarnation, {})[job] = taking
        return owned

    def is_blind(self, now: float) -> bool:
        """Tell whether a peer that was lost may have taken jobs unheard."""
        lately = now - REMEMBER_SECONDS
        self._lost = {each: at for each, at in self._lost.items() if at > lately}
        return bool(self._lost)

    def find(self, job: str) -> str:
        """Find the incarnation of the peer that took a job, or an empty string."""
        taking = self._jobs.get(job)
        return taking.incarnation if taking else ""

    def forget(self, job: str) -> None:
        """Forget a job that its taker has given up."""
        self._jobs.pop(job, None)

    def find_lapse(self, incarnation: str, now: float) -> float:
        """Tell when the runs of a peer that can't be reached are gone."""
        for known in (self._lost, self._settled, self._missed):
            if incarnation in known:
                return known[incarnation] + LAPSE_SECONDS
        return now + LAPSE_SECONDS
