"""Jobs that wait at an entry for permission to start."""

from typing import NamedTuple

from godwitbank._internal.core.runs.delays import DelayedJob
from godwitbank._internal.core.runs.jobs import Job


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
        """Remove the jobs whose deadline has passed; delayed ones become abandoned.

        :return: these jobs.
        """
        expired = [job for job in self.list_waiting() if job.deadline <= now]
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
