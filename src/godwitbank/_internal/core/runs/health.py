"""Health of one endpoint: its failure rate."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest run in an endpoint's failure share."""

EJECTION_FAILURE_SHARE = 0.6
"""Failure share from which an endpoint is ejected: three consecutive failures from a
clean record. Healthy endpoints, where 0.2 % of runs fail, practically never reach it,
and neither does a single job that can never succeed."""

FIRST_EJECTION_SECONDS = 1.5
"""Seconds of the first ejection; doubled with each consecutive one."""

MAX_EJECTION_SECONDS = 6.0

MAX_PROBE_RUNS = 1
"""Concurrent runs that an ejected endpoint gets afterwards until one succeeds."""


class EndpointHealth:
    """Failures of one endpoint as seen by one entry.

    :ivar failure_share: moving average of the share of runs that failed.
    :ivar ejected_until: time until which the endpoint gets no runs.
    :ivar probing: whether it was ejected and no run has succeeded since.
    """

    def __init__(self) -> None:
        self.failure_share = 0.0
        self.ejected_until = 0.0
        self.probing = False
        self._ejections = 0
        self._last_job = ""

    def record_success(self) -> None:
        """Record a run that succeeded."""
        self.failure_share *= 1 - FAILURE_WEIGHT
        self._ejections = 0
        self.probing = False

    def record_failure(self, job: str, now: float) -> bool:
        """Record a run that failed or stalled.

        A job that can never succeed fails everywhere. Only the first of its consecutive
        failures counts here, otherwise it would eject healthy endpoints.

        :return: whether this failure ejects the endpoint.
        """
        if now < self.ejected_until:
            # The run was sent before the ejection and says nothing about the
            # endpoint's health afterwards.
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
        """Reset the record; a restarted endpoint may be of another kind."""
        self.__init__()  # type: ignore[misc]

    def allows_run(self, runs: int, now: float) -> bool:
        """Return whether one more run may be sent.

        :param runs: number of runs of this entry at the endpoint.
        """
        if now < self.ejected_until:
            return False
        return not self.probing or runs < MAX_PROBE_RUNS
