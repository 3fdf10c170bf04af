"""The lease of everything that runs at an endpoint, on the endpoint's clock.

A lease is granted on behalf of the entries whose runs are there, and never longer than
they are known to have lived. So what an entry ordered ends ``LAPSE_SECONDS`` after the
entry at the latest, whatever has become of the agent between them.
"""

import math

from godwitbank._internal.core.runs.deployment import MAX_LEASE_SECONDS

MAX_CLOCK_SKEW = 0.02
"""How much slower than true an endpoint's clock may run, as a share (bound)."""

LAPSE_SLACK_SECONDS = 0.1
"""Seconds added before a run counts as lapsed: the endpoint ends its runs, and
its answers travel, a little later than its clock says."""


OWNER_LIVENESS_SECONDS = 1.0
"""Seconds for which what an entry ordered may outlive the entry's last proof of life.
Above the silence after which agents stop an entry's runs, with time for the stop: what
others run at the endpoint must not lapse with them."""

LAPSE_SECONDS = OWNER_LIVENESS_SECONDS + LAPSE_SLACK_SECONDS
"""Seconds after an entry's last proof of life by which nothing runs for it any more."""

MIN_LEASE_SECONDS = 0.1
"""Seconds of the shortest lease that is granted for a new run; the order must arrive
before it ends."""


class EndpointClock:
    """An endpoint's clock as last told, and when all that it runs has lapsed."""

    def __init__(self, lease: float = MAX_LEASE_SECONDS) -> None:
        self._lease = lease
        self._told: int | None = None
        self._told_at = 0.0
        self.lapsed_at = -math.inf

    @property
    def known(self) -> bool:
        """Whether the endpoint has told its clock."""
        return self._told is not None

    def update(self, clock: int | None, now: float) -> None:
        """Note the clock in an answer; answers may overtake each other."""
        if clock is None or (self._told is not None and clock < self._told):
            return
        self._told = clock
        self._told_at = now

    def read(self, now: float) -> int:
        """Estimate the endpoint's clock now, in milliseconds."""
        return (self._told or 0) + int((now - self._told_at) * 1000)

    def grant(self, now: float, ends_by: float) -> int:
        """Choose the end of a lease that begins now, and remember it.

        Remembered even if no answer comes: the order may have been carried out.

        :param ends_by: when the lease must be over, however slow the endpoint's clock.
        """
        allowed = (ends_by - self._told_at) * (1 - MAX_CLOCK_SKEW)
        seconds = min(now - self._told_at + self._lease, allowed)
        until = (self._told or 0) + int(seconds * 1000)
        left = (until - (self._told or 0)) / 1000 / (1 - MAX_CLOCK_SKEW)
        self.lapsed_at = max(self.lapsed_at, self._told_at + left + LAPSE_SLACK_SECONDS)
        return until

    def reset(self) -> None:
        """Forget a clock that belonged to an earlier boot."""
        self._told = None
        self.lapsed_at = -math.inf
