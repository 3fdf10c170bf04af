"""Which jobs an entry takes, which it hands on, and who waits for them."""

from collections.abc import Callable, Iterable

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.admission import RETRY_AFTER_SECONDS
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
    """Decides what becomes of each job that a caller or another entry hands in."""

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
        self._adoption = RemoteCallers()
        self._now = 0.0
        self._out: Callable[[RunAction], None] = lambda action: None

    def begin_event(self, now: float, out: Callable[[RunAction], None]) -> None:
        """Prepare for one event."""
        self._now = now
        self._out = out
        self._forwarding.begin_event(now, out)

    @property
    def busy(self) -> bool:
        """Whether a job is in flight here, or at another entry for this one."""
        here = bool(self._dispatcher.jobs) or self._handover.busy
        return here or self._forwarding.busy

    def has_job(self, job: str) -> bool:
        """Tell whether a job is in flight here, or at another entry for this one."""
        return job in self._dispatcher.jobs or self._forwarding.has(job)

    def submit(self, event: JobSubmitted, acquired: bool = False) -> None:
        """Take a job, hand it on, or refuse it.

        :param acquired: whether this entry may start it already.
        """
        spec = event.spec
        queue = self._routes.get(spec.queue)
        if queue is None:
            self._refuse(event, "unknown_queue")
            return
        if self._join(event):
            return
        adopted = self._adoption.is_remote(event.caller)
        if not adopted and self._forwarding.try_forward(event):
            return
        if self._pressure.overloaded:
            # Taken now it would be late, and make all others later, until the entry
            # works for callers that have left.
            self._refuse(event, "no_processor")
            return
        job = Job(spec, queue, event.caller, self._now, event.timeout_seconds)
        if acquired:
            self._handover.start(job)
        else:
            self._handover.submit(job)

    def _join(self, event: JobSubmitted) -> bool:
        """Let a caller whose first connection broke wait for what was taken then."""
        name = event.spec.job
        if self._forwarding.join(event):
            return True
        known = self._find_known(name)
        if known is None:
            return False
        self._counts.add("jobs_joined")
        self._out(LogDecision("job_joined", name, {}))
        known.callers.append(event.caller)
        known.deadline = max(known.deadline, self._now + event.timeout_seconds)
        return True

    def _find_known(self, name: str) -> Job | None:
        known = self._dispatcher.jobs.get(name)
        if known is not None and not known.ending:
            return known
        return self._handover.find_waiting(name)

    def _refuse(self, event: JobSubmitted, reason: str) -> None:
        self._counts.add("jobs_refused", reason)
        job = event.spec.job
        lag = round(self._pressure.lag, 3)
        self._out(LogDecision("job_refused", job, {"reason": reason, "lag": lag}))
        result = JobResult(job, JobEnd.REFUSED, reason, False, RETRY_AFTER_SECONDS)
        self._out(AnswerCaller(event.caller, result))

    def handle_caller_loss(self, event: CallerDisconnected) -> None:
        """Give up what only a caller who is gone waits for."""
        self._forwarding.handle_caller_loss(event.caller)
        self._handover.handle_caller_loss(event.caller)
        for job in list(self._dispatcher.jobs.values()):
            if event.caller not in job.callers:
                continue
            job.callers.remove(event.caller)
            if not job.callers:
                self._dispatcher.give_up(job, "caller_gone")

    def cancel(self, event: JobCancelled) -> None:
        """Give up a job at its caller's wish."""
        self._forwarding.withdraw(event.job, "cancelled")
        job = self._dispatcher.jobs.get(event.job)
        if job is not None:
            self._dispatcher.give_up(job, "cancelled")

    def handle_forward(self, link: Link, message: Forward) -> None:
        """Take a job of another entry's caller."""
        self.submit(
            self._adoption.accept_forward(link.stream, message), message.acquired
        )

    def handle_join(self, link: Link, message: Join) -> None:
        """Let a caller of another entry wait for a job, if it is here."""
        name = message.job
        known = self._find_known(name)
        if known is not None:
            known.callers.append(self._adoption.add_caller(link.stream, name))
            known.deadline = max(known.deadline, self._now + message.timeout_seconds)
        elif self._forwarding.can_join(name, link.stream):
            caller = self._adoption.add_caller(link.stream, name)
            self._forwarding.add_caller(name, caller)
        else:
            self._handover.handle_join(link, name)

    def handle_yielded(self, link: Link, message: Yielded) -> None:
        """Go on with a job that another entry doesn't have, or no longer."""
        self._handover.handle_yielded(link, message)
        self._forwarding.handle_yielded(link.stream, message.job)

    def handle_withdraw(self, link: Link, message: Withdraw) -> None:
        """Give up a job that another entry's caller no longer waits for."""
        for gone in self._adoption.withdraw(link.stream, message.job):
            self.handle_caller_loss(gone)

    def handle_stream_loss(self, stream: int) -> None:
        """Note that a stream to another entry ended, in both roles."""
        self._forwarding.handle_stream_loss(stream)
        for gone in self._adoption.drop_stream(stream):
            self.handle_caller_loss(gone)

    def route_answers(self, actions: Iterable[RunAction]) -> list[RunAction]:
        """Turn answers to callers of other entries into messages."""
        return self._adoption.route_answers(actions)
