"""The lease that covers all runs of an endpoint, measured on the endpoint's clock.

A lease is granted on behalf of the entries that own the runs, and its end is limited by
the time at which each of them was last known to be alive. So the runs of an entry that
dies end within ``LAPSE_SECONDS``, even if the agent in between fails as well.
"""

import math

from godwitbank._internal.core.runs.deployment import MAX_LEASE_SECONDS

MAX_CLOCK_SKEW = 0.02
"""Largest fraction by which an endpoint's clock may run slower than real time."""

LAPSE_SLACK_SECONDS = 0.1
"""Seconds added to the end of a lease before its runs count as ended. The endpoint ends
its runs a little later than its clock says, and its answers take time to arrive."""


OWNER_LIVENESS_SECONDS = 1.0
"""Seconds for which runs may continue after their owner was last known to be alive.

This is longer than the timeout of a busy stream, after which an agent stops an entry's
runs, plus the time to stop them. Otherwise the lease of the endpoint would end first,
and with it the runs of other entries.
"""

LAPSE_SECONDS = OWNER_LIVENESS_SECONDS + LAPSE_SLACK_SECONDS
"""Seconds after an entry was last known to be alive until all its runs have ended."""

MIN_LEASE_SECONDS = 0.1
"""Seconds of the shortest lease that is granted for a new run. The start order must
reach the endpoint before the lease ends."""


class EndpointClock:
    """Estimates an endpoint's clock and records the end of all leases granted on it.

    :param lease_seconds: length of the leases to grant.
    """

    def __init__(self, lease_seconds: float = MAX_LEASE_SECONDS) -> None:
        self._lease_seconds = lease_seconds
        self._reading: int | None = None
        self._read_at = 0.0
        self.lapsed_at = -math.inf

    @property
    def known(self) -> bool:
        """Whether the endpoint has reported its clock."""
        return self._reading is not None

    def update(self, clock: int | None, now: float) -> None:
        """Update the clock from an answer; older answers may arrive later.

        :param clock: reading of the endpoint's clock in milliseconds, if there is one.
        """
        if clock is None or (self._reading is not None and clock < self._reading):
            return
        self._reading = clock
        self._read_at = now

    def read(self, now: float) -> int:
        """Return the estimated reading of the endpoint's clock now, in milliseconds."""
        return (self._reading or 0) + int((now - self._read_at) * 1000)

    def grant(self, now: float, ends_by: float) -> int:
        """Choose the end of a lease that starts now, and record it.

        It is recorded even if the order gets no answer, because the endpoint may have
        carried the order out.

        :param ends_by: time in seconds on the agent's clock by which the lease must end
            even if the endpoint's clock is slow.
        :return: end of the lease in milliseconds of the endpoint's clock.
        """
        max_seconds = (ends_by - self._read_at) * (1 - MAX_CLOCK_SKEW)
        seconds = min(now - self._read_at + self._lease_seconds, max_seconds)
        until = (self._reading or 0) + int(seconds * 1000)
        remaining = (until - (self._reading or 0)) / 1000 / (1 - MAX_CLOCK_SKEW)
        self.lapsed_at = max(
            self.lapsed_at, self._read_at + remaining + LAPSE_SLACK_SECONDS
        )
        return until

    def restart(self, lapsed_at: float) -> None:
        """Discard the clock of an earlier life.

        :param lapsed_at: time in seconds by which the leases granted so far will have
            ended.
        """
        self._reading = None
        self.lapsed_at = lapsed_at

    def reset(self) -> None:
        """Discard the clock and the leases of an earlier boot."""
        self._reading = None
        self.lapsed_at = -math.inf
