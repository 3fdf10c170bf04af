"""Jobs that an entry without processor time hands on whole to another entry.

Reading a request and passing on its answer takes a third of the processor time that
serving the job takes. A small entry whose zone's callers all come to it so serves them
with its neighbours' time; its callers' connections stay where they are.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.admission import RETRY_AFTER_SECONDS, Admission
from godwitbank._internal.core.runs.events import (
    AnswerCaller,
    JobSubmitted,
    LogDecision,
    RunAction,
)
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.models.jobs import JobEnd, JobResult, JobSpec
from godwitbank._internal.models.run_messages import (
    Forward,
    Forwarded,
    Join,
    Withdraw,
)

FORWARD_LAG_SECONDS = 0.01
"""Seconds of lateness from which new jobs are handed on; a third of that at which they
are refused, as the way to another entry and back costs a job little."""

SPARE_LAG_SECONDS = 0.005
"""Mean lateness in seconds below which an entry is handed jobs of others. Above
``FORWARD_LAG`` entries with nothing to spare hand jobs to each other."""

SHED_LAG_SECONDS = 0.1
"""Seconds of lateness from which even handing on is too much work: callers are refused
before their requests are read, which takes a tenth of the processor time of a job."""

RANDOM_CHOICES = 2
"""Entries drawn at random of which the less late one is taken: what they tell is a
pulse old, and the least late of all would be handed everything meanwhile."""

RESULT_GRACE_SECONDS = 0.2
"""Seconds beyond a caller's patience that its job's result may take from another entry,
which gives the job up in time itself."""


class ForwardedJob(NamedTuple):
    """A job that another entry serves for callers here.

    :param server: incarnation of the other entry.
    :param acquired: whether this entry was the one that might start it.
    :param joined: the job, if it was at the other entry already; it can be served here
        if that one hasn't it any more.
    """

    callers: list[int]
    stream: int
    server: str
    expires_at: float
    acquired: bool = False
    joined: Job | None = None


class ForwardRequest(NamedTuple):
    """A job to be served by another entry.

    :param timeout_seconds: seconds its callers wait.
    :param acquired: whether this entry might start it; its right goes along.
    """

    spec: JobSpec
    callers: list[int]
    timeout_seconds: float
    acquired: bool


class Forwarding:
    """The jobs of this entry's callers that other entries serve."""

    def __init__(
        self,
        links: Links,
        pressure: Pressure,
        admission: Admission,
        counts: Counts,
        rng: Random,
        zone: str,
    ) -> None:
        self._links = links
        self._admission = admission
        self._pressure = pressure
        self._counts = counts
        self._rng = rng
        self._zone = zone
        self._handed: dict[str, ForwardedJob] = {}
        self.resubmit: Callable[[Job], None] = lambda job: None
        """Starts a job here that another entry was to serve."""
        self.find_home: Callable[[str], Link | None] = lambda job: None
        """Finds the entry that decides about a job, if it is another one."""
        self.acquire: Callable[[str], bool] = lambda job: False
        """Tells whether this entry may start a job, where it decides about that."""
        self.on_job_finished: Callable[[str], None] = lambda job: None
        """Told of each job that was handed on with the right to start it, and ended."""
        self.on_job_unresolved: Callable[[str, str], None] = lambda job, server: None
        """Told of each such job that another entry may still run, and of that one."""
        self._now = 0.0
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out

    @property
    def busy(self) -> bool:
        """Whether another entry serves a job for this one."""
        return bool(self._handed)

    def has(self, job: str) -> bool:
        """Tell whether another entry serves a job for this one."""
        return job in self._handed

    def has_transferred(self, job: str) -> bool:
        """Tell whether a job that this entry might start was handed on."""
        handed = self._handed.get(job)
        return handed is not None and handed.acquired

    @property
    def sheds_load(self) -> bool:
        """Whether requests are refused before they are read."""
        if not self._pressure.overloaded:
            return False
        return self._pressure.lag >= SHED_LAG_SECONDS or not any(self._list_spare())

    def join(self, event: JobSubmitted) -> bool:
        """Let a caller wait for a job that was handed on already, if it was."""
        known = event.spec.job in self._handed
        if known:
            self.add_caller(event.spec.job, event.caller)
        return known

    def can_join(self, job: str, stream: int) -> bool:
        """Tell whether an entry's caller may wait for a job that was handed on.

        :param stream: that entry's; not the one that the job was handed to.
        """
        return job in self._handed and self._handed[job].stream != stream

    def add_caller(self, job: str, caller: int) -> None:
        """Let a caller wait for a job that was handed on."""
        self._handed[job].callers.append(caller)

    def try_forward(self, event: JobSubmitted) -> bool:
        """Hand a job on, if this entry is late and another one is not."""
        if self._pressure.lag < FORWARD_LAG_SECONDS:
            return False
        spare = list(self._list_spare())
        link = self.find_home(event.spec.job)
        acquired = False
        if link is None or link not in spare:
            link = self._choose(spare)
            acquired = link is not None and self.acquire(event.spec.job)
        if link is not None:
            wanted = ForwardRequest(
                event.spec, [event.caller], event.timeout_seconds, acquired
            )
            self._hand(wanted, link, "processor")
        return link is not None

    def try_forward_for_capacity(self, job: Job) -> bool:
        """Hand on a job for which there is no room here, if another entry has some.

        An entry meets some of the agents only; with callers spread unevenly its agents
        are full while others' are not. One where nothing waits has room, and the time.
        """
        if job.has_remote_caller:
            # It was handed on to here already.
            return False
        idle = [
            link
            for link in self._list_spare()
            if self._admission.is_peer_idle(link.hello.incarnation)
        ]
        link = self._choose(idle)
        if link is not None:
            patience = job.deadline - self._now
            wanted = ForwardRequest(job.spec, job.callers, patience, True)
            self._hand(wanted, link, "room")
        return link is not None

    def _hand(self, wanted: ForwardRequest, link: Link, why: str) -> None:
        spec, callers, patience, acquired = wanted
        expires_at = self._now + patience + RESULT_GRACE_SECONDS
        server = link.hello.incarnation
        handed = ForwardedJob(list(callers), link.stream, server, expires_at, acquired)
        self._handed[spec.job] = handed
        steps = [list(step) for step in spec.steps]
        message = Forward(spec.job, spec.queue, spec.payload, steps, patience, acquired)
        self._out(Send(link.stream, message))
        self._counts.add("jobs_forwarded", why)
        lag = round(self._pressure.lag, 3)
        fields: dict[str, object] = {"entry": link.hello.process, "lag": lag}
        fields["reason"] = why
        self._out(LogDecision("job_forwarded", spec.job, fields))

    def _choose(self, spare: list[Link]) -> Link | None:
        if not spare:
            return None
        drawn = self._rng.sample(spare, min(RANDOM_CHOICES, len(spare)))
        return min(drawn, key=lambda link: (link.lag, link.hello.zone != self._zone))

    def _list_spare(self) -> Iterator[Link]:
        for link in self._links.list_peers():
            # One that is gone would hold a job until its stream is given up.
            fresh = self._links.is_responsive(link, self._now) and not link.leaving
            if fresh and link.lag < SPARE_LAG_SECONDS:
                yield link

    def join_at(self, job: Job, link: Link) -> None:
        """Let the callers of a job wait for it at an entry that has it."""
        name = job.spec.job
        patience = job.deadline - self._now
        expires_at = job.deadline + RESULT_GRACE_SECONDS
        server = link.hello.incarnation
        handed = ForwardedJob(job.callers, link.stream, server, expires_at, joined=job)
        self._handed[name] = handed
        self._out(Send(link.stream, Join(name, patience)))
        self._counts.add("jobs_forwarded", "joined")
        fields: dict[str, object] = {"entry": link.hello.process, "reason": "joined"}
        self._out(LogDecision("job_forwarded", name, fields))

    def handle_yielded(self, stream: int, job: str) -> None:
        """Serve a job here that its callers were to wait for at another entry."""
        handed = self._handed.get(job)
        if handed is not None and handed.joined and handed.stream == stream:
            del self._handed[job]
            self.resubmit(handed.joined)

    def handle_result(self, link: Link, message: Forwarded) -> None:
        """Tell the callers of a job its result."""
        handed = self._handed.get(message.job)
        if handed is None or handed.stream != link.stream:
            return
        retry_after = message.retry_after if message.retry_after >= 0 else None
        end = JobEnd(message.end)
        result = JobResult(message.job, end, message.reason, message.ran, retry_after)
        if handed.acquired:
            self.on_job_finished(message.job)
        self._answer(result)

    def _answer(self, result: JobResult) -> None:
        handed = self._handed.pop(result.job)
        self._counts.add("forwarded_ended", result.end)
        fields: dict[str, object] = {"end": result.end, "reason": result.reason}
        self._out(LogDecision("forwarded_ended", result.job, fields))
        for caller in handed.callers:
            self._out(AnswerCaller(caller, result))

    def _give_up(self, job: str, reason: str) -> None:
        # Whether it ran can't be known here any more.
        handed = self._handed[job]
        if handed.acquired:
            self.on_job_unresolved(job, handed.server)
        result = JobResult(job, JobEnd.GIVEN_UP, reason, True, RETRY_AFTER_SECONDS)
        self._answer(result)

    def handle_caller_loss(self, caller: int) -> None:
        """Withdraw the jobs that only a caller who is gone waits for."""
        for job, handed in list(self._handed.items()):
            if caller in handed.callers:
                handed.callers.remove(caller)
                if not handed.callers:
                    self.withdraw(job, "caller_gone")

    def withdraw(self, job: str, reason: str) -> None:
        """Let the other entry give a job up."""
        handed = self._handed.get(job)
        if handed is not None:
            self._out(Send(handed.stream, Withdraw(job)))
            self._give_up(job, reason)

    def handle_stream_loss(self, stream: int) -> None:
        """Answer callers whose job was handed on by a stream that ended."""
        for job, handed in list(self._handed.items()):
            if handed.stream != stream:
                continue
            if handed.joined:
                del self._handed[job]
                self.resubmit(handed.joined)
            else:
                self._give_up(job, "cut_off")

    def give_up_expired(self) -> None:
        """Answer callers whose time is over."""
        for job, handed in list(self._handed.items()):
            if handed.expires_at <= self._now:
                self.withdraw(job, "deadline")

    def give_up_all(self, reason: str) -> None:
        """Answer all callers."""
        for job in list(self._handed):
            self.withdraw(job, reason)
