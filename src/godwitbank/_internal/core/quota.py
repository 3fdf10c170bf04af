"""A team's quota of task starts, divided among entries by observed demand."""

from typing import NamedTuple

DEMAND_HALF_LIFE_SECONDS = 2.0
"""Seconds in which a past demand counts half."""

BASE_DEMAND_STARTS_PER_SECOND = 1.0
"""Starts a second added to each entry's demand, so that none has no share."""


class PeerDemand(NamedTuple):
    """What another entry said of its demand, in starts a second."""

    demand: float
    heard_at: float


class Quota:
    """Token bucket of one service at one entry.

    A job larger than the bucket may run the bucket into debt, since it can't
    be admitted in part; later submissions wait until the debt is paid.
    """

    PEER_DEMAND_LAPSE_SECONDS = 5.0

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self.demand = 0.0
        self._tokens = rate * burst
        self._refilled_at = now
        self._demand_at = now
        self._peers: dict[str, PeerDemand] = {}

    def configure(self, rate: float, burst: float) -> None:
        """Put a new quota in force."""
        if rate > 0 >= self.rate:
            self._tokens = rate * burst
        self.rate = rate
        self.burst = burst

    def update_peer_demand(self, peer: str, demand: float, now: float) -> None:
        """Note another entry's demand."""
        self._peers[peer] = PeerDemand(demand, now)

    def measure_share(self, now: float) -> float:
        """Tell this entry's share of the quota, 0 to 1."""
        others = [
            peer.demand + BASE_DEMAND_STARTS_PER_SECOND
            for peer in self._peers.values()
            if now - peer.heard_at < self.PEER_DEMAND_LAPSE_SECONDS
        ]
        own = self.demand + BASE_DEMAND_STARTS_PER_SECOND
        return own / (own + sum(others))

    def take_tokens(self, starts: int, now: float) -> float:
        """Take tokens for a submission.

        :return: 0 when admitted, else seconds after which to come back.
        """
        self._record_demand(starts, now)
        if self.rate <= 0:
            return 0.0
        rate = self.rate * self.measure_share(now)
        earned = (now - self._refilled_at) * rate
        self._tokens = min(self._tokens + earned, rate * self.burst)
        self._refilled_at = now
        if self._tokens <= 0:
            return max((1.0 - self._tokens) / rate, 0.05)
        self._tokens -= starts
        return 0.0

    def _record_demand(self, starts: int, now: float) -> None:
        decay = 0.5 ** ((now - self._demand_at) / DEMAND_HALF_LIFE_SECONDS)
        self.demand = self.demand * decay + starts / (DEMAND_HALF_LIFE_SECONDS / 0.6931)
        self._demand_at = now
