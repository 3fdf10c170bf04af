"""Tasks that wait for a place, by the time they should start at the latest."""

import heapq

from godwitbank._internal.core.runs.work import Task, TaskState


class WaitingTasks:
    """Waiting tasks of one service."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Task]] = []
        self._sequence = 0
        self.work = 0.0
        self.count = 0

    def add(self, task: Task) -> None:
        """Queue a task."""
        task.state = TaskState.WAITING
        self._sequence += 1
        heapq.heappush(self._heap, (task.job.rank, self._sequence, task))
        self.work += task.work
        self.count += 1

    def drop(self, task: Task) -> None:
        """Count out a task that no longer waits; its entry is skipped later."""
        self.work -= task.work
        self.count -= 1

    def take(self, limit: int) -> list[Task]:
        """Take the first tasks; those not placed go back by ``put_back``."""
        taken: list[Task] = []
        while self._heap and len(taken) < limit:
            task = heapq.heappop(self._heap)[2]
            if task.state is TaskState.WAITING:
                taken.append(task)
        return taken

    def put_back(self, tasks: list[Task]) -> None:
        """Return tasks that found no place."""
        for task in tasks:
            self._sequence += 1
            heapq.heappush(self._heap, (task.job.rank, self._sequence, task))

    def measure_ahead(self, rank: float) -> float:
        """Tell the core-seconds of waiting work that goes before a rank."""
        return sum(
            task.work
            for at, _, task in self._heap
            if at <= rank and task.state is TaskState.WAITING
        )
