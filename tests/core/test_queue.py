"""Tests of the order of waiting tasks."""

from godwitbank._internal.core.queue import ServiceQueue
from godwitbank._internal.core.work import Job, Task, TaskState
from godwitbank._internal.models.tasks import Submission, TaskSpec


def _make_job(name: str, class_name: str, count: int, rank: float) -> Job:
    tasks = tuple(TaskSpec(class_name, b"") for _ in range(count))
    return Job(Submission(name, "desk", tasks, 100.0), 0.0, rank)


def _make_queue(*jobs: Job, weights: dict[str, float] | None = None) -> ServiceQueue:
    queue = ServiceQueue()
    for class_name in ("short", "long"):
        mean = 0.1 if class_name == "short" else 1.0
        queue.set_class(class_name, (weights or {}).get(class_name, 1.0), mean)
    for job in jobs:
        for task in job.tasks:
            queue.add(task)
    return queue


def _pop_tasks(queue: ServiceQueue, count: int) -> list[Task]:
    popped = [queue.pop() for _ in range(count)]
    return [task for task in popped if task is not None]


def test_small_jobs_overtake_large_ones_by_rank() -> None:
    queue = _make_queue(
        _make_job("large", "short", 5, 9.0), _make_job("small", "short", 2, 3.0)
    )
    order = [task.job.submission for task in _pop_tasks(queue, 7)]
    assert order == ["small"] * 2 + ["large"] * 5


def test_short_tasks_are_not_delayed_by_long_ones() -> None:
    """Guards against tasks of 100 ms that wait for seconds although slots become free.

    With one queue for all classes, short tasks wait for all long tasks, such as
    those of billing, that arrived before them.
    """
    queue = _make_queue(_make_job("billing", "long", 50, 0.0))
    _pop_tasks(queue, 20)
    short = _make_job("size", "short", 10, 99.0)
    for task in short.tasks:
        queue.add(task)
    class_names = [task.spec.class_name for task in _pop_tasks(queue, 12)]
    # The weights are equal, and a long task takes a slot as long as ten short ones.
    assert class_names.count("short") >= 10


def test_slot_time_is_divided_by_weight() -> None:
    queue = _make_queue(
        _make_job("a", "short", 2000, 0.0),
        _make_job("b", "long", 2000, 0.0),
        weights={"short": 3.0, "long": 1.0},
    )
    popped = _pop_tasks(queue, 620)
    seconds = {"short": 0.0, "long": 0.0}
    for task in popped:
        seconds[task.spec.class_name] += 0.1 if task.spec.class_name == "short" else 1
    assert 2.7 < seconds["short"] / seconds["long"] < 3.3


def test_dropped_and_returned_tasks_are_counted() -> None:
    job = _make_job("a", "short", 4, 1.0)
    queue = _make_queue(job)
    first = queue.pop()
    assert first is not None
    job.tasks[2].state = TaskState.DROPPED
    queue.drop(job.tasks[2])
    queue.add(first, front=True)
    assert queue.waiting == 3
    assert [task.index for task in _pop_tasks(queue, 5)] == [0, 1, 3]
    assert queue.waiting == 0
    assert queue.pop() is None
