"""Whether a job is taken: refuse at once what can't be served in time.

A caller who is refused at once can act; one who waits in a queue that can't be
served in time loses that time, and takes room from those who could be served.
"""

from bisect import bisect_left

from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.policy import DEFAULT_POLICY, Policy

HORIZONS_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6, 1e9)
"""Seconds to the latest start by which waiting work is told to other entries."""

RETRY_AFTER_SECONDS = 1.0
"""Seconds after which a caller that was refused may try again."""

LATE_FACTOR = 3.0
"""A result after this multiple of the objective is of no use to the caller."""

MAX_WAIT_TO_SLACK = 1.0
"""Multiple of a job's slack that its expected wait may reach."""

MAX_DRAIN_SECONDS = 0.05
"""Seconds all endpoints may need for what waits and must start before a new job.

Above it more arrives than can be served. What is taken then makes something else
late: a long job that may wait a second is overtaken for longer than that. Less urgent
work doesn't count: it lets the new job pass.
"""

SIZE_EXPONENT = 0.5
"""Power of a job's size, relative to its queue's mean, by which ``MAX_DRAIN_SECONDS``
shrinks.

While not all can be served, the room of one large job serves several small ones. With
a power of 1 the queue of the largest jobs would hardly be served."""

MAX_SIZE_FACTOR = 2.0
"""Largest multiple of ``MAX_DRAIN_SECONDS``, for jobs of at most a quarter of the
mean."""

MEAN_WORK_WEIGHT = 0.02
"""Weight of the newest job in its queue's mean work: some fifty jobs count."""

MIN_JOB_CORE_SECONDS = 1e-3
"""Core-seconds that a job counts for at least."""

EXEMPT_WAITING_TASKS = 2
"""Tasks that may wait at an entry whatever ``MAX_DRAIN_SECONDS`` says: where there
are few endpoints, a single task takes them longer."""


class Admission:
    """Backlog of all entries, and what it means for a new job."""

    def __init__(self, policy: Policy = DEFAULT_POLICY) -> None:
        self._policy = policy
        self._mean_work: dict[str, float] = {}
        self._peers: dict[str, list[float]] = {}
        self.agent_overlap = 1.0
        """Share of an entry's agents that another one meets, too: of what waits there
        that much competes for the room seen here."""

    def update_peer_backlog(self, peer: str, backlog: list[float]) -> None:
        """Note a peer's backlog, in core-seconds by ``HORIZONS_SECONDS``."""
        if len(backlog) == len(HORIZONS_SECONDS):
            self._peers[peer] = backlog

    def is_peer_idle(self, peer: str) -> bool:
        """Tell whether nothing waits for room at a peer, by what it told last."""
        backlog = self._peers.get(peer)
        return backlog is not None and not any(backlog)

    def forget_peer(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(peer, None)

    def find_refusal(
        self, job: Job, own: list[float], tasks: int, capacity: float, now: float
    ) -> str | None:
        """Tell why a job must be refused, or ``None``.

        :param own: backlog of this entry, in core-seconds by ``HORIZONS_SECONDS``.
        :param tasks: tasks that wait at this entry.
        :param capacity: cores of all open endpoints of its service.
        """
        if capacity <= 0:
            return "no_endpoint"
        slack = max(job.rank - now, 0.05)
        position = bisect_left(HORIZONS_SECONDS, slack)
        others = sum(backlog[position] for backlog in self._peers.values())
        others *= self.agent_overlap
        ahead = own[position] + others
        if ahead / capacity > MAX_WAIT_TO_SLACK * slack:
            return "overload"
        if not self._policy.drain_bound:
            return None
        limit = MAX_DRAIN_SECONDS * self._weigh_size(job)
        few = tasks < EXEMPT_WAITING_TASKS and others <= limit * capacity / 2
        if not few and ahead > limit * capacity:
            return "overload"
        return None

    def _weigh_size(self, job: Job) -> float:
        """Return the multiple of ``MAX_DRAIN_SECONDS`` that applies to a job's size."""
        if not self._policy.small_first:
            return 1.0
        name, work = job.queue.name, max(job.core_seconds, MIN_JOB_CORE_SECONDS)
        mean = self._mean_work.get(name, work)
        self._mean_work[name] = mean + MEAN_WORK_WEIGHT * (work - mean)
        return min(MAX_SIZE_FACTOR, (mean / work) ** SIZE_EXPONENT)

    def is_too_late(self, job: Job, now: float) -> bool:
        """Tell whether a job that hasn't begun can't end in time any more."""
        chain = job.objective - (job.rank - job.arrival)
        return now + chain > job.arrival + LATE_FACTOR * job.objective
