"""Waiting tasks of one service: fair between classes, by rank within each.

Between classes, start-time fair queueing (Goyal et al., SIGCOMM 1996): each
class has a virtual time that advances by run time over weight as its tasks are
taken, and the class with the lowest virtual time goes first. Within a class,
jobs are ordered by rank: arrival time plus a multiple of the response time the
job would have on an idle system. A small job overtakes a large one, but as ranks
grow with time the large one isn't starved.
"""

import heapq
from collections import deque
from typing import NamedTuple

from godwitbank._internal.core.work import Job, Task, TaskState


class BatchKey(NamedTuple):
    """Identifies the tasks of one class in one job."""

    submission: str
    class_name: str


class JobBatch:
    """Waiting tasks of one job in one class."""

    __slots__ = ("rank", "sequence", "tasks", "live", "queued")

    def __init__(self, rank: float, sequence: int) -> None:
        self.rank = rank
        self.sequence = sequence
        self.tasks: deque[Task] = deque()
        self.live = 0
        self.queued = False

    def __lt__(self, other: "JobBatch") -> bool:
        return (self.rank, self.sequence) < (other.rank, other.sequence)


class ClassQueue:
    """Waiting tasks of one class."""

    __slots__ = ("weight", "mean", "virtual_time", "waiting", "_heap", "_batches")

    def __init__(self, weight: float, mean: float) -> None:
        self.weight = weight
        self.mean = mean
        self.virtual_time = 0.0
        self.waiting = 0
        self._heap: list[JobBatch] = []
        self._batches: dict[str, JobBatch] = {}

    def add(self, task: Task, sequence: int, front: bool) -> None:
        """Queue a task.

        :param sequence: order among jobs of equal rank.
        :param front: whether the task goes before the rest of its job, as one
            that an agent refused does.
        """
        job: Job = task.job
        batch = self._batches.get(job.submission)
        if batch is None:
            batch = self._batches[job.submission] = JobBatch(job.rank, sequence)
        if front:
            batch.tasks.appendleft(task)
        else:
            batch.tasks.append(task)
        batch.live += 1
        self.waiting += 1
        if not batch.queued:
            batch.queued = True
            heapq.heappush(self._heap, batch)

    def peek(self) -> Task | None:
        """Return the next task without removing it."""
        while self._heap:
            batch = self._heap[0]
            while batch.tasks and batch.tasks[0].state is not TaskState.WAITING:
                batch.tasks.popleft()
            if batch.tasks:
                return batch.tasks[0]
            heapq.heappop(self._heap)
            batch.queued = False
        return None

    def pop(self, task: Task) -> None:
        """Remove the task that ``peek`` returned."""
        batch = self._heap[0]
        batch.tasks.popleft()
        self._decrement_counts(task)

    def drop(self, task: Task) -> None:
        """Uncount a task that is no longer ``WAITING``; ``peek`` skips it."""
        self._decrement_counts(task)

    def _decrement_counts(self, task: Task) -> None:
        submission = task.job.submission
        batch = self._batches[submission]
        batch.live -= 1
        self.waiting -= 1
        if batch.live == 0:
            del self._batches[submission]

    def count_ahead(self, rank: float) -> int:
        """Count the waiting tasks of this rank or a lower one."""
        return sum(batch.live for batch in self._batches.values() if batch.rank <= rank)


class ServiceQueue:
    """Waiting tasks of one service, in all its classes."""

    def __init__(self) -> None:
        self._classes: dict[str, ClassQueue] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self.waiting = 0

    def set_class(self, name: str, weight: float, mean: float) -> None:
        """Add a class, or update its weight and its mean run time in seconds."""
        queue = self._classes.get(name)
        if queue is None:
            self._classes[name] = ClassQueue(weight, mean)
            return
        queue.weight = weight
        queue.mean = mean

    def set_mean(self, name: str, mean: float) -> None:
        """Update the mean run time of a class, in seconds."""
        queue = self._classes.get(name)
        if queue is not None:
            queue.mean = mean

    def count(self, name: str) -> int:
        """Count a class's waiting tasks."""
        return self._classes[name].waiting

    def add(self, task: Task, front: bool = False) -> None:
        """Queue a task, at the front of its job if an agent refused it."""
        task.state = TaskState.WAITING
        queue = self._classes[task.spec.class_name]
        if queue.waiting == 0:
            # A class that was idle must not accumulate credit for that time.
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        self._sequence += 1
        queue.add(task, self._sequence, front)
        self.waiting += 1

    def peek(self) -> Task | None:
        """Return the next task without removing it."""
        queue = self._choose()
        return queue.peek() if queue else None

    def pop(self) -> Task | None:
        """Remove and return the next task."""
        queue = self._choose()
        if queue is None:
            return None
        task = queue.peek()
        if task is None:
            return None
        queue.pop(task)
        self.waiting -= 1
        self._virtual_time = queue.virtual_time
        queue.virtual_time += queue.mean / queue.weight
        return task

    def drop(self, task: Task) -> None:
        """Remove a task without running it; its state must not be ``WAITING``."""
        self._classes[task.spec.class_name].drop(task)
        self.waiting -= 1

    def measure_backlog(self) -> float:
        """Measure the waiting work, in seconds of mean run time."""
        return sum(queue.waiting * queue.mean for queue in self._classes.values())

    def measure_ahead(self, rank: float) -> float:
        """Measure the waiting work up to a rank, in seconds of mean run time."""
        return sum(
            queue.count_ahead(rank) * queue.mean for queue in self._classes.values()
        )

    def find_rank(self) -> float | None:
        """Return the rank of the next task, or ``None`` if no task waits."""
        task = self.peek()
        return task.job.rank if task else None

    def _choose(self) -> ClassQueue | None:
        best: ClassQueue | None = None
        for queue in self._classes.values():
            if queue.waiting and (
                best is None or queue.virtual_time < best.virtual_time
            ):
                best = queue
        return best
