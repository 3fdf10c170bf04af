"""Whether a job is taken: refuse at once what can't be served in time.

A caller who is refused at once can act; one who waits in a queue that can't be
served in time loses that time, and takes room from those who could be served.
"""

from bisect import bisect_left

from godwitbank._internal.core.runs.work import Job

HORIZONS = (0.1, 0.2, 0.4, 0.8, 1.6, 1e9)
"""Seconds to the latest start by which waiting work is told to other entries."""

LATE_FACTOR = 3.0
"""A result after this multiple of the objective is of no use to the caller."""

TOLERANCE = 1.0
"""Multiple of a job's slack that its expected wait may reach."""

MAX_DRAIN = 0.02
"""Seconds all endpoints may need for the work that waits, more urgent or not.

Above it more arrives than can be served. What is taken then makes something else
late, whatever its own place in the queue: a long job that may wait a second is
overtaken for longer than that. Played load at 126 % of capacity earned 0.57 of
the worth without this bound, 0.67 with 0.2 s, 0.76 with 0.02 s, 0.77 with none
waiting at all; at 99 % of capacity 0.89, 0.91, 0.93 and 0.90.
"""

FEW_TASKS = 2
"""Tasks that may wait at an entry whatever ``MAX_DRAIN`` says: where there are few
endpoints, a single task takes them longer."""


class Admission:
    """Backlog of all entries, and what it means for a new job."""

    def __init__(self) -> None:
        self._peers: dict[str, list[float]] = {}

    def hear(self, peer: str, backlog: list[float]) -> None:
        """Note a peer's backlog, in core-seconds by ``HORIZONS``."""
        if len(backlog) == len(HORIZONS):
            self._peers[peer] = backlog

    def forget(self, peer: str) -> None:
        """Forget a peer that is gone."""
        self._peers.pop(peer, None)

    def judge(
        self, job: Job, own: list[float], tasks: int, capacity: float, now: float
    ) -> str | None:
        """Tell why a job must be refused, or ``None``.

        :param own: backlog of this entry, in core-seconds by ``HORIZONS``.
        :param tasks: tasks that wait at this entry.
        :param capacity: cores of all open endpoints of its service.
        """
        if capacity <= 0:
            return "no_endpoint"
        slack = max(job.rank - now, 0.05)
        position = bisect_left(HORIZONS, slack)
        ahead = own[position]
        ahead += sum(backlog[position] for backlog in self._peers.values())
        if ahead / capacity > TOLERANCE * slack:
            return "overload"
        others = sum(backlog[-1] for backlog in self._peers.values())
        few = tasks < FEW_TASKS and others <= MAX_DRAIN * capacity / 2
        if not few and own[-1] + others > MAX_DRAIN * capacity:
            return "overload"
        return None

    def is_hopeless(self, job: Job, now: float) -> bool:
        """Tell whether a job that hasn't begun can't end in time any more."""
        chain = job.objective - (job.rank - job.arrival)
        return now + chain > job.arrival + LATE_FACTOR * job.objective
