"""A job submitted to two entries at almost the same time, with real processes."""

from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from soak.records import group_by_task, read_runs
from standins.platform_fleet import PlatformFleet

pytestmark = pytest.mark.processes

JOBS = 60
RUN_SECONDS = 0.2


def submit(platform: PlatformFleet, entry: str, job: str) -> int:
    """Submit a job, and return the HTTP status of the answer."""
    return platform.submit(entry, job, seconds=RUN_SECONDS).status_code


def test_a_job_at_two_entries_runs_once_and_both_are_answered(
    platform: PlatformFleet,
) -> None:
    """Guards against a task that runs at two endpoints and against a lost answer."""
    platform.start(entries=2, agents=4)
    answers: list[tuple[Future[int], Future[int]]] = []
    with ThreadPoolExecutor(max_workers=8) as pool:
        for number in range(JOBS):
            job = f"{number:016x}"
            first = pool.submit(submit, platform, "entry-0", job)
            second = pool.submit(submit, platform, "entry-1", job)
            answers.append((first, second))
    statuses = [(first.result(), second.result()) for first, second in answers]
    assert statuses == [(200, 200)] * JOBS
    platform.stop()
    for task, runs in group_by_task(read_runs(platform.folder)).items():
        assert len(runs) == 1, (task, runs)
