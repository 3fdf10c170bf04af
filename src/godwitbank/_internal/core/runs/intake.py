"""Intake of jobs: accepts, forwards or refuses them, and tracks their callers."""

from collections.abc import Callable, Iterable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.dispatcher import Dispatcher
from godwitbank._internal.core.runs.events import (
    AnswerCaller,
    CallerDisconnected,
    JobCancelled,
    JobSubmitted,
    LogDecision,
    RunAction,
)
from godwitbank._internal.core.runs.forwarding import Forwarding
from godwitbank._internal.core.runs.handover import Handover
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.core.runs.remote_callers import RemoteCallers
from godwitbank._internal.core.runs.routes import RouteTable
from godwitbank._internal.models.jobs import JobEnd, JobResult
from godwitbank._internal.models.run_messages import Forward, Join, Withdraw, Yielded


class Intake:
    """Decides what happens to each job submitted by a caller or another entry."""

    def __init__(
        self,
        routes: RouteTable,
        dispatcher: Dispatcher,
        handover: Handover,
        forwarding: Forwarding,
        pressure: Pressure,
        counts: Counts,
    ) -> None:
        self._routes = routes
        self._dispatcher = dispatcher
        self._handover = handover
        self._forwarding = forwarding
        self._pressure = pressure
        self._counts = counts
        self._remote_callers = RemoteCallers()
        self._now = 0.0
        self._emit: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, emit: Callable[[RunAction], None]) -> None:
        """Prepare for one event.

        :param now: time of the event, in seconds.
        :param emit: receives the actions to carry out.
        """
        self._now = now
        self._emit = emit
        self._forwarding.begin_event(now, emit)

    @property
    def busy(self) -> bool:
        """Whether a job is in flight here, or at another entry for this one."""
        busy_here = bool(self._dispatcher.jobs) or self._handover.busy
        return busy_here or self._forwarding.busy

    def has_job(self, job: str) -> bool:
        """Return whether a job is in flight here, or at another entry for this one."""
        return job in self._dispatcher.jobs or self._forwarding.has_job(job)

    def submit(self, event: JobSubmitted, acquired: bool = False) -> None:
        """Accept a job, forward it to another entry, or refuse it.

        :param acquired: whether this entry already has the right to start the job.
        """
        spec = event.spec
        queue = self._routes.get(spec.queue)
        if queue is None:
            self._refuse(event, "unknown_queue")
            return
        if self._join(event):
            return
        is_remote = self._remote_callers.is_remote(event.caller)
        if not is_remote and self._forwarding.try_forward(event):
            return
        if self._pressure.overloaded:
            # The event loop is overloaded. Another job would be late and delay all
            # others, until the entry serves only callers that have disconnected.
            self._refuse(event, "no_processor", queue.name)
            return
        job = Job(spec, queue, event.caller, self._now, event.timeout_seconds)
        self._mark_returned(job)
        if acquired:
            self._handover.start(job)
        else:
            self._handover.submit(job)

    def _mark_returned(self, job: Job) -> None:
        if self._dispatcher.refused.mark_returned(job, self._now):
            self._counts.add("jobs_returned")
            seconds = round(self._now - job.refused_at, 3)
            fields: dict[str, object] = {"queue": job.queue.name, "s": seconds}
            self._emit(LogDecision("job_returned", job.spec.job, fields))

    def _join(self, event: JobSubmitted) -> bool:
        """Attach a caller to its job if that is in flight already.

        A caller whose connection broke submits its job again.
        """
        name = event.spec.job
        if self._forwarding.join(event):
            return True
        known = self._find_known(name)
        if known is None:
            return False
        self._counts.add("jobs_joined")
        self._emit(LogDecision("job_joined", name, {}))
        known.callers.append(event.caller)
        known.deadline = max(known.deadline, self._now + event.timeout_seconds)
        return True

    def _find_known(self, name: str) -> Job | None:
        known = self._dispatcher.jobs.get(name)
        if known is not None and not known.ending:
            return known
        return self._handover.find_waiting(name)

    def _refuse(self, event: JobSubmitted, reason: str, queue: str = "") -> None:
        self._counts.add("jobs_refused", reason, queue=queue)
        job = event.spec.job
        lag = round(self._pressure.lag, 3)
        retry = self._dispatcher.retry_times.compute_without_job(reason, self._now)
        fields = {"reason": reason, "lag": lag, **retry.describe()}
        self._emit(LogDecision("job_refused", job, fields))
        result = JobResult(job, JobEnd.REFUSED, reason, False, retry.seconds)
        self._emit(AnswerCaller(event.caller, result))

    def handle_caller_loss(self, event: CallerDisconnected) -> None:
        """Give up the jobs for which only a disconnected caller waits."""
        self._forwarding.handle_caller_loss(event.caller)
        self._handover.handle_caller_loss(event.caller)
        for job in list(self._dispatcher.jobs.values()):
            if event.caller not in job.callers:
                continue
            job.callers.remove(event.caller)
            if not job.callers:
                self._dispatcher.give_up(job, "caller_gone")

    def cancel(self, event: JobCancelled) -> None:
        """Give up a job that its caller cancelled."""
        self._forwarding.withdraw(event.job, "cancelled")
        job = self._dispatcher.jobs.get(event.job)
        if job is not None:
            self._dispatcher.give_up(job, "cancelled")

    def handle_forward(self, link: Link, message: Forward) -> None:
        """Handle a job that another entry forwarded."""
        event = self._remote_callers.accept_forward(link.stream, message)
        self.submit(event, message.acquired)
        if message.acquired:
            self._start_held(link, message.job)

    def _start_held(self, link: Link, name: str) -> None:
        """Start a job that waited here for the entry that has just passed it on.

        Otherwise each of the two entries would wait for the other one to start it.
        """
        joined = self._forwarding.pop_joined(name, link.stream)
        if joined is not None:
            joined.acquired = True
            self._handover.submit(joined)
        else:
            self._handover.record_acquired(name)

    def handle_join(self, link: Link, message: Join) -> None:
        """Attach a caller of another entry to a job, if the job is here."""
        name = message.job
        known = self._find_known(name)
        if known is not None:
            known.callers.append(self._remote_callers.add_caller(link.stream, name))
            known.deadline = max(known.deadline, self._now + message.timeout_seconds)
        elif self._forwarding.can_join(name, link.stream):
            caller = self._remote_callers.add_caller(link.stream, name)
            self._forwarding.add_caller(name, caller)
        else:
            self._handover.handle_join(link, name)

    def handle_yielded(self, link: Link, message: Yielded) -> None:
        """Proceed with a job that another entry doesn't have, or has given up."""
        self._handover.handle_yielded(link, message)
        self._forwarding.handle_yielded(link.stream, message.job)

    def handle_withdraw(self, link: Link, message: Withdraw) -> None:
        """Give up a job for which another entry's callers no longer wait."""
        for disconnected in self._remote_callers.withdraw(link.stream, message.job):
            self.handle_caller_loss(disconnected)

    def handle_stream_loss(self, stream: int) -> None:
        """Handle the loss of the stream to another entry.

        This covers the jobs that were forwarded to the other entry and those that it
        forwarded here.
        """
        self._forwarding.handle_stream_loss(stream)
        for disconnected in self._remote_callers.drop_stream(stream):
            self.handle_caller_loss(disconnected)

    def route_answers(self, actions: Iterable[RunAction]) -> list[RunAction]:
        """Replace answers to other entries' callers by messages to those entries."""
        return self._remote_callers.route_answers(actions)
