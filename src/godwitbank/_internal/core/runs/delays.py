"""Jobs whose start waits until others' runs of them are gone, and who waits so."""

from collections.abc import Callable, Iterable, Mapping

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.run_messages import Yield, Yielded


class Delayed:
    """A job whose start waits until others' runs of it are gone.

    :param abandoned: it won't be started here; a third entry waits in turn.
    :param claiming: agents were asked to stop others' runs of it.
    :param claimed_at: streams of the agents that have not answered yet.
    :param stopping: streams of those that still stop runs of it.
    """

    __slots__ = (
        "job",
        "asked_at",
        "start_at",
        "abandoned",
        "claiming",
        "claimed_at",
        "stopping",
    )

    def __init__(self, job: Job, now: float, start_at: float) -> None:
        self.job = job
        self.asked_at = now
        self.start_at = start_at
        self.abandoned = False
        self.claiming = False
        self.claimed_at: set[int] = set()
        self.stopping: set[int] = set()

    def claim(self, streams: Iterable[int]) -> None:
        """Note that agents were asked to stop others' runs of it."""
        self.claiming = True
        self.claimed_at = set(streams)

    def hear_claimed(self, stream: int, over: bool) -> bool:
        """Take an agent's answer; tells whether all have answered that all is over."""
        if stream not in self.claimed_at:
            return False
        if not over:
            self.stopping.add(stream)
            return False
        self.stopping.discard(stream)
        self.claimed_at.discard(stream)
        return not self.claimed_at

    def may_start(
        self, links: Mapping[int, Link], now: float, expects_answers: bool
    ) -> bool:
        """Tell whether nothing of it can run that was claimed a while ago.

        :param links: streams of the agents that are reached.
        :param expects_answers: whether the orders of a lost entry may still be in
            force at an agent that has not answered yet.
        """
        awaited = self.claimed_at if expects_answers else self.stopping
        gone = awaited - links.keys()
        if gone:
            # An agent was lost that may have runs of it; their leases end.
            self.claimed_at -= gone
            self.stopping -= gone
            self.start_at = now + LAPSE_SECONDS
            return False
        if self.stopping:
            return False
        return not expects_answers or not any(
            now - max(links[stream].heard_at, self.asked_at) <= LAPSE_SECONDS
            for stream in self.claimed_at
        )


class Yields:
    """Whom to tell once a job has stopped here, or where it was asked to stop."""

    def __init__(self) -> None:
        self._here: dict[str, list[int]] = {}
        self._relayed: dict[str, list[int]] = {}
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin(self, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._out = out

    def add(self, job: str, stream: int) -> None:
        """Note whom to tell once nothing of a job runs here."""
        self._here.setdefault(job, []).append(stream)

    def list_jobs(self) -> list[str]:
        """List the jobs whose end somebody waits for here."""
        return list(self._here)

    def answer(self, job: str) -> None:
        """Tell those who wait that nothing of a job runs here."""
        self._tell(job, self._here.pop(job, []))

    def relay(self, message: Yield, stream: int, owner: int) -> None:
        """Ask the entry that has a job in place of one that can't reach it.

        :param stream: of the one that asked.
        :param owner: stream of the one that has the job.
        """
        self._relayed.setdefault(message.job, []).append(stream)
        self._out(Send(owner, message))

    def answer_relayed(self, job: str) -> None:
        """Pass on that a job has stopped where it was."""
        self._tell(job, self._relayed.pop(job, []))

    def _tell(self, job: str, streams: list[int]) -> None:
        for stream in streams:
            self._out(Send(stream, Yielded(job)))
