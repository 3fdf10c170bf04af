"""The order of waiting tasks."""

from godwitbank._internal.core.queue import ServiceQueue
from godwitbank._internal.core.work import Job, Task, TaskState
from godwitbank._internal.models.tasks import Submission, TaskSpec


def _make_job(name: str, kind: str, count: int, rank: float) -> Job:
    tasks = tuple(TaskSpec(kind, b"") for _ in range(count))
    return Job(Submission(name, "desk", tasks, 100.0), 0.0, rank)


def _queue(*jobs: Job, weights: dict[str, float] | None = None) -> ServiceQueue:
    queue = ServiceQueue()
    for kind in ("short", "long"):
        mean = 0.1 if kind == "short" else 1.0
        queue.set_class(kind, (weights or {}).get(kind, 1.0), mean)
    for job in jobs:
        for task in job.tasks:
            queue.add(task)
    return queue


def _take(queue: ServiceQueue, count: int) -> list[Task]:
    taken = [queue.pop() for _ in range(count)]
    return [task for task in taken if task is not None]


def test_small_jobs_pass_large_ones_by_rank() -> None:
    queue = _queue(
        _make_job("large", "short", 5, 9.0), _make_job("small", "short", 2, 3.0)
    )
    order = [task.job.submission for task in _take(queue, 7)]
    assert order == ["small"] * 2 + ["large"] * 5


def test_short_work_is_not_held_up_by_long_work() -> None:
    """Size changes wait behind billing.

    Symptom: requests of 100 ms take seconds while slots turn over.
    Sequence: many long tasks wait; short ones arrive later.
    Cause: one queue for all classes.
    """
    queue = _queue(_make_job("billing", "long", 50, 0.0))
    _take(queue, 20)
    short = _make_job("size", "short", 10, 99.0)
    for task in short.tasks:
        queue.add(task)
    kinds = [task.spec.class_name for task in _take(queue, 12)]
    # One long task holds a slot as long as ten short ones: equal weights.
    assert kinds.count("short") >= 10


def test_weights_divide_slot_time() -> None:
    queue = _queue(
        _make_job("a", "short", 2000, 0.0),
        _make_job("b", "long", 2000, 0.0),
        weights={"short": 3.0, "long": 1.0},
    )
    taken = _take(queue, 620)
    seconds = {"short": 0.0, "long": 0.0}
    for task in taken:
        seconds[task.spec.class_name] += 0.1 if task.spec.class_name == "short" else 1
    assert 2.7 < seconds["short"] / seconds["long"] < 3.3


def test_dropped_and_returned_tasks_are_counted() -> None:
    job = _make_job("a", "short", 4, 1.0)
    queue = _queue(job)
    first = queue.pop()
    assert first is not None
    job.tasks[2].state = TaskState.DROPPED
    queue.drop(job.tasks[2])
    queue.add(first, front=True)
    assert queue.waiting == 3
    assert [task.index for task in _take(queue, 5)] == [0, 1, 3]
    assert queue.waiting == 0
    assert queue.pop() is None
