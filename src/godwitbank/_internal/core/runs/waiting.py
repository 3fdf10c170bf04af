"""Tasks that wait for a place, by the time they should start at the latest.

Earliest first is the best order while all can be served in time. Under overload
it is the worst: what is already late goes first, makes the next late, and in the
end every job is late. So tasks whose time has passed wait behind all others.
"""

import heapq
from typing import NamedTuple

from godwitbank._internal.core.runs.jobs import Task, TaskState


class QueuedTask(NamedTuple):
    """A task's place in the queue; the sequence keeps equal ranks in order."""

    rank: float
    sequence: int
    task: Task


class WaitingTasks:
    """Waiting tasks of one service."""

    def __init__(self, late_last: bool = True) -> None:
        self._late_last = late_last
        self._timely: list[QueuedTask] = []
        self._late: list[QueuedTask] = []
        self._sequence = 0
        self.count = 0

    def add(self, task: Task) -> None:
        """Queue a task."""
        task.state = TaskState.WAITING
        self.count += 1
        self._push(task)

    def _push(self, task: Task) -> None:
        self._sequence += 1
        entry = QueuedTask(task.job.rank, self._sequence, task)
        heapq.heappush(self._timely, entry)

    def mark_removed(self) -> None:
        """Count out a task that no longer waits; its entry is skipped later."""
        self.count -= 1

    def pop(self, now: float) -> Task | None:
        """Take the next task; if it finds no place it goes back by ``put_back``."""
        while self._timely:
            entry = heapq.heappop(self._timely)
            if entry.task.state is not TaskState.WAITING:
                continue
            if entry.rank >= now or not self._late_last:
                return entry.task
            heapq.heappush(self._late, entry)
        while self._late:
            entry = heapq.heappop(self._late)
            if entry.task.state is TaskState.WAITING:
                return entry.task
        return None

    def put_back(self, tasks: list[Task]) -> None:
        """Return tasks that found no place."""
        for task in tasks:
            self._push(task)

    def measure_timely_work(
        self, horizons: tuple[float, ...], now: float
    ) -> list[float]:
        """Tell the core-seconds of work that must start within each horizon.

        Work that is late already is left out: it lets others pass.
        """
        totals = [0.0] * len(horizons)
        for rank, _, task in self._timely:
            if rank < now or task.state is not TaskState.WAITING:
                continue
            for position, horizon in enumerate(horizons):
                if rank - now <= horizon:
                    totals[position] += task.core_seconds
        return totals
