"""Jobs that were refused and whose callers are to return.

The memory is this entry's own. A caller that returns to another entry is a newcomer
there.
"""

from collections import deque
from typing import NamedTuple

from godwitbank._internal.core.runs.jobs import Job

MAX_REFUSED_JOBS = 1024
"""Bound of the memory, and of the work of each refusal, which sums over all of them."""

RETURN_GRACE_SECONDS = 2.0
"""Seconds after its time to return in which a caller still counts as returning."""

MAX_HEAD_START_SECONDS = 0.2
"""Most seconds by which a job that was refused before goes ahead of newcomers of its
priority. Under lasting overload, callers that return would otherwise take all capacity
and newcomers would only be served once they had been refused themselves."""


class RefusedJob(NamedTuple):
    """A job that was refused.

    :param refused_at: time of its first refusal, in seconds.
    :param expires_at: time at which it is forgotten, in seconds.
    """

    name: str
    priority: int
    core_seconds: float
    refused_at: float
    expires_at: float


def compute_head_start(job: Job) -> float:
    """Return the seconds by which a job goes ahead of newcomers of its priority."""
    return min(max(0.0, job.arrival - job.refused_at), MAX_HEAD_START_SECONDS)


class RefusedJobs:
    """The jobs refused at this entry, until their callers return."""

    def __init__(self) -> None:
        self._jobs: dict[str, RefusedJob] = {}
        self._order: deque[RefusedJob] = deque()

    def __len__(self) -> int:
        return len(self._jobs)

    def record(self, job: Job, retry_seconds: float, now: float) -> None:
        """Record a refusal.

        :param retry_seconds: time until the caller was told to return, in seconds.
        """
        name = job.spec.job
        refused_at = min(job.refused_at, now)
        expires_at = now + retry_seconds + RETURN_GRACE_SECONDS
        refused = RefusedJob(
            name, job.queue.priority, job.core_seconds, refused_at, expires_at
        )
        self._jobs[name] = refused
        self._order.append(refused)
        self._forget_old(now)

    def mark_returned(self, job: Job, now: float) -> bool:
        """Set ``refused_at`` of a submitted job whose caller has returned.

        :return: whether the job was refused here before.
        """
        refused = self._jobs.pop(job.spec.job, None)
        if refused is None or refused.expires_at <= now:
            return False
        job.refused_at = refused.refused_at
        return True

    def measure_ahead(self, priority: int, refused_at: float, now: float) -> float:
        """Return the core-seconds that are to return before a job.

        Those are of more urgent jobs, and of equally urgent ones refused earlier.
        """
        return sum(
            each.core_seconds
            for each in self._jobs.values()
            if each.expires_at > now
            and (each.priority, each.refused_at) < (priority, refused_at)
        )

    def _forget_old(self, now: float) -> None:
        while self._order and (
            self._order[0].expires_at <= now or len(self._order) > MAX_REFUSED_JOBS
        ):
            oldest = self._order.popleft()
            if self._jobs.get(oldest.name) is oldest:
                del self._jobs[oldest.name]
