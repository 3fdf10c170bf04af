"""Jobs whose start is delayed until other entries' runs of them have ended.

Also keeps track of the entries that wait for a job to stop.
"""

from collections.abc import Callable, Iterable, Mapping

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.run_messages import Yield, Yielded


class DelayedJob:
    """A job whose start is delayed until other entries' runs of it have ended.

    :ivar requested_at: time in seconds at which the stop of these runs was requested.
    :ivar start_at: time in seconds at which to check again whether the job may start.
    :ivar abandoned: whether the job will not be started here, while another entry that
        wants to start it waits for this one.
    :ivar claim_sent: whether agents were asked to stop other entries' runs of the job.
    :ivar unanswered_streams: streams of the agents that have not confirmed yet that all
        such runs have ended.
    :ivar stopping_streams: streams of the agents that are still stopping such runs.
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
        """Record that agents were asked to stop other entries' runs of the job.

        :param streams: streams of these agents.
        """
        self.claim_sent = True
        self.unanswered_streams = set(streams)

    def handle_claimed(self, stream: int, all_ended: bool) -> bool:
        """Process an agent's answer to a claim.

        :param all_ended: whether no other entry's run of the job is left at the agent;
            otherwise the agent is still stopping some.
        :return: whether all agents have now confirmed this.
        """
        if stream not in self.unanswered_streams:
            return False
        if not all_ended:
            self.stopping_streams.add(stream)
            return False
        self.stopping_streams.discard(stream)
        self.unanswered_streams.discard(stream)
        return not self.unanswered_streams

    def may_start(
        self, links: Mapping[int, Link], now: float, expects_answers: bool
    ) -> bool:
        """Return whether no other entry's run of a claimed job can be in progress.

        If an agent was lost before it confirmed, this also postpones ``start_at`` until
        the leases of its runs have ended.

        :param links: connected agents, by stream.
        :param expects_answers: whether the orders of a lost entry may still be in
            force at an agent that has not answered yet.
        """
        awaited = self.unanswered_streams if expects_answers else self.stopping_streams
        lost = awaited - links.keys()
        if lost:
            # A lost agent may have runs of the job. Wait until their leases end.
            self.unanswered_streams -= lost
            self.stopping_streams -= lost
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
    """Entries that wait for a job to stop at this entry or at another one."""

    def __init__(self) -> None:
        self._waiting: dict[str, list[int]] = {}
        self._relayed: dict[str, list[int]] = {}
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._emit = emit

    def add(self, job: str, stream: int) -> None:
        """Record that an entry waits until no run of a job is left here.

        :param stream: the stream to that entry.
        """
        self._waiting.setdefault(job, []).append(stream)

    def list_jobs(self) -> list[str]:
        """List the jobs for which entries wait until they have stopped here."""
        return list(self._waiting)

    def answer(self, job: str) -> None:
        """Tell the waiting entries that no run of a job is left here."""
        self._send_yielded(job, self._waiting.pop(job, []))

    def relay(self, message: Yield, stream: int, owner: int) -> None:
        """Forward a stop request to a job's owner that the requester can't reach.

        :param stream: stream to the requester.
        :param owner: stream to the entry that has the job.
        """
        self._relayed.setdefault(message.job, []).append(stream)
        self._emit(Send(owner, message))

    def answer_relayed(self, job: str) -> None:
        """Tell the requesters that a job has stopped at the entry that had it."""
        self._send_yielded(job, self._relayed.pop(job, []))

    def _send_yielded(self, job: str, streams: list[int]) -> None:
        for stream in streams:
            self._emit(Send(stream, Yielded(job)))
