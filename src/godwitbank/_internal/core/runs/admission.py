"""Whether a job is taken: refuse at once what can't be served in time.

A caller who is refused at once can act; one who waits in a queue that can't be
served in time loses that time, and takes room from those who could be served.
"""

from godwitbank._internal.core.runs.waiting import WaitingTasks
from godwitbank._internal.core.runs.work import Job

LATE_FACTOR = 3.0
"""A result after this multiple of the objective is of no use to the caller."""

TOLERANCE = 1.0
"""Multiple of a job's slack that its expected wait may reach."""


class Admission:
    """Backlog of all entries, and what it means for a new job."""

    def __init__(self) -> None:
        self._peers: dict[str, float] = {}

    def hear(self, peer: str, backlog: float) -> None:
        """Note a peer's backlog, in core-seconds."""
        self._peers[peer] = backlog

    def forget(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(peer, None)

    def judge(
        self, job: Job, waiting: WaitingTasks, capacity: float, now: float
    ) -> str | None:
        """Tell why a job must be refused, or ``None``.

        :param capacity: cores of all open endpoints of its service.
        """
        if capacity <= 0:
            return "no_endpoint"
        ahead = waiting.measure_ahead(job.rank) + sum(self._peers.values())
        slack = max(job.rank - now, 0.05)
        if ahead / capacity > TOLERANCE * slack:
            return "overload"
        return None

    def is_hopeless(self, job: Job, now: float) -> bool:
        """Tell whether a job that hasn't begun can't end in time any more."""
        chain = job.objective - (job.rank - job.arrival)
        return now + chain > job.arrival + LATE_FACTOR * job.objective
