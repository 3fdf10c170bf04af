"""Counts what becomes of each queue's jobs, and detects queues that are short of room.

Queues are named in metrics only if the configuration has them, so that their number is
bounded whatever callers ask for.
"""

from typing import NamedTuple

from godwitbank._internal.core.counters import Counts
from godwitbank._internal.core.runs.queue_loads import MovingRate
from godwitbank._internal.models.jobs import JobEnd

SHORTAGE_REASONS = frozenset({"overload", "too_late"})
"""Reasons to refuse or give up a job for which more room would have helped."""

MIN_SHORT_JOBS_PER_SECOND = 1.0
"""Jobs late, refused or given up, per second, from which a queue is short of room. A
single slow task makes one job late, which is no shortage."""

MAX_RECOVERED_JOBS_PER_SECOND = 0.1
"""Such jobs per second, below which a queue is no longer short of room. The moving
average takes at least four seconds to fall so far, which bounds the changes logged."""


class ShortageChange(NamedTuple):
    """A queue has become short of room, or has recovered.

    :param refused: jobs refused or given up for lack of room since the first such job.
    :param late: jobs that ended after their objective since then.
    :param seconds: time for which it was short; 0 if it has just become so.
    """

    queue: str
    short: bool
    refused: int
    late: int
    seconds: float


class _Shortage:
    """Jobs of one queue that more room would have helped."""

    __slots__ = ("rate", "refused", "late", "since")

    def __init__(self, now: float) -> None:
        self.rate = MovingRate(now)
        self.refused = 0
        self.late = 0
        self.since: float | None = None


class QueueMonitor:
    """Counts the ends of jobs by queue, and detects shortages."""

    def __init__(self, counts: Counts) -> None:
        self._counts = counts
        self._shortages: dict[str, _Shortage] = {}
        self._slacks: dict[str, float] = {}

    def record_slack(self, queue: str, slack: float) -> None:
        """Record the seconds that a submitted job may wait."""
        self._slacks[queue] = slack

    def get_slack(self, queue: str) -> float | None:
        """Return the slack of the queue's last job, or ``None`` if there was none."""
        return self._slacks.get(queue)

    def record_accepted(self, queue: str) -> None:
        """Count an accepted job."""
        self._counts.add("jobs_accepted", queue=queue)

    def record_refused(self, queue: str, reason: str, now: float) -> None:
        """Count a refused job.

        :param queue: empty if the configuration has no such queue.
        """
        self._counts.add("jobs_refused", reason, queue=queue)
        self._record_shortage_reason(queue, reason, now)

    def record_given_up(self, queue: str, reason: str, now: float) -> None:
        """Count a job that was accepted and is given up."""
        self._counts.add("jobs_given_up", reason, queue=queue)
        self._record_shortage_reason(queue, reason, now)

    def record_ended(self, queue: str, end: JobEnd, late: bool, now: float) -> None:
        """Count the end of an accepted job.

        :param late: whether it ended after its objective.
        """
        self._counts.add("jobs_ended", end, queue=queue)
        if late and end is JobEnd.COMPLETED:
            self._counts.add("jobs_late", queue=queue)
            shortage = self._get_shortage(queue, now)
            shortage.late += 1
            shortage.rate.add(1.0, now)

    def _record_shortage_reason(self, queue: str, reason: str, now: float) -> None:
        if reason in SHORTAGE_REASONS:
            shortage = self._get_shortage(queue, now)
            shortage.refused += 1
            shortage.rate.add(1.0, now)

    def _get_shortage(self, queue: str, now: float) -> _Shortage:
        shortage = self._shortages.get(queue)
        if shortage is None:
            shortage = self._shortages[queue] = _Shortage(now)
        return shortage

    def is_short(self, queue: str) -> bool:
        """Return whether a queue is short of room."""
        shortage = self._shortages.get(queue)
        return shortage is not None and shortage.since is not None

    def update_shortages(self, now: float) -> list[ShortageChange]:
        """Update which queues are short of room, and return the changes."""
        changes = []
        for queue, shortage in list(self._shortages.items()):
            rate = shortage.rate.measure(now)
            if rate <= MAX_RECOVERED_JOBS_PER_SECOND:
                del self._shortages[queue]
                if shortage.since is not None:
                    changes.append(_describe(queue, shortage, False, now))
            elif shortage.since is None and rate >= MIN_SHORT_JOBS_PER_SECOND:
                shortage.since = now
                changes.append(_describe(queue, shortage, True, now))
        return changes


def _describe(
    queue: str, shortage: _Shortage, short: bool, now: float
) -> ShortageChange:
    seconds = now - (now if shortage.since is None else shortage.since)
    return ShortageChange(queue, short, shortage.refused, shortage.late, seconds)
