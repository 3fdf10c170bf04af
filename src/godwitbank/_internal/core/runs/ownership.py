"""Which entry has which job, as far as this entry was told.

A caller whose connection broke submits the same job again, to any entry. The
first entry's runs may still be alive; started a second time they would run
twice at once. Entries tell each other what they have taken, and the second asks
the first to stop before it starts anything.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from godwitbank._internal.core.runs.lease import LAPSE_SECONDS

REMEMBER_SECONDS = 12.0
"""Seconds a taking and a lost peer are remembered; longer than callers wait (10 s)."""

YIELD_SECONDS = 0.8
"""Seconds the other entry has to answer; its agents stop runs in some 50 ms."""

CLAIM_SECONDS = 0.05
"""Seconds agents have to answer a claim once all that lost entries ordered is over;
those that live do at once. Longer waits for agents that are dark would make every job
late while an entry is missing, too."""


class Taking(NamedTuple):
    """A peer took a job."""

    incarnation: str
    at: float


class Loss(NamedTuple):
    """A peer that can't be reached, and that nobody is known to reach.

    :param lived_at: by when it proved its life for the last time, if it is gone.
    :param confirmed: whether others that were asked can't reach it either.
    """

    address: str
    lived_at: float
    confirmed: bool

    @property
    def over_at(self) -> float:
        """When nothing runs by its orders any more, if it is gone."""
        return self.lived_at + LAPSE_SECONDS


class Takings:
    """Jobs taken by peers, newest last."""

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, Taking] = OrderedDict()
        self._lost: dict[str, Loss] = {}
        self._missed: dict[str, float] = {}
        self._settled: dict[str, Loss] = {}

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

    def lose(self, incarnation: str, address: str, lived_at: float) -> None:
        """Note that a peer's last stream ended."""
        self._lost[incarnation] = Loss(address, lived_at, False)

    def lose_again(self, incarnation: str, now: float) -> None:
        """Note that nobody who is known to reach a lost peer is left."""
        settled = self._settled.pop(incarnation, None)
        if settled is not None:
            self._lost[incarnation] = settled._replace(lived_at=now)

    def hear_lost(self, incarnation: str, lived_at: float) -> None:
        """Note by when a lost peer may have lived, as another entry knows."""
        loss = self._lost.get(incarnation)
        if loss is not None and lived_at > loss.lived_at:
            self._lost[incarnation] = loss._replace(lived_at=lived_at)

    def confirm(self, incarnation: str) -> None:
        """Note that others can't reach a lost peer either."""
        loss = self._lost.get(incarnation)
        if loss is not None:
            self._lost[incarnation] = loss._replace(confirmed=True)

    def settle(self, incarnation: str, now: float) -> None:
        """Note that another entry reaches a lost peer and passes on what it takes."""
        loss = self._lost.pop(incarnation, None)
        if loss is not None:
            self._settled[incarnation] = loss
        lately = now - REMEMBER_SECONDS
        self._settled = {
            each: loss for each, loss in self._settled.items() if loss.lived_at > lately
        }

    def miss(self, incarnation: str, now: float) -> None:
        """Note that others tell of a peer which can't be reached from here.

        What it had taken is known through them, so nothing needs to be guessed.
        """
        lately = now - REMEMBER_SECONDS
        self._missed = {each: at for each, at in self._missed.items() if at > lately}
        self._missed.setdefault(incarnation, now)

    def regain(self, incarnation: str) -> None:
        """Note that a peer has told what it has taken, on a new stream."""
        self._lost.pop(incarnation, None)
        self._missed.pop(incarnation, None)
        self._settled.pop(incarnation, None)

    def list_by_owner(self) -> dict[str, dict[str, Taking]]:
        """List what each peer took, by the peer's incarnation and the job."""
        owned: dict[str, dict[str, Taking]] = {}
        for job, taking in self._jobs.items():
            owned.setdefault(taking.incarnation, {})[job] = taking
        return owned

    def is_blind(self, now: float, asks_agents: bool) -> bool:
        """Tell whether a peer that was lost may have taken jobs unheard.

        :param asks_agents: whether agents can tell, which is worth more than what other
            entries say of a lost one.
        """
        lately = now - REMEMBER_SECONDS
        self._lost = {
            each: loss
            for each, loss in self._lost.items()
            if loss.lived_at > lately
            and (asks_agents or not loss.confirmed or now < loss.over_at)
        }
        return bool(self._lost)

    @property
    def confirmed(self) -> bool:
        """Whether others can't reach any of the lost peers either."""
        return all(loss.confirmed for loss in self._lost.values())

    def list_lost(self, now: float = -math.inf) -> set[str]:
        """List the addresses of lost peers whose orders may be in force after a time.

        :param now: by default all that were lost lately.
        """
        return {loss.address for loss in self._lost.values() if loss.over_at > now}

    def find_over(self) -> float:
        """Tell when nothing runs by the orders of lost peers any more."""
        return max((loss.over_at for loss in self._lost.values()), default=-math.inf)

    def get(self, job: str) -> Taking | None:
        """Find who took a job, and when."""
        return self._jobs.get(job)

    def find(self, job: str) -> str:
        """Find the incarnation of the peer that took a job, or an empty string."""
        taking = self._jobs.get(job)
        return taking.incarnation if taking else ""

    def forget(self, job: str) -> None:
        """Forget a job that its taker has given up."""
        self._jobs.pop(job, None)

    def find_lapse(self, incarnation: str, now: float) -> float:
        """Tell when the runs of a peer that can't be reached are gone."""
        for known in (self._lost, self._settled):
            if incarnation in known:
                return known[incarnation].over_at
        return self._missed.setdefault(incarnation, now) + LAPSE_SECONDS
