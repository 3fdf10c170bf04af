"""What one entry tells others of the jobs that it has from callers."""

from collections.abc import Callable, Iterable

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import Links
from godwitbank._internal.core.runs.ownership import JobOwnership, Ownership
from godwitbank._internal.models.run_messages import Took

MAX_IMMEDIATE_PEERS = 4
"""Other entries that are told at once of each job taken. Where there are more, they are
told with the next proof of life: it is asked for only where a job's home is lost, and
frames for each job to each entry would grow with the product."""


class OwnershipAnnouncements:
    """Tells other entries of jobs: at once to few, together to many."""

    def __init__(self, links: Links) -> None:
        self._links = links
        self._untold: dict[str, float] = {}
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._out = out

    def announce(self, name: str, now: float) -> None:
        """Tell of a job, or remember to."""
        peers = self._links.list_peers()
        if len(peers) > MAX_IMMEDIATE_PEERS:
            self._untold[name] = now
            return
        for link in peers:
            self._out(Send(link.stream, Took([name], [0.0], "")))

    def forget(self, name: str) -> None:
        """Forget to tell of a job of which nothing is left."""
        self._untold.pop(name, None)

    def announce_pending(self, now: float) -> None:
        """Tell of all jobs that were remembered."""
        if not self._untold:
            return
        ages = [now - at for at in self._untold.values()]
        took = Took(list(self._untold), ages, "")
        self._untold = {}
        for link in self._links.list_peers():
            self._out(Send(link.stream, took))

    def announce_all(self, stream: int, jobs: Iterable[Job], now: float) -> None:
        """Tell a new stream of all jobs."""
        ages = {job.spec.job: now - job.arrival for job in jobs}
        self._out(Send(stream, Took(list(ages), list(ages.values()), "")))

    def announce_previous_owner(
        self, stream: int, name: str, known: Ownership, now: float
    ) -> None:
        """Tell an entry that took a job who had it before: it may not know."""
        self._out(Send(stream, Took([name], [now - known.at], known.incarnation)))

    def announce_grants(
        self, stream: int, granted: dict[str, dict[str, float]], now: float
    ) -> None:
        """Tell an entry which one may start each job that this one decided about."""
        for owner, jobs in granted.items():
            ages = [now - at for at in jobs.values()]
            self._out(Send(stream, Took(list(jobs), ages, owner)))

    def announce_unreachable_owners(
        self, stream: int, takings: JobOwnership, now: float
    ) -> None:
        """Tell a new stream of the jobs of entries that may be gone.

        One that is gone behind a silent stream, and back at its address, tells nobody
        of them: its new process doesn't know.
        """
        for owner, taken in takings.list_by_owner().items():
            link = self._links.find(owner)
            if link is None or not self._links.is_responsive(link, now):
                ages = [now - taking.at for taking in taken.values()]
                self._out(Send(stream, Took(list(taken), ages, owner)))
