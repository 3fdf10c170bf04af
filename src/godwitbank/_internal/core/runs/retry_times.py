"""When a caller that was turned away should submit its job again.

A caller that returns before there is capacity for its job is refused again, and callers
that return together refuse each other. The time is computed from the work that must be
started first and the rate at which such work has been started lately. It is bounded,
and spread at random.
"""

import math
from collections import defaultdict
from random import Random
from typing import NamedTuple

from godwitbank._internal.core.pressure import Pressure
from godwitbank._internal.core.runs.deployment import Deployment
from godwitbank._internal.core.runs.jobs import Job, Task, TaskState
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.returning import RefusedJobs

MIN_RETRY_SECONDS = 0.1
"""Lower bound, in seconds. An answer and a new request take a tenth of that."""

MAX_RETRY_SECONDS = 8.0
"""Upper bound, in seconds. No backlog that is known now tells more about the load so
far ahead, and callers lose interest."""

SPREAD = 0.25
"""Largest random addition, as a share of the time. Small, so that callers return in
about the order of their times."""

RATE_WINDOW_SECONDS = 1.0
"""Time constant, in seconds, over which started work is averaged. Shorter than a surge,
longer than a task."""

MIN_DRAIN_SHARE = 0.02
"""Lower bound of the drain rate as a share of all cores, for a queue that has started
nothing lately: other entries use most of the cores."""

BACKLOG_CACHE_SECONDS = 0.05
"""Seconds for which the sums over the waiting tasks are kept, as many jobs are refused
at once under overload."""

OTHER_ENTRY_SECONDS = 0.5
"""Time, in seconds, after which a caller may find another entry: a connection that is
closed here is opened there."""

NO_ENDPOINT_SECONDS = 1.0
"""Time, in seconds, while no endpoint is available and none is expected."""

OPERATOR_SECONDS = 4.0
"""Time, in seconds, where a change by operators is needed, such as the end of an
evacuation or a larger endpoint."""

MIN_OVERLOAD_SECONDS = 0.5
"""Time, in seconds, at the beginning of an overload of the entry's processor."""

_OTHER_ENTRY_REASONS = {"stopping", "stood_still"}
_LEASE_REASONS = {"cut_off", "submitted_elsewhere", "claimed_elsewhere"}
_OPERATOR_REASONS = {"evacuated", "too_large", "unknown_queue"}
_STARTING_REASONS = {"arriving", "no_endpoint"}


class RetryTime(NamedTuple):
    """The time given to a caller, and what it was computed from.

    :param seconds: time until the caller should return, in seconds.
    :param ahead: core-seconds that go before its job.
    :param drain: core-seconds per second at which such work is started.
    """

    seconds: float
    ahead: float = 0.0
    drain: float = 0.0

    def describe(self) -> dict[str, object]:
        """Return the fields of a refusal's log line."""
        fields: dict[str, object] = {"retry_s": round(self.seconds, 3)}
        if self.drain:
            fields["ahead"] = round(self.ahead, 3)
            fields["drain"] = round(self.drain, 3)
        return fields


class StartRate:
    """Moving average of the work started per second."""

    def __init__(self) -> None:
        self._core_seconds = 0.0
        self._at = 0.0

    def record(self, core_seconds: float, now: float) -> None:
        """Add work that is started now, in core-seconds."""
        self._core_seconds = self._decay(now) + core_seconds
        self._at = now

    def measure(self, now: float) -> float:
        """Return the core-seconds started per second."""
        return self._decay(now) / RATE_WINDOW_SECONDS

    def _decay(self, now: float) -> float:
        age = max(0.0, now - self._at)
        return self._core_seconds * math.exp(-age / RATE_WINDOW_SECONDS)


class RetryTimes:
    """Computes when callers should return.

    :param jobs: jobs in flight at this entry, by id.
    :param refused: jobs that this entry refused, whose callers are to return.
    :param rng: spreads the times.
    :param started_at: time at which this process started, in seconds.
    """

    def __init__(
        self,
        jobs: dict[str, Job],
        refused: RefusedJobs,
        pressure: Pressure,
        deployment: Deployment,
        rng: Random,
        started_at: float,
    ) -> None:
        self._jobs = jobs
        self._refused = refused
        self._pressure = pressure
        self._deployment = deployment
        self._rng = rng
        self._started_at = started_at
        self._rates: dict[int, StartRate] = defaultdict(StartRate)
        self._waiting: dict[int, float] = {}
        self._waiting_at = -math.inf

    def record_start(self, task: Task, now: float) -> None:
        """Record that a task was sent to an agent."""
        self._rates[task.job.queue.priority].record(task.core_seconds, now)

    def plan_return(self, job: Job, reason: str, cores: float, now: float) -> RetryTime:
        """Compute when the callers of a job should return, and expect them.

        :param reason: why it was refused or given up.
        :param cores: cores of all endpoints of the job's service.
        """
        retry = self.compute_for_job(job, reason, cores, now)
        if job.callers and not job.ran:
            self._refused.record(job, retry.seconds, now)
        return retry

    def compute_for_job(
        self, job: Job, reason: str, cores: float, now: float
    ) -> RetryTime:
        """Return when the callers of a job should return.

        :param reason: why it was refused or given up.
        :param cores: cores of all endpoints of the job's service.
        """
        special = self._find_special(reason, now)
        if special is not None:
            return self._spread(special)
        priority = job.queue.priority
        refused_at = min(job.refused_at, now)
        ahead = self._measure_waiting(priority, now)
        ahead += self._refused.measure_ahead(priority, refused_at, now)
        ahead += job.core_seconds
        drain = self._measure_drain(priority, cores, now)
        return self._spread(ahead / drain, ahead, drain)

    def compute_without_job(self, reason: str, now: float) -> RetryTime:
        """Return when callers should return whose job isn't known here.

        The longer the processor has been overloaded, the longer that is likely to last.
        """
        special = self._find_special(reason, now)
        if special is None:
            special = MIN_OVERLOAD_SECONDS
            if self._pressure.overloaded:
                overloaded_seconds = now - self._pressure.overloaded_since
                special = max(special, overloaded_seconds)
        return self._spread(special)

    def _find_special(self, reason: str, now: float) -> float | None:
        if reason in _STARTING_REASONS:
            # Endpoints report within this time of the start.
            ready_at = self._started_at + self._deployment.agent_startup_seconds
            return ready_at - now if ready_at > now else NO_ENDPOINT_SECONDS
        if reason in _OTHER_ENTRY_REASONS:
            return OTHER_ENTRY_SECONDS
        if reason in _LEASE_REASONS:
            # Runs of the job may be alive until then; it couldn't start before.
            return LAPSE_SECONDS
        return OPERATOR_SECONDS if reason in _OPERATOR_REASONS else None

    def _measure_waiting(self, priority: int, now: float) -> float:
        """Return the core-seconds waiting here that go before a queue's new job."""
        if now - self._waiting_at > BACKLOG_CACHE_SECONDS:
            self._waiting = self._sum_waiting()
            self._waiting_at = now
        return sum(work for each, work in self._waiting.items() if each <= priority)

    def _sum_waiting(self) -> dict[int, float]:
        totals: dict[int, float] = defaultdict(float)
        for job in self._jobs.values():
            if job.ending:
                continue
            totals[job.queue.priority] += sum(
                task.core_seconds
                for step in job.tasks
                for task in step
                if task.state is TaskState.WAITING
            )
        return totals

    def _measure_drain(self, priority: int, cores: float, now: float) -> float:
        """Return the core-seconds per second left by more urgent queues.

        Only the starts of this entry count: what other entries take is missing in them.
        """
        started = sum(
            rate.measure(now) for each, rate in self._rates.items() if each >= priority
        )
        return max(started, MIN_DRAIN_SHARE * cores, 1e-3)

    def _spread(
        self, seconds: float, ahead: float = 0.0, drain: float = 0.0
    ) -> RetryTime:
        longest = MAX_RETRY_SECONDS / (1 + SPREAD)
        bounded = min(max(seconds, MIN_RETRY_SECONDS), longest)
        spread = bounded * (1 + SPREAD * self._rng.random())
        return RetryTime(spread, ahead, drain)
