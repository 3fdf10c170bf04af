"""Claims of held jobs at the agents, which stop other entries' runs of them."""

from collections.abc import Callable
from enum import Enum, auto

from godwitbank._internal.core.events import Send
from godwitbank._internal.core.runs.delays import DelayedJob
from godwitbank._internal.core.runs.events import RunAction
from godwitbank._internal.core.runs.fleet import AgentView, Fleet
from godwitbank._internal.core.runs.held_jobs import HeldJobs
from godwitbank._internal.core.runs.homes import Homes
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.ownership import (
    CLAIM_TIMEOUT_SECONDS,
    JobOwnership,
)
from godwitbank._internal.core.runs.readiness import Readiness
from godwitbank._internal.models.run_messages import Claim, Claimed


class ClaimState(Enum):
    """What an agent's answer to a claim means for the job.

    ``LOST`` means that the agents leave the job to another entry.
    """

    PENDING = auto()
    GRANTED = auto()
    LOST = auto()


class AgentClaims:
    """Claims jobs at the agents, for an entry that can't ask the jobs' owner."""

    def __init__(
        self,
        fleet: Fleet,
        held: HeldJobs,
        homes: Homes,
        ownership: JobOwnership,
        readiness: Readiness,
    ) -> None:
        self._fleet = fleet
        self._held = held
        self._homes = homes
        self._ownership = ownership
        self._readiness = readiness
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit

    def hold(self, job: Job) -> DelayedJob:
        """Hold a job that is to be claimed.

        An agent that doesn't answer may run the job until the leases of the lost
        entry's runs expire.
        """
        name = job.spec.job
        start_at = self._now + CLAIM_TIMEOUT_SECONDS
        if self._homes.may_be_lost(name):
            start_at = max(start_at, self._ownership.get_last_expiry())
        delayed = DelayedJob(job, self._now, start_at)
        delayed.record_claim(self._fleet.views)
        self._held.delayed[name] = delayed
        return delayed

    def send(self, name: str) -> None:
        """Claim a held job at all connected agents."""
        for stream in self._fleet.views:
            self._emit(Send(stream, Claim(name)))

    def send_all(self, stream: int) -> None:
        """Claim the held jobs at an agent that has connected on a new stream."""
        for name, delayed in self._held.delayed.items():
            if delayed.claim_sent and not delayed.abandoned:
                delayed.unanswered_streams.add(stream)
                self._emit(Send(stream, Claim(name)))

    def record_answer(self, view: AgentView, message: Claimed) -> ClaimState:
        """Record an agent's answer to the claim of a job."""
        delayed = self._held.delayed.get(message.job)
        if delayed is None or not delayed.claim_sent:
            return ClaimState.PENDING
        if message.claim_lost:
            return ClaimState.LOST
        all_ended = delayed.handle_claimed(view.stream, message.all_ended)
        if all_ended and self._all_agents_known:
            return ClaimState.GRANTED
        return ClaimState.PENDING

    @property
    def _all_agents_known(self) -> bool:
        """Whether every agent that may run a job is known and can be asked."""
        recently_active = self._readiness.is_recently_active
        return not recently_active and not self._fleet.has_lost_agents(self._now)

    def may_start(self, delayed: DelayedJob) -> bool:
        """Return whether no other entry's run of a claimed job can be in progress."""
        links = {stream: view.link for stream, view in self._fleet.views.items()}
        return delayed.may_start(
            links, self._now, not self._ownership.all_losses_confirmed
        )
