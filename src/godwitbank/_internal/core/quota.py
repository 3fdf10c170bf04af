"""A team's quota of task starts, divided among entries by their demand."""

from typing import NamedTuple

DEMAND_HALF_LIFE_SECONDS = 2.0
"""Half-life, in seconds, of the demand estimate."""

BASE_DEMAND_STARTS_PER_SECOND = 1.0
"""Added to each entry's demand, so that an idle entry still has a share."""


class PeerDemand(NamedTuple):
    """Demand that another entry reported, in starts per second."""

    demand: float
    received_at: float


class Quota:
    """Token bucket of one service at one entry.

    A job can't be admitted in part, so one with more tasks than there are tokens
    makes the balance negative; later submissions are refused until it is positive.

    :param rate: starts per second of all entries together; 0 for no limit.
    :param burst: seconds of unused quota that the bucket holds.
    :ivar demand: estimated starts per second that this entry's callers ask for.
    """

    # Seconds after which the demand that another entry reported is ignored.
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
        """Apply a changed quota; the bucket starts full when a limit is introduced."""
        if rate > 0 >= self.rate:
            self._tokens = rate * burst
        self.rate = rate
        self.burst = burst

    def update_peer_demand(self, peer: str, demand: float, now: float) -> None:
        """Record the demand that another entry reported, in starts per second."""
        self._peers[peer] = PeerDemand(demand, now)

    def measure_share(self, now: float) -> float:
        """Return this entry's share of the quota, 0 to 1."""
        others = [
            peer.demand + BASE_DEMAND_STARTS_PER_SECOND
            for peer in self._peers.values()
            if now - peer.received_at < self.PEER_DEMAND_LAPSE_SECONDS
        ]
        own = self.demand + BASE_DEMAND_STARTS_PER_SECOND
        return own / (own + sum(others))

    def take_tokens(self, starts: int, now: float) -> float:
        """Take one token for each start of a submission.

        :return: 0 if admitted, else seconds after which the caller may retry.
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
        # 0.6931 is ln 2: divided by it, the half-life becomes the time constant.
        self.demand = self.demand * decay + starts / (DEMAND_HALF_LIFE_SECONDS / 0.6931)
        self._demand_at = now
