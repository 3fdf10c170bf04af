"""Which jobs are taken when not all can be served."""

from godwitbank._internal.core.runs.admission import MAX_DRAIN_SECONDS, Admission
from godwitbank._internal.core.runs.jobs import Job
from tests.lib.runs_world import QUEUE, make_job

NOW = 100.0
CORES = 100.0
MANY_TASKS = 10
"""Tasks that wait at the entry; so many that the bound counts."""


def make(width: int) -> Job:
    job = Job(make_job("j1", width=width), QUEUE, 1, NOW, 10.0)
    job.create_tasks([0.4])
    return job


def judge(admission: Admission, width: int, waits: float) -> str | None:
    """Judge a job while ``waits`` seconds of work wait for all endpoints."""
    own = [waits * CORES] * 6
    return admission.find_refusal(make(width), own, MANY_TASKS, CORES, NOW)


def test_nothing_is_refused_while_little_waits() -> None:
    admission = Admission()
    for width in (1, 4, 16):
        assert judge(admission, width, 0.2 * MAX_DRAIN_SECONDS) is None


def test_large_jobs_are_refused_before_small_ones_of_their_queue() -> None:
    # Symptom: under overload fewer callers are served than the room allows.
    # Sequence: more comes than can be served; large jobs are taken like small ones,
    # and the room of one would have served several. Cause: size didn't count.
    admission = Admission()
    for _ in range(100):
        judge(admission, 4, 0.0)
    waits = MAX_DRAIN_SECONDS
    assert judge(admission, 1, 1.5 * waits) is None
    assert judge(admission, 4, 0.9 * waits) is None
    assert judge(admission, 16, 0.9 * waits) == "overload"


def test_the_largest_job_of_a_queue_is_still_taken_when_little_waits() -> None:
    # Symptom: the largest jobs of a queue are never served. Cause: the bound shrank
    # with size without limit. A job of nine times the mean still gets a third of it.
    admission = Admission()
    for _ in range(100):
        judge(admission, 4, 0.0)
    assert judge(admission, 36, 0.3 * MAX_DRAIN_SECONDS) is None
