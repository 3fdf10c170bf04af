"""Ejection of endpoints that fail or are slow, limited to a share of them.

An endpoint that fails every task immediately looks idle and would attract all work.
Endpoints are compared with their peers: a job that fails everywhere raises all
failure rates alike and ejects no endpoint.
"""

from statistics import median

from godwitbank._internal.core.failure_rate import WINDOW_SUBMISSIONS
from godwitbank._internal.core.pool import AgentView, Pool

MIN_FAILURE_RATE = 0.5
"""Failure rate below which no endpoint is ejected."""

PEER_RATE_FACTOR = 3.0
"""Multiple of its peers' median failure rate above which an endpoint is ejected."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of a service's endpoints that may be ejected at once."""

SLOW_LOG_RATIO = 1.4
"""Excess over the peers' median slowness above which an endpoint is slow. Slowness is
the average logarithm of run time over class mean."""

SUSPECT_LOG_RATIO = 0.5
"""Slowness up to which an endpoint isn't compared with its peers."""

MIN_RUNS = 8
"""Runs below which slowness is not evaluated."""

FIRST_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 60.0
"""Durations of the first and of the longest ejection; each doubles the one before."""


def find_reason(view: AgentView, pool: Pool, now: float) -> str | None:
    """Return why an agent should be ejected, or ``None`` if it shouldn't.

    :return: ``failing`` or ``slow``.
    """
    rate = measure_failure_rate(view, now)
    slow = view.runs >= MIN_RUNS and view.slowness > SUSPECT_LOG_RATIO
    if view.ejected_until > 0 or (rate < MIN_FAILURE_RATE and not slow):
        return None
    peers = [peer for peer in pool.views if peer is not view and peer.service]
    if not peers:
        return None
    ejected = sum(peer.ejected_until > 0 for peer in peers)
    if (ejected + 1) > max(MAX_EJECTED_SHARE * (len(peers) + 1), 1):
        return None
    votes = view.failures.samples or WINDOW_SUBMISSIONS
    peer_rate = median(_measure_peer_failure_rate(peer, votes, now) for peer in peers)
    if rate >= MIN_FAILURE_RATE and rate > PEER_RATE_FACTOR * peer_rate:
        return "failing"
    if slow:
        peer_slowness = median(peer.slowness for peer in peers)
        if view.slowness - peer_slowness > SLOW_LOG_RATIO:
            return "slow"
    return None


def measure_failure_rate(view: AgentView, now: float) -> float:
    """Return the higher of an agent's observed and self-reported failure rates."""
    return max(view.failures.measure(now), view.reported_failure_rate)


def _measure_peer_failure_rate(peer: AgentView, votes: int, now: float) -> float:
    # Over its whole window a peer with a longer history than the compared agent still
    # shows old successes when tasks have begun to fail everywhere.
    observed = peer.failures.measure_latest(votes, now)
    return max(observed, peer.reported_failure_rate)


def eject(view: AgentView, now: float) -> None:
    """Eject an agent; the duration doubles with each ejection."""
    seconds = min(FIRST_EJECTION_SECONDS * 2**view.ejections, MAX_EJECTION_SECONDS)
    view.ejected_until = now + seconds
    view.ejections += 1
    view.probing = True


def reinstate(view: AgentView) -> None:
    """Reinstate an agent after a successful probe."""
    view.ejected_until = 0.0
    view.probing = False
    view.failures.clear()
    view.reported_failure_rate = 0.0
    view.slowness = 0.0
    view.runs = 0
