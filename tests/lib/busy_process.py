"""Processes of ``RunsWorld`` whose work takes processor time.

Elsewhere in the tests a core handles an event in no time, so that a process always
keeps up. Here each event waits for those before it, as what arrives at a socket does,
and takes as long as it took on loopback (``/proc`` times of an entry beside stand-ins:
2.3 ms a job of two tasks, 3.2 ms of four) divided by the process's share of a core.
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
"""Core-seconds to read a caller's request, whatever becomes of it."""

SHED_CORE_SECONDS = 0.00025
"""The same for a request that is refused without being read."""

ACCEPT_CORE_SECONDS = 0.0006
"""Core-seconds to take a job."""

ANSWER_CORE_SECONDS = 0.0002
"""Core-seconds to answer a caller."""

ORDER_CORE_SECONDS = 0.00025
"""Core-seconds to choose an agent and send it an order."""

OUTCOME_CORE_SECONDS = 0.0002
"""Core-seconds to act on the end of a run."""

OTHER_CORE_SECONDS = 0.00005
"""Core-seconds of any other frame, heard or sent."""

RETRY_DELAY_SECONDS = 1.3
"""Seconds after which a caller without an answer comes again."""


class ProcessedEvent(NamedTuple):
    """What one event led to, and how long it kept the processor, in seconds."""

    seconds: float
    actions: list[Any]


class BusyProcess(Process):
    """A process with a share of a core.

    :param share: cores it may use.
    """

    def __init__(self, world: RunCluster, name: str, core: Any, share: float) -> None:
        super().__init__(world, name, core)
        self._share = share
        self._queue: deque[Callable[[], ProcessedEvent]] = deque()
        self._working = False
        self._ask_for_timer()

    def deliver_event(self, event: object) -> None:
        """Queue an event behind those that came before."""
        self._queue.append(lambda: self._handle(event))
        self._work()

    def _ask_for_timer(self) -> None:
        due_at = self.world.now + ENTRY_INTERVAL_SECONDS

        def fire() -> None:
            self._queue.append(lambda: self._tell_lag(due_at))
            self._work()

        self.world.after(ENTRY_INTERVAL_SECONDS, fire)

    def _tell_lag(self, due_at: float) -> ProcessedEvent:
        self._ask_for_timer()
        return self._handle(LagMeasured(self.world.now - due_at))

    def _handle(self, event: object) -> ProcessedEvent:
        if isinstance(event, JobSubmitted) and self.core.sheds_load:
            # As the programs do, ahead of the core.
            job = event.spec.job
            result = JobResult(job, JobEnd.REFUSED, "no_processor", False, 1.0)
            return ProcessedEvent(
                SHED_CORE_SECONDS / self._share, [AnswerCaller(event.caller, result)]
            )
        actions: list[Any] = self.core.handle(event, self.world.now)
        cost = _price(event) + sum(_price_action(action) for action in actions)
        return ProcessedEvent(cost / self._share, actions)

    def _work(self) -> None:
        if self._working or self.dead or not self._queue:
            return
        self._working = True
        turn = self._queue.popleft()()

        def finish() -> None:
            self._working = False
            if not self.dead:
                self.world.perform(self, turn.actions)
                self.world.schedule_wakeup(self)
                self._work()

        self.world.after(turn.seconds, finish)


def _price(event: object) -> float:
    if isinstance(event, JobSubmitted):
        return READ_CORE_SECONDS
    if isinstance(event, Received) and isinstance(event.message, RunOutcome):
        return OUTCOME_CORE_SECONDS
    return 0.0 if isinstance(event, Tick) else OTHER_CORE_SECONDS


def _price_action(action: object) -> float:
    if isinstance(action, AnswerCaller):
        return ANSWER_CORE_SECONDS
    if isinstance(action, LogDecision):
        return ACCEPT_CORE_SECONDS if action.event == "job_accepted" else 0.0
    if isinstance(action, Send):
        is_order = isinstance(action.message, StartRun)
        return ORDER_CORE_SECONDS if is_order else OTHER_CORE_SECONDS
    return 0.0


class SubmittedJob(NamedTuple):
    """A job, when its caller came first, and where."""

    spec: JobSpec
    submitted_at: float
    entry: str


class Callers:
    """Callers who wait for a while, hang up, and come again once."""

    def __init__(self, world: RunCluster, timeout_seconds: float) -> None:
        self.submitted: list[SubmittedJob] = []
        self._world = world
        self._patience = timeout_seconds

    def submit(self, entry: str, spec: JobSpec) -> None:
        """Hand in a job."""
        asked = SubmittedJob(spec, self._world.now, entry)
        self.submitted.append(asked)
        self._try(asked, resends=1)

    def _try(self, asked: SubmittedJob, resends: int) -> None:
        world = self._world
        caller = world.submit(asked.entry, asked.spec, self._patience)

        def look() -> None:
            if world.results[asked.spec.job]:
                return
            world.disconnect_caller(asked.entry, caller)
            if resends:
                world.after(RETRY_DELAY_SECONDS, lambda: self._try(asked, resends - 1))

        world.after(self._patience, look)

    def find_answer_seconds(self, asked: SubmittedJob) -> float | None:
        """Tell the seconds until a job's first answer, if any came."""
        told = self._world.timed_results.get(asked.spec.job)
        return told[0][1] - asked.submitted_at if told else None

    def is_completed(self, asked: SubmittedJob, within_seconds: float) -> bool:
        """Tell whether a job was completed in time."""
        told = self._world.timed_results.get(asked.spec.job)
        if not told:
            return False
        result, at = told[0]
        return result.end == "completed" and at - asked.submitted_at <= within_seconds
