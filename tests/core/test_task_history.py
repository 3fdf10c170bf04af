"""What an agent remembers, and what it says of what it has forgotten."""

from godwitbank._internal.core.events import RunEnded
from godwitbank._internal.core.task_history import MAX_REQUEST_BYTES, TaskHistory
from godwitbank._internal.models.messages import Ending, Verdict
from godwitbank._internal.models.tasks import TaskKey


def _end(key: TaskKey, body: bytes = b"{}") -> RunEnded:
    return RunEnded(key, Ending.ANSWERED, 200, "application/json", body, 0.1)


def test_forgotten_starts_are_unknown_never_fenced() -> None:
    """An entry asks about a start so old that its record is gone.

    Symptom: a task that ran is declared never started, and runs again.
    Sequence: the task starts and ends, its record is dropped, the question comes.
    Cause: no record taken for "never started".
    """
    memory = TaskHistory(retention=10)
    key = TaskKey("s", 0, 1)
    memory.record_start(key, 5.0, "entry", "", 1.0)
    memory.record_end(_end(key), "")
    memory.expire(20.0)
    assert len(memory) == 0
    assert memory.resolve(key, 5.0, "entry") is Verdict.UNKNOWN
    assert memory.resolve(TaskKey("t", 0, 1), 9.0, "entry") is Verdict.FENCED


def test_running_tasks_are_never_forgotten() -> None:
    memory = TaskHistory(retention=1, max_records=2)
    keys = [TaskKey("s", number, 1) for number in range(5)]
    for key in keys:
        memory.record_start(key, 1.0, "entry", "", 1.0)
    memory.expire(1000.0)
    assert all(memory.resolve(key, 1.0, "e") is Verdict.RUNNING for key in keys)


def test_a_fence_holds_for_its_attempt_only() -> None:
    memory = TaskHistory()
    first = TaskKey("s", 0, 1)
    assert memory.resolve(first, 5.0, "entry") is Verdict.FENCED
    assert memory.is_fenced(first)
    assert not memory.is_fenced(TaskKey("s", 0, 2))


def test_answers_to_be_asked_for_again_are_bounded_in_bytes() -> None:
    memory = TaskHistory()
    body = b"x" * (MAX_REQUEST_BYTES // 8)
    for number in range(20):
        key = TaskKey(f"s{number}", 0, 1)
        memory.record_start(key, 1.0, "entry", f"r{number}", 1.0)
        memory.record_end(_end(key, body), f"r{number}")
        memory.expire(2.0)
    kept = [n for n in range(20) if memory.has_request(f"r{n}")]
    assert kept == list(range(12, 20))
