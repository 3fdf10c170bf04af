"""Tests of an agent's task records, and of its answers about dropped ones."""

from godwitbank._internal.core.events import RunEnded
from godwitbank._internal.core.task_history import MAX_REQUEST_BYTES, TaskHistory
from godwitbank._internal.models.messages import Ending, Verdict
from godwitbank._internal.models.tasks import TaskKey


def _end(key: TaskKey, body: bytes = b"{}") -> RunEnded:
    return RunEnded(key, Ending.ANSWERED, 200, "application/json", body, 0.1)


def test_starts_with_dropped_records_are_unknown_not_fenced() -> None:
    """Guards against a task that runs twice because its record was dropped.

    A task starts and ends, its record is dropped, and then the entry queries the
    start. If a missing record is taken for "never started", the entry requeues it.
    """
    history = TaskHistory(retention=10)
    key = TaskKey("s", 0, 1)
    history.record_start(key, 5.0, "entry", "", 1.0)
    history.record_end(_end(key), "")
    history.expire(20.0)
    assert len(history) == 0
    assert history.resolve(key, 5.0, "entry") is Verdict.UNKNOWN
    assert history.resolve(TaskKey("t", 0, 1), 9.0, "entry") is Verdict.FENCED


def test_records_of_running_tasks_are_never_dropped() -> None:
    history = TaskHistory(retention=1, max_records=2)
    keys = [TaskKey("s", number, 1) for number in range(5)]
    for key in keys:
        history.record_start(key, 1.0, "entry", "", 1.0)
    history.expire(1000.0)
    assert all(history.resolve(key, 1.0, "e") is Verdict.RUNNING for key in keys)


def test_a_fence_applies_to_its_attempt_only() -> None:
    history = TaskHistory()
    first = TaskKey("s", 0, 1)
    assert history.resolve(first, 5.0, "entry") is Verdict.FENCED
    assert history.is_fenced(first)
    assert not history.is_fenced(TaskKey("s", 0, 2))


def test_results_kept_for_recall_are_limited_in_bytes() -> None:
    history = TaskHistory()
    body = b"x" * (MAX_REQUEST_BYTES // 8)
    for number in range(20):
        key = TaskKey(f"s{number}", 0, 1)
        history.record_start(key, 1.0, "entry", f"r{number}", 1.0)
        history.record_end(_end(key, body), f"r{number}")
        history.expire(2.0)
    kept = [n for n in range(20) if history.has_request(f"r{n}")]
    assert kept == list(range(12, 20))
