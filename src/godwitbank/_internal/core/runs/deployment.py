"""Settings of a deployment: its endpoints, its store and the time limits to keep."""

from typing import NamedTuple

MAX_LEASE_SECONDS = 1.0
"""Seconds of the longest lease that is granted, if endpoints allow it. The runs of a
process that has died must end soon."""

MAX_MISSED_REPORTS = 3
"""Consecutive reports that may be lost before an endpoint counts as gone."""

REPORT_SLACK_SECONDS = 0.5
"""Seconds by which a report may be late, or that a new process needs to get one."""


class Deployment(NamedTuple):
    """Values that differ between deployments.

    :param max_lease_seconds: longest lease that endpoints allow.
    :param report_interval_seconds: time between two reports of an endpoint.
    :param off_rack_factor: factor by which a task takes longer if it runs outside the
        rack that holds its data.
    :param fault_free_seconds: time without a fault after which the time limits apply to
        a process again.
    :param change_bound_seconds: time within which a change made by operators must be in
        force.
    :param store_reads_per_second: reads that the store allows to all processes
        together.
    """

    max_lease_seconds: float = MAX_LEASE_SECONDS
    report_interval_seconds: float = 1.5
    off_rack_factor: float = 1.5
    fault_free_seconds: float = 3.0
    change_bound_seconds: float = 2.0
    store_reads_per_second: float = 2000.0

    @property
    def granted_lease_seconds(self) -> float:
        """Length of the leases that are granted, in seconds."""
        return min(MAX_LEASE_SECONDS, self.max_lease_seconds)

    @property
    def report_timeout_seconds(self) -> float:
        """Seconds without a report after which an endpoint counts as gone."""
        return MAX_MISSED_REPORTS * self.report_interval_seconds + REPORT_SLACK_SECONDS

    @property
    def change_timeout_seconds(self) -> float:
        """Seconds after a fault within which a change must be noticed."""
        return max(self.fault_free_seconds, self.change_bound_seconds)

    @property
    def agent_startup_seconds(self) -> float:
        """Seconds within which a new agent gets the first report of its endpoint."""
        return self.report_interval_seconds + REPORT_SLACK_SECONDS


DEFAULT_DEPLOYMENT = Deployment()
