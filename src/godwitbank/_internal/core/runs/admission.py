"""Admission control: refuses jobs that can't be served in time.

A caller that is refused at once can try elsewhere. One that waits for a job that won't
be served in time loses that time, and its job uses capacity with which other jobs could
be served in time.
"""

from bisect import bisect_left
from typing import NamedTuple

from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy
from godwitbank._internal.core.runs.queue_loads import OTHER_QUEUES, QueueLoads
from godwitbank._internal.core.runs.shares import ServiceQueues
from godwitbank._internal.models.jobs import QueueRules

HORIZONS_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6, 1e9)
"""Upper bounds of the time until a task must start, in seconds. Entries report to their
peers how much of their backlog must start within each."""

LATE_FACTOR = 3.0
"""Multiple of the objective after which a result is of no use to the caller."""

MAX_WAIT_TO_SLACK = 1.0
"""Multiple of a job's slack, the time until its latest start, that its expected wait
may reach."""

MAX_DRAIN_SECONDS = 0.05
"""Seconds that all endpoints together may need for the backlog ahead of a new job.

Above it, more work arrives than can be served, and every accepted job makes another one
late: even a long job that may wait a second is overtaken by more urgent ones for longer
than that. Less urgent work doesn't count, because the new job is served before it.
"""

SIZE_EXPONENT = 0.5
"""Power of a job's size, relative to its queue's mean, by which ``MAX_DRAIN_SECONDS``
shrinks.

Under overload, the capacity that one large job needs serves several small ones. With a
power of 1, the largest jobs of a queue would hardly ever be accepted."""

MAX_SIZE_FACTOR = 2.0
"""Largest multiple of ``MAX_DRAIN_SECONDS``, for jobs of at most a quarter of the
mean."""

MEAN_WORK_WEIGHT = 0.02
"""Weight of the newest job in its queue's mean size; averages about fifty jobs."""

MIN_JOB_CORE_SECONDS = 1e-3
"""Lower bound of a job's size, in core-seconds."""

EXEMPT_WAITING_TASKS = 2
"""Number of waiting tasks at an entry below which ``MAX_DRAIN_SECONDS`` doesn't apply.
Where there are few endpoints, even a single task takes them longer than that."""


MIN_SLACK_SECONDS = 0.05
"""Lower bound of a job's slack in seconds; less is within the error of estimates."""


class WorkAhead(NamedTuple):
    """Work that goes before a new job, in core-seconds.

    :param own: waits at this entry.
    :param peers: waits at other entries, for the agents of this one.
    """

    own: float
    peers: float


class Admission:
    """Decides by the backlog of all entries which jobs are refused."""

    def __init__(
        self, policy: Policy = DEFAULT_POLICY, loads: QueueLoads | None = None
    ) -> None:
        self._policy = policy
        self._loads = QueueLoads() if loads is None else loads
        self._mean_core_seconds: dict[str, float] = {}

    def measure_ahead(
        self,
        job: Job,
        own_work: dict[str, list[float]],
        queues: ServiceQueues,
        now: float,
    ) -> WorkAhead:
        """Measure the work that goes before a new job; see ``measure_ahead_of``."""
        slack = max(job.rank - now, MIN_SLACK_SECONDS)
        return self.measure_ahead_of(job.queue, slack, own_work, queues, now)

    def measure_ahead_of(
        self,
        queue: QueueRules,
        slack: float,
        own_work: dict[str, list[float]],
        queues: ServiceQueues,
        now: float,
    ) -> WorkAhead:
        """Measure the work that goes before a new job of a queue.

        That is all work of more urgent queues, and of equally urgent ones what must
        start before the job.

        :param slack: seconds until the job must start.
        :param own_work: core-seconds that wait at this entry, for each of
            ``HORIZONS_SECONDS``, by queue.
        :param queues: the queues of the same service.
        """
        position = bisect_left(HORIZONS_SECONDS, slack)
        if not queues.graded:
            own = sum(work[position] for work in own_work.values())
            return WorkAhead(own, self._loads.measure_all_peer_waiting(position, now))
        own = 0.0
        peers = self._loads.measure_peer_waiting(OTHER_QUEUES, position, now)
        for other in queues.queues:
            if other.priority > queue.priority:
                continue
            is_urgent = other.priority < queue.priority
            horizon = len(HORIZONS_SECONDS) - 1 if is_urgent else position
            if other.name in own_work:
                own += own_work[other.name][horizon]
            peers += self._loads.measure_peer_waiting(other.name, horizon, now)
        return WorkAhead(own, peers)

    def measure_own_queue(
        self, job: Job, own_work: dict[str, list[float]], now: float
    ) -> WorkAhead:
        """Measure the work of the job's own queue that goes before it."""
        slack = max(job.rank - now, MIN_SLACK_SECONDS)
        position = bisect_left(HORIZONS_SECONDS, slack)
        name = job.queue.name
        own = own_work[name][position] if name in own_work else 0.0
        return WorkAhead(own, self._loads.measure_peer_waiting(name, position, now))

    def find_refusal(
        self,
        job: Job,
        ahead: WorkAhead,
        waiting_tasks: int,
        capacity: float,
        now: float,
    ) -> str | None:
        """Return the reason to refuse a job, or ``None`` to accept it.

        :param ahead: the work that goes before the job.
        :param waiting_tasks: number of tasks that wait at this entry.
        :param capacity: cores of all endpoints that accept runs of the job's service.
        """
        if capacity <= 0:
            return "no_endpoint"
        slack = max(job.rank - now, MIN_SLACK_SECONDS)
        work_ahead = ahead.own + ahead.peers
        if work_ahead / capacity > MAX_WAIT_TO_SLACK * slack:
            return "overload"
        if not self._policy.drain_bound:
            return None
        limit = MAX_DRAIN_SECONDS * self._measure_size_factor(job)
        exempt = (
            waiting_tasks < EXEMPT_WAITING_TASKS and ahead.peers <= limit * capacity / 2
        )
        if not exempt and work_ahead > limit * capacity:
            return "overload"
        return None

    def _measure_size_factor(self, job: Job) -> float:
        """Return the multiple of ``MAX_DRAIN_SECONDS`` that applies to a job's size."""
        if not self._policy.small_first:
            return 1.0
        name, core_seconds = job.queue.name, max(job.core_seconds, MIN_JOB_CORE_SECONDS)
        mean_core_seconds = self._mean_core_seconds.get(name, core_seconds)
        self._mean_core_seconds[name] = mean_core_seconds + MEAN_WORK_WEIGHT * (
            core_seconds - mean_core_seconds
        )
        return min(MAX_SIZE_FACTOR, (mean_core_seconds / core_seconds) ** SIZE_EXPONENT)

    def is_too_late(self, job: Job, now: float) -> bool:
        """Return whether a job that wasn't started can't be done in time any more."""
        critical_path = job.objective - (job.rank - job.arrival)
        return now + critical_path > job.arrival + LATE_FACTOR * job.objective
