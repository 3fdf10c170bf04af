"""Which entry owns which job, as far as other entries have announced it.

A caller whose connection broke submits the same job again, to any entry. The runs that
the first entry ordered may still be alive; if the second entry started the job at once,
each task would run twice at the same time. Entries therefore announce the jobs that
they own, and the second entry asks the first one to stop the job before it starts
anything.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

from godwitbank._internal.core.runs.lease import LAPSE_SECONDS

OWNERSHIP_RETENTION_SECONDS = 12.0
"""Seconds for which a job's owner and a lost peer are kept; longer than callers wait
(10 s)."""

YIELD_TIMEOUT_SECONDS = 0.8
"""Seconds that another entry has to stop a job and say so; its agents stop runs in some
50 ms."""

CLAIM_TIMEOUT_SECONDS = 0.05
"""Seconds that agents have to answer a claim once all runs ordered by lost entries have
expired. Agents that are alive answer at once. A longer wait for unreachable agents
would also delay every job for as long as an entry is missing."""


class Ownership(NamedTuple):
    """The ownership of a job by a peer.

    :param incarnation: of the peer.
    :param at: when the peer became the owner, in seconds on this entry's clock.
    """

    incarnation: str
    at: float


class LostPeer(NamedTuple):
    """A peer that is unreachable from here, and that no other entry is known to reach.

    :param last_alive_at: the latest time at which it may have shown that it was alive,
        if it is gone.
    :param confirmed: whether the other entries that were probed can't reach it either.
    """

    address: str
    last_alive_at: float
    confirmed: bool

    @property
    def runs_expire_at(self) -> float:
        """When no run that it ordered is alive any more, if it is gone."""
        return self.last_alive_at + LAPSE_SECONDS


class JobOwnership:
    """Jobs owned by peers, the latest record last, and the peers that are lost."""

    def __init__(self) -> None:
        self._owners: OrderedDict[str, Ownership] = OrderedDict()
        self._lost: dict[str, LostPeer] = {}
        self._unreachable_since: dict[str, float] = {}
        self._indirectly_reachable: dict[str, LostPeer] = {}

    def record(self, job: str, age: float, incarnation: str, now: float) -> None:
        """Record that a peer became a job's owner; the most recent owner counts.

        :param age: seconds since the peer became the owner.
        """
        known = self._owners.pop(job, None)
        ownership = Ownership(incarnation, now - age)
        if known is not None and known.at > ownership.at:
            ownership = known
        self._owners[job] = ownership
        while self._owners:
            oldest = next(iter(self._owners))
            if now - self._owners[oldest].at < OWNERSHIP_RETENTION_SECONDS:
                break
            del self._owners[oldest]

    def mark_lost(self, incarnation: str, address: str, last_alive_at: float) -> None:
        """Record that the last stream to a peer ended, or that it was never reached."""
        self._lost[incarnation] = LostPeer(address, last_alive_at, False)

    def mark_lost_again(self, incarnation: str, now: float) -> None:
        """Record that no entry is left that is known to reach a lost peer."""
        lost = self._indirectly_reachable.pop(incarnation, None)
        if lost is not None:
            self._lost[incarnation] = lost._replace(last_alive_at=now)

    def update_last_alive(self, incarnation: str, last_alive_at: float) -> None:
        """Record that another entry knows a lost peer to have been alive later."""
        lost = self._lost.get(incarnation)
        if lost is not None and last_alive_at > lost.last_alive_at:
            self._lost[incarnation] = lost._replace(last_alive_at=last_alive_at)

    def confirm_lost(self, incarnation: str) -> None:
        """Record that other entries can't reach a lost peer either."""
        lost = self._lost.get(incarnation)
        if lost is not None:
            self._lost[incarnation] = lost._replace(confirmed=True)

    def mark_indirectly_reachable(self, incarnation: str, now: float) -> None:
        """Record that another entry reaches a lost peer and forwards its ownership."""
        lost = self._lost.pop(incarnation, None)
        if lost is not None:
            self._indirectly_reachable[incarnation] = lost
        cutoff = now - OWNERSHIP_RETENTION_SECONDS
        self._indirectly_reachable = {
            each: lost
            for each, lost in self._indirectly_reachable.items()
            if lost.last_alive_at > cutoff
        }

    def record_unreachable(self, incarnation: str, now: float) -> None:
        """Record that others announce jobs of a peer that is unreachable from here.

        Its jobs are known through them, so it doesn't count as a lost peer.
        """
        cutoff = now - OWNERSHIP_RETENTION_SECONDS
        self._unreachable_since = {
            each: at for each, at in self._unreachable_since.items() if at > cutoff
        }
        self._unreachable_since.setdefault(incarnation, now)

    def mark_connected(self, incarnation: str) -> None:
        """Record that a peer has announced its jobs on a new stream."""
        self._lost.pop(incarnation, None)
        self._unreachable_since.pop(incarnation, None)
        self._indirectly_reachable.pop(incarnation, None)

    def list_by_owner(self) -> dict[str, dict[str, Ownership]]:
        """List the jobs of each peer, by the peer's incarnation and the job."""
        owned: dict[str, dict[str, Ownership]] = {}
        for job, ownership in self._owners.items():
            owned.setdefault(ownership.incarnation, {})[job] = ownership
        return owned

    def may_be_incomplete(self, now: float, queries_agents: bool) -> bool:
        """Return whether a lost peer may own jobs that it couldn't announce here.

        :param queries_agents: whether agents can tell what a lost peer runs. Their
            answers are more reliable than other entries' confirmation that it is lost,
            so a confirmed loss doesn't end early then.
        """
        cutoff = now - OWNERSHIP_RETENTION_SECONDS
        self._lost = {
            each: lost
            for each, lost in self._lost.items()
            if lost.last_alive_at > cutoff
            and (queries_agents or not lost.confirmed or now < lost.runs_expire_at)
        }
        return bool(self._lost)

    @property
    def all_losses_confirmed(self) -> bool:
        """Whether other entries can't reach any of the lost peers either."""
        return all(lost.confirmed for lost in self._lost.values())

    def list_lost_addresses(self, now: float = -math.inf) -> set[str]:
        """List the addresses of lost peers whose runs may be alive after a time.

        :param now: that time, in seconds; by default every recently lost peer counts.
        """
        return {
            lost.address for lost in self._lost.values() if lost.runs_expire_at > now
        }

    def get_last_expiry(self) -> float:
        """Return when no run ordered by any lost peer is alive any more."""
        return max(
            (lost.runs_expire_at for lost in self._lost.values()), default=-math.inf
        )

    def get(self, job: str) -> Ownership | None:
        """Return a job's owner and since when it is the owner."""
        return self._owners.get(job)

    def find_owner(self, job: str) -> str:
        """Return the incarnation of the peer that owns a job, or an empty string."""
        ownership = self._owners.get(job)
        return ownership.incarnation if ownership else ""

    def forget(self, job: str) -> None:
        """Forget a job that its owner has given up."""
        self._owners.pop(job, None)

    def get_expiry(self, incarnation: str, now: float) -> float:
        """Return when no run ordered by an unreachable peer is alive any more."""
        for known in (self._lost, self._indirectly_reachable):
            if incarnation in known:
                return known[incarnation].runs_expire_at
        return self._unreachable_since.setdefault(incarnation, now) + LAPSE_SECONDS
