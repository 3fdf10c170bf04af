"""Jobs whose start waits until others' runs of them are gone, and who waits so."""

from collections.abc import Callable, Iterable, Mapping

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.run_messages import Yield, Yielded


class DelayedJob:
    """A job whose start waits until others' runs of it are gone.

    :param abandoned: it won't be started here; a third entry waits in turn.
    :param claim_sent: agents were asked to stop others' runs of it.
    :param unanswered_streams: streams of the agents that have not answered yet.
    :param stopping_streams: streams of those that still stop runs of it.
    """

    __slots__ = (
        "job",
        "requested_at",
        "start_at",
        "abandoned",
        "claim_sent",
        "unanswered_streams",
        "stopping_streams",
    )

    def __init__(self, job: Job, now: float, start_at: float) -> None:
        self.job = job
        self.requested_at = now
        self.start_at = start_at
        self.abandoned = False
        self.claim_sent = False
        self.unanswered_streams: set[int] = set()
        self.stopping_streams: set[int] = set()

    def record_claim(self, streams: Iterable[int]) -> None:
        """Note that agents were asked to stop others' runs of it."""
        self.claim_sent = True
        self.unanswered_streams = set(streams)

    def handle_claimed(self, stream: int, over: bool) -> bool:
        """Take an agent's answer; tells whether all have answered that all is over."""
        if stream not in self.unanswered_streams:
            return False
        if not over:
            self.stopping_streams.add(stream)
            return False
        self.stopping_streams.discard(stream)
        self.unanswered_streams.discard(stream)
        return not self.unanswered_streams

    def may_start(
        self, links: Mapping[int, Link], now: float, expects_answers: bool
    ) -> bool:
        """Tell whether nothing of it can run that was claimed a while ago.

        :param links: streams of the agents that are reached.
        :param expects_answers: whether the orders of a lost entry may still be in
            force at an agent that has not answered yet.
        """
        awaited = self.unanswered_streams if expects_answers else self.stopping_streams
        gone = awaited - links.keys()
        if gone:
            # An agent was lost that may have runs of it; their leases end.
            self.unanswered_streams -= gone
            self.stopping_streams -= gone
            self.start_at = now + LAPSE_SECONDS
            return False
        if self.stopping_streams:
            return False
        return not expects_answers or not any(
            now - max(links[stream].last_received_at, self.requested_at)
            <= LAPSE_SECONDS
            for stream in self.unanswered_streams
        )


class YieldWaiters:
    """Whom to tell once a job has stopped here, or where it was asked to stop."""

    def __init__(self) -> None:
        self._here: dict[str, list[int]] = {}
        self._relayed: dict[str, list[int]] = {}
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, out: Callable[[RunAction], None]) -> None:
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
