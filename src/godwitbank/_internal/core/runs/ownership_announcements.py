"""Announcements of job owners to other entries."""

from collections.abc import Callable, Iterable

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import Links
from godwitbank._internal.core.runs.ownership import JobOwnership, Ownership
from godwitbank._internal.models.run_messages import Took

MAX_IMMEDIATE_PEERS = 4
"""Up to this many peers get an announcement of each job at once. More peers get the
announcements of several jobs together with the next heartbeat: they are needed only
when a job's home is lost, and the number of frames would grow with the product of jobs
and entries otherwise."""


class OwnershipAnnouncements:
    """Announces the jobs of this entry to its peers.

    Few peers get each job at once, many get them in batches.
    """

    def __init__(self, links: Links) -> None:
        self._links = links
        self._pending: dict[str, float] = {}
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param emit: receives the actions to carry out.
        """
        self._emit = emit

    def announce(self, name: str, now: float) -> None:
        """Announce a job to all peers, or queue it for the next batch."""
        peers = self._links.list_peers()
        if len(peers) > MAX_IMMEDIATE_PEERS:
            self._pending[name] = now
            return
        for link in peers:
            self._emit(Send(link.stream, Took([name], [0.0], "")))

    def forget(self, name: str) -> None:
        """Remove a job of which no run is left from the next batch."""
        self._pending.pop(name, None)

    def announce_pending(self, now: float) -> None:
        """Announce all queued jobs to all peers."""
        if not self._pending:
            return
        ages = [now - at for at in self._pending.values()]
        took = Took(list(self._pending), ages, "")
        self._pending = {}
        for link in self._links.list_peers():
            self._emit(Send(link.stream, took))

    def announce_all(self, stream: int, jobs: Iterable[Job], now: float) -> None:
        """Announce all jobs of this entry on a new stream."""
        ages = {job.spec.job: now - job.arrival for job in jobs}
        self._emit(Send(stream, Took(list(ages), list(ages.values()), "")))

    def announce_previous_owner(
        self, stream: int, name: str, known: Ownership, now: float
    ) -> None:
        """Announce a job's previous owner to its new one, which may not know it."""
        self._emit(Send(stream, Took([name], [now - known.at], known.incarnation)))

    def announce_grants(
        self, stream: int, granted: dict[str, dict[str, float]], now: float
    ) -> None:
        """Announce to which entries this one, as the home, granted jobs.

        :param granted: when each job was granted, by owner and job.
        """
        for owner, jobs in granted.items():
            ages = [now - at for at in jobs.values()]
            self._emit(Send(stream, Took(list(jobs), ages, owner)))

    def announce_unreachable_owners(
        self, stream: int, ownership: JobOwnership, now: float
    ) -> None:
        """Announce, on a new stream, the jobs of entries that may be gone.

        An entry that was restarted at its address before its old stream timed out
        doesn't announce them itself, as its new process doesn't know them.
        """
        for owner, owned in ownership.list_by_owner().items():
            link = self._links.find(owner)
            if link is None or not self._links.is_responsive(link, now):
                ages = [now - owned_job.at for owned_job in owned.values()]
                self._emit(Send(stream, Took(list(owned), ages, owner)))
