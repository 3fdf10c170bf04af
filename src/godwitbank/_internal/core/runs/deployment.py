"""What a deployment's settings tell of its endpoints, its store and its bounds."""

from typing import NamedTuple

MAX_LEASE_SECONDS = 1.0
"""Seconds of the longest lease that is granted, if endpoints allow as much: what a
process that is gone had ordered must soon be over."""

MAX_MISSED_REPORTS = 3
"""Reports that may be lost one after the other before an endpoint counts as gone."""

REPORT_SLACK_SECONDS = 0.5
"""Seconds that a report may be late, or a process need to be reached by one."""


class Deployment(NamedTuple):
    """Figures that differ between deployments.

    :param longest_lease: seconds of the longest lease that endpoints allow.
    :param report_period: seconds between two reports of an endpoint.
    :param away_factor: how many times as long a task takes away from its data.
    :param contact: seconds without a fault after which a process is held to bounds.
    :param change_bound: seconds in which a change of the operators must be in force.
    :param store_reads: reads a second that the store allows to all processes.
    """

    max_lease_seconds: float = MAX_LEASE_SECONDS
    report_interval_seconds: float = 1.5
    off_rack_factor: float = 1.5
    fault_free_seconds: float = 3.0
    change_bound_seconds: float = 2.0
    store_reads_per_second: float = 2000.0

    @property
    def granted_lease_seconds(self) -> float:
        """Seconds of the leases that are granted."""
        return min(MAX_LEASE_SECONDS, self.max_lease_seconds)

    @property
    def report_timeout_seconds(self) -> float:
        """Seconds without a report after which an endpoint counts as gone."""
        return MAX_MISSED_REPORTS * self.report_interval_seconds + REPORT_SLACK_SECONDS

    @property
    def change_timeout_seconds(self) -> float:
        """Seconds after a fault for which a change may stay unseen."""
        return max(self.fault_free_seconds, self.change_bound_seconds)

    @property
    def agent_startup_seconds(self) -> float:
        """Seconds in which a new agent may still hear of its endpoint."""
        return self.report_interval_seconds + REPORT_SLACK_SECONDS


DEFAULT_DEPLOYMENT = Deployment()
