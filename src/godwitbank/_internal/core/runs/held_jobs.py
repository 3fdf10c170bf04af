"""Jobs that wait at an entry for permission to start.

An entry that has just started, or that has lost another one, may hold the jobs of a
whole second. Once it may start them, those that can still be in time go first.
"""

from collections.abc import Iterable
from typing import NamedTuple

from godwitbank._internal.core.runs.admission import LATE_FACTOR
from godwitbank._internal.core.runs.delays import DelayedJob
from godwitbank._internal.core.runs.jobs import Job


class StartTimes(NamedTuple):
    """The latest times to start a job, by its caller's estimates.

    :param timely: to end within its objective, in seconds.
    :param useful: to end before its result is of no use, in seconds.
    """

    timely: float
    useful: float


def compute_start_times(job: Job) -> StartTimes:
    """Compute the latest times to start a job that has no tasks yet."""
    seconds = job.estimate_duration()
    objective = job.queue.stretch * seconds + job.queue.allowance
    start = job.arrival - seconds
    return StartTimes(start + objective, start + LATE_FACTOR * objective)


def sort_by_urgency(jobs: Iterable[Job], now: float) -> list[Job]:
    """Sort jobs: those that can still be in time first, the most urgent of them first.

    In order of arrival, the jobs that are late already would take the capacity, and
    make those late that could still be in time.
    """

    def measure_urgency(job: Job) -> tuple[bool, int, float]:
        start_by = compute_start_times(job).timely
        return start_by < now, job.queue.priority, start_by

    return sorted(jobs, key=measure_urgency)


class PendingRequest(NamedTuple):
    """A job that was requested from its home and not decided yet.

    :param stream: on which the request was sent.
    :param request_number: number of that request.
    """

    job: Job
    stream: int
    request_number: int


class HeldJobs:
    """Jobs that wait to start, by name and by what they wait for.

    :ivar undecided: jobs whose owner isn't known yet.
    :ivar requests: jobs that were requested from their home.
    :ivar delayed: jobs that other entries' runs delay; among them abandoned ones, for
        which no caller waits any more.
    """

    def __init__(self) -> None:
        self.undecided: dict[str, Job] = {}
        self.requests: dict[str, PendingRequest] = {}
        self.delayed: dict[str, DelayedJob] = {}

    def __bool__(self) -> bool:
        return bool(self.delayed or self.undecided or self.requests)

    def find(self, name: str) -> Job | None:
        """Return a job that waits to start, if callers wait for it."""
        if name in self.requests:
            return self.requests[name].job
        delayed = self.delayed.get(name)
        if delayed is not None:
            return None if delayed.abandoned else delayed.job
        return self.undecided.get(name)

    def list_waiting(self) -> list[Job]:
        """List the jobs for which callers wait."""
        waiting = list(self.undecided.values())
        waiting += [pending.job for pending in self.requests.values()]
        waiting += [each.job for each in self.delayed.values() if not each.abandoned]
        return waiting

    def remove_caller(self, caller: int) -> list[str]:
        """Remove a disconnected caller.

        :return: names of the jobs for which no other caller waited, which are removed.
        """
        removed = []
        for job in self.list_waiting():
            if caller not in job.callers:
                continue
            job.callers.remove(caller)
            if not job.callers:
                removed.append(job.spec.job)
                self._remove(job.spec.job)
        return removed

    def _remove(self, name: str) -> None:
        self.undecided.pop(name, None)
        self.requests.pop(name, None)
        self.delayed.pop(name, None)

    def abandon_expired(self, now: float) -> list[Job]:
        """Remove the jobs that can't be of use; delayed ones become abandoned.

        That is so after a job's deadline, and once it can't end before its result is of
        no use to its callers: they can still act if they are answered now.

        :return: these jobs.
        """
        expired = [
            job
            for job in self.list_waiting()
            if min(job.deadline, compute_start_times(job).useful) <= now
        ]
        for job in expired:
            name = job.spec.job
            self.undecided.pop(name, None)
            self.requests.pop(name, None)
            if name in self.delayed:
                self.delayed[name].abandoned = True
        return expired

    def pop_requests(self, stream: int) -> list[Job]:
        """Remove and return the jobs that were requested on a stream."""
        requested = [each for each in self.requests.values() if each.stream == stream]
        for pending in requested:
            del self.requests[pending.job.spec.job]
        return [pending.job for pending in requested]

    def clear(self) -> None:
        """Remove all jobs."""
        self.undecided.clear()
        self.requests.clear()
        self.delayed.clear()
