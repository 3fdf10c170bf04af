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

OWNERSHIP_RETENTION_SECONDS = 12.0
"""Seconds a taking and a lost peer are remembered; longer than callers wait (10 s)."""

YIELD_TIMEOUT_SECONDS = 0.8
"""Seconds the other entry has to answer; its agents stop runs in some 50 ms."""

CLAIM_TIMEOUT_SECONDS = 0.05
"""Seconds agents have to answer a claim once all that lost entries ordered is over;
those that live do at once. Longer waits for agents that are dark would make every job
late while an entry is missing, too."""


class Ownership(NamedTuple):
    """A peer took a job."""

    incarnation: str
    at: float


class LostPeer(NamedTuple):
    """A peer that can't be reached, and that nobody is known to reach.

    :param last_alive_at: by when it proved its life for the last time, if it is gone.
    :param confirmed: whether others that were asked can't reach it either.
    """

    address: str
    last_alive_at: float
    confirmed: bool

    @property
    def runs_expire_at(self) -> float:
        """When nothing runs by its orders any more, if it is gone."""
        return self.last_alive_at + LAPSE_SECONDS


class JobOwnership:
    """Jobs taken by peers, newest last."""

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, Ownership] = OrderedDict()
        self._lost: dict[str, LostPeer] = {}
        self._missed: dict[str, float] = {}
        self._settled: dict[str, LostPeer] = {}

    def record(self, job: str, age: float, incarnation: str, now: float) -> None:
        """Note what a peer took ``age`` seconds ago; the newest taking counts."""
        known = self._jobs.pop(job, None)
        taking = Ownership(incarnation, now - age)
        if known is not None and known.at > taking.at:
            taking = known
        self._jobs[job] = taking
        while self._jobs:
            oldest = next(iter(self._jobs))
            if now - self._jobs[oldest].at < OWNERSHIP_RETENTION_SECONDS:
                break
            del self._jobs[oldest]

    def mark_lost(self, incarnation: str, address: str, lived_at: float) -> None:
        """Note that a peer's last stream ended."""
        self._lost[incarnation] = LostPeer(address, lived_at, False)

    def mark_lost_again(self, incarnation: str, now: float) -> None:
        """Note that nobody who is known to reach a lost peer is left."""
        settled = self._settled.pop(incarnation, None)
        if settled is not None:
            self._lost[incarnation] = settled._replace(last_alive_at=now)

    def update_last_alive(self, incarnation: str, lived_at: float) -> None:
        """Note by when a lost peer may have lived, as another entry knows."""
        loss = self._lost.get(incarnation)
        if loss is not None and lived_at > loss.last_alive_at:
            self._lost[incarnation] = loss._replace(last_alive_at=lived_at)

    def confirm_lost(self, incarnation: str) -> None:
        """Note that others can't reach a lost peer either."""
        loss = self._lost.get(incarnation)
        if loss is not None:
            self._lost[incarnation] = loss._replace(confirmed=True)

    def mark_indirectly_reachable(self, incarnation: str, now: float) -> None:
        """Note that another entry reaches a lost peer and passes on what it takes."""
        loss = self._lost.pop(incarnation, None)
        if loss is not None:
            self._settled[incarnation] = loss
        lately = now - OWNERSHIP_RETENTION_SECONDS
        self._settled = {
            each: loss
            for each, loss in self._settled.items()
            if loss.last_alive_at > lately
        }

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Note that others tell of a peer which can't be reached from here.

        What it had taken is known through them, so nothing needs to be guessed.
        """
        lately = now - OWNERSHIP_RETENTION_SECONDS
        self._missed = {each: at for each, at in self._missed.items() if at > lately}
        self._missed.setdefault(incarnation, now)

    def mark_connected(self, incarnation: str) -> None:
        """Note that a peer has told what it has taken, on a new stream."""
        self._lost.pop(incarnation, None)
        self._missed.pop(incarnation, None)
        self._settled.pop(incarnation, None)

    def list_by_owner(self) -> dict[str, dict[str, Ownership]]:
        """List what each peer took, by the peer's incarnation and the job."""
        owned: dict[str, dict[str, Ownership]] = {}
        for job, taking in self._jobs.items():
            owned.setdefault(taking.incarnation, {})[job] = taking
        return owned

    def may_be_incomplete(self, now: float, queries_agents: bool) -> bool:
        """Tell whether a peer that was lost may have taken jobs unheard.

        :param queries_agents: whether agents can tell, which is worth more than what
            other entries say of a lost one.
        """
        lately = now - OWNERSHIP_RETENTION_SECONDS
        self._lost = {
            each: loss
            for each, loss in self._lost.items()
            if loss.last_alive_at > lately
            and (queries_agents or not loss.confirmed or now < loss.runs_expire_at)
        }
        return bool(self._lost)

    @property
    def all_losses_confirmed(self) -> bool:
        """Whether others can't reach any of the lost peers either."""
        return all(loss.confirmed for loss in self._lost.values())

    def list_lost_addresses(self, now: float = -math.inf) -> set[str]:
        """List the addresses of lost peers whose orders may be in force after a time.

        :param now: by default all that were lost lately.
        """
        return {
            loss.address for loss in self._lost.values() if loss.runs_expire_at > now
        }

    def get_last_expiry(self) -> float:
        """Tell when nothing runs by the orders of lost peers any more."""
        return max(
            (loss.runs_expire_at for loss in self._lost.values()), default=-math.inf
        )

    def get(self, job: str) -> Ownership | None:
        """Find who took a job, and when."""
        return self._jobs.get(job)

    def find_owner(self, job: str) -> str:
        """Find the incarnation of the peer that took a job, or an empty string."""
        taking = self._jobs.get(job)
        return taking.incarnation if taking else ""

    def forget(self, job: str) -> None:
        """Forget a job that its taker has given up."""
        self._jobs.pop(job, None)

    def get_expiry(self, incarnation: str, now: float) -> float:
        """Tell when the runs of a peer that can't be reached are gone."""
        for known in (self._lost, self._settled):
            if incarnation in known:
                return known[incarnation].runs_expire_at
        return self._missed.setdefault(incarnation, now) + LAPSE_SECONDS
