"""How well one endpoint serves: its speed, and whether it fails what it starts."""

import math

SLOWNESS_WEIGHT = 0.12
"""Weight of the newest run in an endpoint's slowness; about eight runs count."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest run in an endpoint's failure share."""

EJECTION_FAILURE_SHARE = 0.6
"""Failure share above which an endpoint gets no work: three failures in a row
from a clean record, which sound ones (0.2 % of runs fail) practically never
reach, and a job that can never run doesn't reach alone."""

FIRST_EJECTION_SECONDS = 1.5
"""Seconds of the first ejection; doubled with each further one in a row."""

MAX_EJECTION_SECONDS = 6.0

MAX_PROBE_RUNS = 1
"""Runs at once that an endpoint gets after an ejection until one is done."""


class EndpointHealth:
    """One endpoint's record at one entry."""

    def __init__(self) -> None:
        self.log_slowdown = 0.0
        self.failure_share = 0.0
        self.ejected_until = 0.0
        self.probing = False
        self._factor = 1.0
        self._ejections = 0
        self._last_job = ""

    def slowdown_factor(self) -> float:
        """Tell by what factor runs take longer here than elsewhere."""
        return self._factor

    def record_success(self, elapsed: float, expected: float) -> None:
        """Note a run that was done, with its run time in seconds."""
        ratio = math.log(max(elapsed, 1e-3) / max(expected, 1e-3))
        self.log_slowdown += SLOWNESS_WEIGHT * (ratio - self.log_slowdown)
        # Read for every agent at every choice, far oftener than runs end.
        self._factor = math.exp(self.log_slowdown)
        self.failure_share *= 1 - FAILURE_WEIGHT
        self._ejections = 0
        self.probing = False

    def record_failure(self, job: str, now: float) -> bool:
        """Note a run that failed or stood still.

        A job that can never be done fails everywhere; only the first of its
        failures in a row counts here, or it would eject sound endpoints.

        :return: whether the endpoint is ejected by it.
        """
        if now < self.ejected_until:
            # Runs sent before; they say nothing about how it is afterwards.
            return False
        if job == self._last_job and not self.probing:
            return False
        self._last_job = job
        self.failure_share += FAILURE_WEIGHT * (1 - self.failure_share)
        if self.failure_share < EJECTION_FAILURE_SHARE and not self.probing:
            return False
        self._ejections += 1
        seconds = FIRST_EJECTION_SECONDS * 2 ** (self._ejections - 1)
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.probing = True
        return True

    def clear(self) -> None:
        """Forget the record; another boot may be of another kind."""
        self.__init__()  # type: ignore[misc]

    def allows_run(self, runs: int, now: float) -> bool:
        """Tell whether another run may be sent beside ``runs`` at work."""
        if now < self.ejected_until:
            return False
        return not self.probing or runs < MAX_PROBE_RUNS
