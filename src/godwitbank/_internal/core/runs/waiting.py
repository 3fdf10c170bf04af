"""Priority queue of the tasks that wait for an agent.

Tasks are ordered by the turn of their queue (``shares``), and within one turn by rank,
the latest time at which they should start. Earliest first is the best order while all
tasks can be served in time. Under overload it is the worst: tasks that are already late
go first and make the next ones late, until every job is late. Therefore tasks whose
rank has passed go behind all others of their turn.
"""

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from godwitbank._internal.core.runs.jobs import Task, TaskState
from godwitbank._internal.core.runs.queue_loads import QueueLoads
from godwitbank._internal.core.runs.returning import compute_head_start
from godwitbank._internal.core.runs.shares import QueueShares, Turn
from godwitbank._internal.models.jobs import QueueRules


class QueuedTask(NamedTuple):
    """A task in the queue.

    :param place: its rank, less the head start of a caller that was refused before.
    :param sequence: keeps tasks of equal place in order.
    """

    place: float
    sequence: int
    task: Task


class NextTask(NamedTuple):
    """The task that goes next in one queue; among queues of one turn the smallest."""

    late: bool
    queued: QueuedTask


class QueueLane:
    """The waiting tasks of one queue.

    :param late_last: whether late tasks go behind all others.
    :ivar timely: heap of the tasks that weren't late when they were last looked at.
    """

    def __init__(self, late_last: bool) -> None:
        self._late_last = late_last
        self.timely: list[QueuedTask] = []
        self._late: list[QueuedTask] = []

    def push(self, queued: QueuedTask) -> None:
        """Queue a task."""
        heapq.heappush(self.timely, queued)

    def peek(self, now: float) -> NextTask | None:
        """Return the next task, or ``None`` if none waits."""
        while self.timely:
            queued = self.timely[0]
            waits = queued.task.state is TaskState.WAITING
            if waits and (queued.task.job.rank >= now or not self._late_last):
                return NextTask(False, queued)
            heapq.heappop(self.timely)
            if waits:
                heapq.heappush(self._late, queued)
        while self._late:
            if self._late[0].task.state is TaskState.WAITING:
                return NextTask(True, self._late[0])
            heapq.heappop(self._late)
        return None

    def remove(self, next_task: NextTask) -> None:
        """Remove the task that was just looked at."""
        heapq.heappop(self._late if next_task.late else self.timely)


def _pop_from(lanes: list[QueueLane], now: float) -> Task | None:
    """Remove and return the next task of queues that have the same turn."""
    best_lane: QueueLane | None = None
    best: NextTask | None = None
    for lane in lanes:
        next_task = lane.peek(now)
        if next_task is not None and (best is None or next_task < best):
            best_lane, best = lane, next_task
    if best_lane is None or best is None:
        return None
    best_lane.remove(best)
    return best.queued.task


class WaitingTasks:
    """The waiting tasks of one service.

    :param late_last: whether late tasks go behind all others of their turn.
    :param shares: decides on the turns of the queues.
    :ivar count: number of tasks that wait.
    """

    def __init__(
        self,
        late_last: bool = True,
        shares: QueueShares | None = None,
    ) -> None:
        self._late_last = late_last
        self._shares = QueueShares(QueueLoads()) if shares is None else shares
        self._lanes: dict[QueueRules, QueueLane] = {}
        self._by_turn: list[list[QueueLane]] = []
        self._by_turn_version = -1
        self._sequence = 0
        self.count = 0

    def add(self, task: Task) -> None:
        """Queue a task."""
        task.state = TaskState.WAITING
        self.count += 1
        self._push(task)

    def _push(self, task: Task) -> None:
        self._sequence += 1
        lane = self._lanes.get(task.job.queue)
        if lane is None:
            lane = self._lanes[task.job.queue] = QueueLane(self._late_last)
            self._by_turn_version = -1
        place = task.job.rank - compute_head_start(task.job)
        lane.push(QueuedTask(place, self._sequence, task))

    def mark_removed(self) -> None:
        """Decrement the count for a task that no longer waits.

        ``pop`` skips the task if it is still queued.
        """
        self.count -= 1

    def pop(self, now: float, skipped_turns: int = 0) -> Task | None:
        """Remove and return the next task, or ``None`` if none waits.

        :param skipped_turns: number of turns, from the first one, to leave out.

        A task that finds no agent must be returned by ``put_back``. One that is placed
        must be counted out by ``mark_removed``.
        """
        if self._by_turn_version != self._shares.version:
            self._group_by_turn(now)
        for lanes in self._by_turn[skipped_turns:]:
            task = _pop_from(lanes, now)
            if task is not None:
                return task
        return None

    def _group_by_turn(self, now: float) -> None:
        """Group the queues by their turns, and drop those without a task."""
        by_turn: dict[Turn, list[QueueLane]] = {}
        for queue, lane in list(self._lanes.items()):
            if lane.peek(now) is None:
                del self._lanes[queue]
            else:
                by_turn.setdefault(self._shares.find_turn(queue), []).append(lane)
        self._by_turn = [by_turn[turn] for turn in sorted(by_turn)]
        self._by_turn_version = self._shares.version

    def put_back(self, tasks: list[Task]) -> None:
        """Queue tasks again that were popped but found no agent."""
        for task in tasks:
            self._push(task)

    def _list_timely(self, now: float) -> Iterator[Task]:
        """List the tasks that wait and aren't late."""
        for lane in self._lanes.values():
            for queued in lane.timely:
                task = queued.task
                if task.job.rank >= now and task.state is TaskState.WAITING:
                    yield task

    def measure_timely_work(
        self, horizons: tuple[float, ...], now: float
    ) -> list[float]:
        """Return the core-seconds that must start within each horizon.

        Late tasks are left out, because all others of their turn go before them.

        :param horizons: seconds from now.
        """
        totals = [0.0] * len(horizons)
        for work in self.measure_timely_work_by_queue(horizons, now).values():
            totals = [sum(pair) for pair in zip(totals, work, strict=True)]
        return totals

    def measure_timely_work_by_queue(
        self, horizons: tuple[float, ...], now: float
    ) -> dict[str, list[float]]:
        """Return the same for each queue that has tasks waiting, by its name."""
        by_queue: dict[str, list[float]] = {}
        for task in self._list_timely(now):
            name = task.job.queue.name
            totals = by_queue.setdefault(name, [0.0] * len(horizons))
            for position, horizon in enumerate(horizons):
                if task.job.rank - now <= horizon:
                    totals[position] += task.core_seconds
        return by_queue
