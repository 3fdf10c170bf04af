"""Processes of ``RunCluster`` whose work takes processor time.

Elsewhere in the tests a core handles an event in no time, so that a process is never
overloaded. Here events are queued, as frames are in a socket buffer, and each one
takes the processor time that was measured on loopback, divided by the process's share
of a core. The times come from ``/proc`` for an entry that runs beside stand-ins: 2.3 ms
for a job of two tasks and 3.2 ms for a job of four.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from godwitbank._internal.core.events import Received, Send, Tick
from godwitbank._internal.core.runs.events import (
    AnswerCaller,
    JobSubmitted,
    LagMeasured,
    LogDecision,
)
from godwitbank._internal.models.jobs import JobEnd, JobResult, JobSpec
from godwitbank._internal.models.run_messages import RunOutcome, StartRun
from godwitbank._internal.operations.lag import ENTRY_INTERVAL_SECONDS
from tests.lib.run_cluster import Process, RunCluster

READ_CORE_SECONDS = 0.0005
"""Processor time to read a caller's request, whether or not the job is accepted."""

SHED_CORE_SECONDS = 0.00025
"""Processor time to refuse a request without reading it."""

ACCEPT_CORE_SECONDS = 0.0006
"""Processor time to accept a job."""

ANSWER_CORE_SECONDS = 0.0002
"""Processor time to answer a caller."""

ORDER_CORE_SECONDS = 0.00025
"""Processor time to choose an agent and send it an order."""

OUTCOME_CORE_SECONDS = 0.0002
"""Processor time to handle the outcome of a run."""

OTHER_CORE_SECONDS = 0.00005
"""Processor time to receive or send any other frame."""

RETRY_DELAY_SECONDS = 1.3
"""Delay after which a caller that timed out submits its job again."""


class ProcessedEvent(NamedTuple):
    """The result of handling one event.

    :param seconds: how long the event occupied the processor.
    :param actions: what the core requested in response.
    """

    seconds: float
    actions: list[Any]


class BusyProcess(Process):
    """A process that handles its events one after another, at a limited speed.

    :param share: fraction of a processor core that the process may use.
    """

    def __init__(self, world: RunCluster, name: str, core: Any, share: float) -> None:
        super().__init__(world, name, core)
        self._share = share
        self._queue: deque[Callable[[], ProcessedEvent]] = deque()
        self._is_busy = False
        self._schedule_lag_measurement()

    def deliver_event(self, event: object) -> None:
        """Append an event to the queue of the process."""
        self._queue.append(lambda: self._handle(event))
        self._handle_next()

    def _schedule_lag_measurement(self) -> None:
        due_at = self.world.now + ENTRY_INTERVAL_SECONDS

        def enqueue_measurement() -> None:
            self._queue.append(lambda: self._measure_lag(due_at))
            self._handle_next()

        self.world.after(ENTRY_INTERVAL_SECONDS, enqueue_measurement)

    def _measure_lag(self, due_at: float) -> ProcessedEvent:
        self._schedule_lag_measurement()
        return self._handle(LagMeasured(self.world.now - due_at))

    def _handle(self, event: object) -> ProcessedEvent:
        if isinstance(event, JobSubmitted) and self.core.sheds_load:
            # The real entry refuses such a request before it reaches the core.
            job = event.spec.job
            result = JobResult(job, JobEnd.REFUSED, "no_processor", False, 1.0)
            return ProcessedEvent(
                SHED_CORE_SECONDS / self._share, [AnswerCaller(event.caller, result)]
            )
        actions: list[Any] = self.core.handle(event, self.world.now)
        cost = _find_event_cost(event) + sum(
            _find_action_cost(action) for action in actions
        )
        return ProcessedEvent(cost / self._share, actions)

    def _handle_next(self) -> None:
        if self._is_busy or self.dead or not self._queue:
            return
        self._is_busy = True
        processed = self._queue.popleft()()

        def complete_event() -> None:
            self._is_busy = False
            if not self.dead:
                self.world.perform(self, processed.actions)
                self.world.schedule_wakeup(self)
                self._handle_next()

        self.world.after(processed.seconds, complete_event)


def _find_event_cost(event: object) -> float:
    if isinstance(event, JobSubmitted):
        return READ_CORE_SECONDS
    if isinstance(event, Received) and isinstance(event.message, RunOutcome):
        return OUTCOME_CORE_SECONDS
    return 0.0 if isinstance(event, Tick) else OTHER_CORE_SECONDS


def _find_action_cost(action: object) -> float:
    if isinstance(action, AnswerCaller):
        return ANSWER_CORE_SECONDS
    if isinstance(action, LogDecision):
        return ACCEPT_CORE_SECONDS if action.event == "job_accepted" else 0.0
    if isinstance(action, Send):
        is_order = isinstance(action.message, StartRun)
        return ORDER_CORE_SECONDS if is_order else OTHER_CORE_SECONDS
    return 0.0


class SubmittedJob(NamedTuple):
    """A job as its caller submitted it first.

    :param spec: the job.
    :param submitted_at: time of the first attempt, in seconds.
    :param entry: name of the entry that received it.
    """

    spec: JobSpec
    submitted_at: float
    entry: str


class Callers:
    """Callers that disconnect after a timeout and submit their job once more.

    :param timeout_seconds: how long a caller waits for an answer.
    """

    def __init__(self, world: RunCluster, timeout_seconds: float) -> None:
        self.submitted: list[SubmittedJob] = []
        self._world = world
        self._timeout_seconds = timeout_seconds

    def submit(self, entry: str, spec: JobSpec) -> None:
        """Submit a job to an entry."""
        job = SubmittedJob(spec, self._world.now, entry)
        self.submitted.append(job)
        self._attempt(job, retries=1)

    def _attempt(self, job: SubmittedJob, retries: int) -> None:
        world = self._world
        caller = world.submit(job.entry, job.spec, self._timeout_seconds)

        def handle_timeout() -> None:
            if world.results[job.spec.job]:
                return
            world.disconnect_caller(job.entry, caller)
            if retries:
                world.after(
                    RETRY_DELAY_SECONDS, lambda: self._attempt(job, retries - 1)
                )

        world.after(self._timeout_seconds, handle_timeout)

    def find_answer_seconds(self, job: SubmittedJob) -> float | None:
        """Return the seconds until a job's first answer, or None without an answer."""
        results = self._world.timed_results.get(job.spec.job)
        return results[0][1] - job.submitted_at if results else None

    def is_completed(self, job: SubmittedJob, within_seconds: float) -> bool:
        """Return whether the first answer reports completion in time."""
        results = self._world.timed_results.get(job.spec.job)
        if not results:
            return False
        result, at = results[0]
        return result.end == "completed" and at - job.submitted_at <= within_seconds
