"""Taking endpoints that fail or crawl out of rotation, within a cap.

An endpoint that fails everything at once looks idle and would draw all work.
It is judged against its peers: a job that fails everywhere raises everyone's
rate alike and ejects nobody.
"""

from statistics import median

from godwitbank._internal.core.pool import AgentView, Pool

MIN_FAILURE_RATE = 0.5
"""Failure share below which nobody is ejected."""

PEER_RATE_FACTOR = 3.0
"""How many times its peers' median rate an endpoint must fail."""

MAX_EJECTED_SHARE = 0.34
"""Largest share of a service's endpoints ejected at once."""

SLOW_LOG_RATIO = 1.4
"""Log of run time over its class mean, against peers, that counts as crawling."""

SUSPECT_LOG_RATIO = 0.5
"""Log ratio below which peers aren't even looked at."""

MIN_RUNS = 8
"""Runs below which slowness is not judged."""

FIRST_EJECTION_SECONDS = 10.0
MAX_EJECTION_SECONDS = 60.0
"""Seconds out of rotation: doubles from the first to the longest."""


def find_reason(view: AgentView, pool: Pool, now: float) -> str | None:
    """Say why an agent should be ejected, or ``None``."""
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
    peer_rate = median(measure_failure_rate(peer, now) for peer in peers)
    if rate >= MIN_FAILURE_RATE and rate > PEER_RATE_FACTOR * peer_rate:
        return "failing"
    if slow:
        peer_slowness = median(peer.slowness for peer in peers)
        if view.slowness - peer_slowness > SLOW_LOG_RATIO:
            return "slow"
    return None


def measure_failure_rate(view: AgentView, now: float) -> float:
    """Tell an agent's failure share as seen here and as it says itself."""
    return max(view.failures.measure(now), view.reported_failure_rate)


def eject(view: AgentView, now: float) -> None:
    """Take an agent out of rotation."""
    seconds = min(FIRST_EJECTION_SECONDS * 2**view.ejections, MAX_EJECTION_SECONDS)
    view.ejected_until = now + seconds
    view.ejections += 1
    view.probing = True


def reinstate(view: AgentView) -> None:
    """Put an agent back after a probe that went well."""
    view.ejected_until = 0.0
    view.probing = False
    view.failures.clear()
    view.reported_failure_rate = 0.0
    view.slowness = 0.0
    view.runs = 0
