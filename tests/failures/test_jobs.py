"""A job's answer is either complete or failed, never partial."""

import time

import httpx
import pytest
from standins.fleet import Fleet, wait_for

from tests.lib.fleet_helpers import (
    base_url,
    count_starts,
    make_job,
    read_counter,
    run_in_background,
    send_job,
    start_desk,
    wait_for_running,
)

pytestmark = pytest.mark.processes


def _assert_failed(answer: httpx.Response, kind: str) -> None:
    assert answer.headers["Content-Type"] == "application/problem+json"
    problem = answer.json()
    assert problem["type"] == f"urn:godwitbank:problem:{kind}"
    assert problem["ran"] == "may_have_run"
    assert "answers" not in problem


def test_endpoint_that_dies_fails_the_job(fleet: Fleet) -> None:
    """An endpoint dies in the middle of a job.

    Symptom: a partial answer, or none until the deadline.
    Sequence: tasks of a job run at an endpoint that is killed.
    Cause: a started task can't be started again.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(send_job, fleet.entries[0], make_job(60, run_ms=1000))
    wait_for_running(fleet, 16)
    fleet.endpoints[0].kill()
    _assert_failed(job.result(timeout=10), "endpoint_failed")


@pytest.mark.parametrize("fault", ["short", "fail"])
def test_one_bad_task_fails_the_job_at_once(fleet: Fleet, fault: str) -> None:
    """One task's answer is cut short, or refused by the endpoint.

    Symptom: the caller gets the other answers, or waits for them in vain.
    Sequence: the first task of a long job ends badly; the rest still wait.
    Cause: a short read taken for an answer; a failure noticed at the end only.
    """
    start_desk(fleet, agents=1)
    job = make_job(100, run_ms=500)
    job["tasks"][0]["payload"] = {"run_ms": 10, fault: True}
    began = time.monotonic()
    answer = send_job(fleet.entries[0], job)
    took = time.monotonic() - began
    _assert_failed(answer, "endpoint_failed")
    assert answer.json()["task"] == "t0"
    # All hundred tasks would take 6 s; the job must not have waited for them.
    assert took < 5
    started = len(count_starts(fleet))
    assert started <= 16
    status = fleet.status()
    assert status["jobs"] == 0
    assert status["services"][0]["waiting"] == 0


def test_callers_that_hang_up_leave_no_work_behind(fleet: Fleet) -> None:
    """A wave of callers hangs up.

    Symptom: endpoints run work that nobody waits for.
    Sequence: forty jobs wait for slots, every caller closes its connection.
    Cause: the entry doesn't notice, or cancels one by one at full cost.
    """
    start_desk(fleet, agents=1, slots=4)
    url = f"{base_url(fleet.entries[0])}/v1/services/desk/jobs"

    def hang_up() -> None:
        with pytest.raises(httpx.TimeoutException):
            httpx.post(url, json=make_job(4, run_ms=8000), timeout=1.0)

    callers = [run_in_background(hang_up) for _ in range(40)]
    for caller in callers:
        caller.result(timeout=20)
    wait_for(lambda: fleet.status()["jobs"] == 0, "the jobs to be dropped", 10)
    entry = fleet.entries[0]
    assert read_counter(entry, "submissions_failed", "cancelled") == 40
    # No slot frees before the last caller is gone, however slow the machine is.
    assert len(count_starts(fleet)) <= 4
    endpoint = fleet.endpoints[0]
    wait_for(lambda: fleet.record(endpoint)["running"] == 0, "the runs to end", 20)
    assert len(count_starts(fleet)) <= 4
    assert send_job(entry, make_job(4, run_ms=5)).status_code == 200
