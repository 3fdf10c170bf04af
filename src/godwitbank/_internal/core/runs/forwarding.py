"""Jobs that an overloaded entry forwards to another entry.

Reading a request and relaying its answer takes a third of the processor time that
serving the whole job takes. A small entry that gets all callers of its availability
zone can thus serve them with the processor time of other entries. The callers'
connections stay at the entry that they reached.
"""

from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.events import Send
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.events import (
    AnswerCaller,
    JobSubmitted,
    LogDecision,
    RunAction,
)
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import Link, Links
from godwitbank._internal.core.runs.queue_loads import QueueLoads
from godwitbank._internal.core.runs.retry_times import RetryTimes
from godwitbank._internal.models.jobs import JobEnd, JobResult, JobSpec
from godwitbank._internal.models.run_messages import (
    Forward,
    Forwarded,
    Join,
    Withdraw,
)

FORWARD_LAG_SECONDS = 0.01
"""Event loop lag in seconds from which new jobs are forwarded.

A third of the lag at which jobs are refused, as the round trip to another entry costs a
job little time.
"""

SPARE_LAG_SECONDS = 0.005
"""Mean event loop lag in seconds below which other entries forward jobs to an entry.

If this were above ``FORWARD_LAG_SECONDS``, entries without spare processor time would
forward jobs to each other.
"""

SHED_LAG_SECONDS = 0.1
"""Event loop lag in seconds from which requests are refused before they are read.

Even forwarding is then too much work. Such a refusal takes a tenth of the processor
time of a job.
"""

RANDOM_CHOICES = 2
"""Number of entries drawn at random, of which the one with the least lag is chosen.

The lags known of other entries are up to a heartbeat interval old. If the entry with
the least lag of all were chosen, it would get all jobs during that interval.
"""

RESULT_GRACE_SECONDS = 0.2
"""Seconds beyond a caller's timeout after which a forwarded job is given up here.

The other entry itself gives the job up when the caller's timeout expires.
"""


class ForwardedJob(NamedTuple):
    """A job that another entry serves for callers of this entry.

    :param stream: stream to the other entry.
    :param server: incarnation of the other entry.
    :param expires_at: time in seconds at which the job is given up here.
    :param acquired: whether this entry held the right to start the job, and passed it
        on.
    :param joined: the job, if the other entry had it already and callers of this entry
        only joined it there. It is served here if the other entry no longer has it.
    """

    callers: list[int]
    stream: int
    server: str
    expires_at: float
    acquired: bool = False
    joined: Job | None = None


class ForwardRequest(NamedTuple):
    """A job to be forwarded to another entry.

    :param timeout_seconds: seconds for which the callers wait.
    :param acquired: whether this entry holds the right to start the job, which is then
        passed on.
    """

    spec: JobSpec
    callers: list[int]
    timeout_seconds: float
    acquired: bool


class Forwarding:
    """Forwards jobs to other entries, and keeps track of those that they serve."""

    def __init__(
        self,
        links: Links,
        pressure: Pressure,
        loads: QueueLoads,
        retry_times: RetryTimes,
        counts: Counts,
        rng: Random,
        zone: str,
    ) -> None:
        self._links = links
        self._loads = loads
        self._retry_times = retry_times
        self._pressure = pressure
        self._counts = counts
        self._rng = rng
        self._zone = zone
        self._forwarded: dict[str, ForwardedJob] = {}
        self.resubmit: Callable[[Job], None] = lambda job: None
        """Submits a job at this entry that another entry was to serve."""
        self.find_home: Callable[[str], Link | None] = lambda job: None
        """Finds the home entry of a job, unless it is this entry.

        The home of a job decides which entry may start it.
        """
        self.acquire: Callable[[str], bool] = lambda job: False
        """Acquires the right to start a job, if this entry is the job's home.

        Returns whether the right was acquired.
        """
        self.on_job_finished: Callable[[str], None] = lambda job: None
        """Called when a job ended that was forwarded with the right to start it."""
        self.on_job_unresolved: Callable[[str, str], None] = lambda job, server: None
        """Called when such a job was given up here but may still run elsewhere.

        Arguments are the job and the incarnation of the entry that may still run it.
        """
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._emit = emit

    @property
    def busy(self) -> bool:
        """Whether another entry serves a job for this one."""
        return bool(self._forwarded)

    def has_job(self, job: str) -> bool:
        """Return whether another entry serves a job for this one."""
        return job in self._forwarded

    def has_transferred(self, job: str) -> bool:
        """Return whether a job was forwarded along with the right to start it."""
        forwarded = self._forwarded.get(job)
        return forwarded is not None and forwarded.acquired

    @property
    def sheds_load(self) -> bool:
        """Whether requests are refused before they are read, to save processor time."""
        if not self._pressure.overloaded:
            return False
        return self._pressure.lag >= SHED_LAG_SECONDS or not any(
            self._list_candidates()
        )

    def join(self, event: JobSubmitted) -> bool:
        """Add a caller to a job if the job was forwarded before.

        :return: whether it was.
        """
        known = event.spec.job in self._forwarded
        if known:
            self.add_caller(event.spec.job, event.caller)
        return known

    def can_join(self, job: str, stream: int) -> bool:
        """Return whether another entry's caller may wait for a forwarded job.

        :param stream: stream to the caller's entry. It must not be the entry that the
            job was forwarded to.
        """
        return job in self._forwarded and self._forwarded[job].stream != stream

    def add_caller(self, job: str, caller: int) -> None:
        """Add a caller to a forwarded job."""
        self._forwarded[job].callers.append(caller)

    def try_forward(self, event: JobSubmitted) -> bool:
        """Forward a job if this entry lags and another one does not.

        :return: whether the job was forwarded.
        """
        if self._pressure.lag < FORWARD_LAG_SECONDS:
            return False
        candidates = list(self._list_candidates())
        link = self.find_home(event.spec.job)
        acquired = False
        if link is None or link not in candidates:
            link = self._choose(candidates)
            acquired = link is not None and self.acquire(event.spec.job)
        if link is not None:
            request = ForwardRequest(
                event.spec, [event.caller], event.timeout_seconds, acquired
            )
            self._forward(request, link, "processor")
        return link is not None

    def try_forward_for_capacity(self, job: Job) -> bool:
        """Forward a job that the agents of this entry have no free capacity for.

        An entry is connected to some of the agents only. If callers are spread
        unevenly, its agents are full while those of other entries are not. An entry
        without waiting tasks has both free capacity and processor time.

        :return: whether the job was forwarded.
        """
        if job.has_remote_caller:
            # The job was forwarded to this entry; it isn't forwarded twice.
            return False
        idle = [
            link
            for link in self._list_candidates()
            if self._loads.is_peer_idle(link.hello.incarnation)
        ]
        link = self._choose(idle)
        if link is not None:
            timeout_seconds = job.deadline - self._now
            request = ForwardRequest(job.spec, job.callers, timeout_seconds, True)
            self._forward(request, link, "room")
        return link is not None

    def _forward(self, request: ForwardRequest, link: Link, reason: str) -> None:
        spec, callers, timeout_seconds, acquired = request
        expires_at = self._now + timeout_seconds + RESULT_GRACE_SECONDS
        server = link.hello.incarnation
        forwarded = ForwardedJob(
            list(callers), link.stream, server, expires_at, acquired
        )
        self._forwarded[spec.job] = forwarded
        steps = [list(step) for step in spec.steps]
        message = Forward(
            spec.job, spec.queue, spec.payload, steps, timeout_seconds, acquired
        )
        self._emit(Send(link.stream, message))
        self._counts.add("jobs_forwarded", reason)
        lag = round(self._pressure.lag, 3)
        fields: dict[str, object] = {"entry": link.hello.process, "lag": lag}
        fields["reason"] = reason
        self._emit(LogDecision("job_forwarded", spec.job, fields))

    def _choose(self, candidates: list[Link]) -> Link | None:
        if not candidates:
            return None
        sample = self._rng.sample(candidates, min(RANDOM_CHOICES, len(candidates)))
        return min(sample, key=lambda link: (link.lag, link.hello.zone != self._zone))

    def _list_candidates(self) -> Iterator[Link]:
        for link in self._links.list_peers():
            # A lost entry would keep a job until its stream has timed out.
            responsive = self._links.is_responsive(link, self._now) and not link.leaving
            if responsive and link.lag < SPARE_LAG_SECONDS:
                yield link

    def join_at(self, job: Job, link: Link) -> None:
        """Let the callers of a job wait for its result from an entry that has it."""
        name = job.spec.job
        timeout_seconds = job.deadline - self._now
        expires_at = job.deadline + RESULT_GRACE_SECONDS
        server = link.hello.incarnation
        forwarded = ForwardedJob(
            job.callers, link.stream, server, expires_at, joined=job
        )
        self._forwarded[name] = forwarded
        self._emit(Send(link.stream, Join(name, timeout_seconds)))
        self._counts.add("jobs_forwarded", "joined")
        fields: dict[str, object] = {"entry": link.hello.process, "reason": "joined"}
        self._emit(LogDecision("job_forwarded", name, fields))

    def pop_joined(self, job: str, stream: int) -> Job | None:
        """Remove a job whose callers wait at another entry, and return it.

        :param stream: stream to that entry.
        """
        forwarded = self._forwarded.get(job)
        if forwarded is None or not forwarded.joined or forwarded.stream != stream:
            return None
        del self._forwarded[job]
        return forwarded.joined

    def handle_yielded(self, stream: int, job: str) -> None:
        """Submit a job here after another entry answered that it doesn't have it."""
        joined = self.pop_joined(job, stream)
        if joined is not None:
            self.resubmit(joined)

    def handle_result(self, link: Link, message: Forwarded) -> None:
        """Answer the callers of a job with the result from another entry."""
        forwarded = self._forwarded.get(message.job)
        if forwarded is None or forwarded.stream != link.stream:
            return
        retry_after = message.retry_after if message.retry_after >= 0 else None
        end = JobEnd(message.end)
        result = JobResult(message.job, end, message.reason, message.ran, retry_after)
        if forwarded.acquired:
            self.on_job_finished(message.job)
        self._answer(result)

    def _answer(self, result: JobResult) -> None:
        forwarded = self._forwarded.pop(result.job)
        self._counts.add("forwarded_ended", result.end)
        fields: dict[str, object] = {"end": result.end, "reason": result.reason}
        if result.retry_after is not None:
            fields["retry_s"] = round(result.retry_after, 3)
        self._emit(LogDecision("forwarded_ended", result.job, fields))
        for caller in forwarded.callers:
            self._emit(AnswerCaller(caller, result))

    def _give_up(self, job: str, reason: str) -> None:
        # This entry can't know whether the job ran, so it reports that it may have.
        forwarded = self._forwarded[job]
        if forwarded.acquired:
            self.on_job_unresolved(job, forwarded.server)
        retry = self._retry_times.compute_without_job(reason, self._now)
        result = JobResult(job, JobEnd.GIVEN_UP, reason, True, retry.seconds)
        self._answer(result)

    def handle_caller_loss(self, caller: int) -> None:
        """Withdraw the jobs that only a disconnected caller was waiting for."""
        for job, forwarded in list(self._forwarded.items()):
            if caller in forwarded.callers:
                forwarded.callers.remove(caller)
                if not forwarded.callers:
                    self.withdraw(job, "caller_gone")

    def withdraw(self, job: str, reason: str) -> None:
        """Tell the other entry to give up a job, and answer the callers here."""
        forwarded = self._forwarded.get(job)
        if forwarded is not None:
            self._emit(Send(forwarded.stream, Withdraw(job)))
            self._give_up(job, reason)

    def handle_stream_loss(self, stream: int) -> None:
        """Handle the end of a stream to another entry.

        Jobs that callers had joined there are submitted here. The callers of all other
        jobs forwarded on the stream are answered, as the result can't arrive any more.
        """
        for job, forwarded in list(self._forwarded.items()):
            if forwarded.stream != stream:
                continue
            if forwarded.joined:
                del self._forwarded[job]
                self.resubmit(forwarded.joined)
            else:
                self._give_up(job, "cut_off")

    def give_up_expired(self) -> None:
        """Withdraw the jobs whose results are overdue."""
        for job, forwarded in list(self._forwarded.items()):
            if forwarded.expires_at <= self._now:
                self.withdraw(job, "deadline")

    def give_up_all(self, reason: str) -> None:
        """Withdraw all jobs and answer their callers."""
        for job in list(self._forwarded):
            self.withdraw(job, reason)
