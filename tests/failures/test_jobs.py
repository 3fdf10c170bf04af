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


def test_killed_endpoint_fails_the_job(fleet: Fleet) -> None:
    """Kill an endpoint that runs tasks of a job.

    Started tasks can't be started again, so the job must fail promptly: no partial
    answer, and no wait until the deadline.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(send_job, fleet.entries[0], make_job(60, run_ms=1000))
    wait_for_running(fleet, 16)
    fleet.endpoints[0].kill()
    _assert_failed(job.result(timeout=10), "endpoint_failed")


@pytest.mark.parametrize("fault", ["short", "fail"])
def test_one_failed_task_fails_the_job_at_once(fleet: Fleet, fault: str) -> None:
    """Let the first task of a long job fail while others still wait.

    The endpoint truncates the task's answer or answers with an error. If a truncated
    answer counted as complete, or failures were noticed only at the end of the job, the
    caller would receive the other answers or wait for them in vain.
    """
    start_desk(fleet, agents=1)
    job = make_job(100, run_ms=500)
    job["tasks"][0]["payload"] = {"run_ms": 10, fault: True}
    started_at = time.monotonic()
    answer = send_job(fleet.entries[0], job)
    elapsed_seconds = time.monotonic() - started_at
    _assert_failed(answer, "endpoint_failed")
    assert answer.json()["task"] == "t0"
    # All hundred tasks would take 6 s; the job must fail without waiting for them.
    assert elapsed_seconds < 5
    started = len(count_starts(fleet))
    assert started <= 16
    status = fleet.read_status()
    assert status["jobs"] == 0
    assert status["services"][0]["waiting"] == 0


def test_jobs_of_disconnected_callers_are_cancelled(fleet: Fleet) -> None:
    """Disconnect forty callers whose jobs wait for slots.

    If the entry didn't notice the closed connections, or cancelled the jobs one by one
    at full cost, endpoints would run tasks that no caller waits for.
    """
    start_desk(fleet, agents=1, slots=4)
    url = f"{base_url(fleet.entries[0])}/v1/services/desk/jobs"

    def disconnect() -> None:
        with pytest.raises(httpx.TimeoutException):
            httpx.post(url, json=make_job(4, run_ms=8000), timeout=1.0)

    callers = [run_in_background(disconnect) for _ in range(40)]
    for caller in callers:
        caller.result(timeout=20)
    wait_for(lambda: fleet.read_status()["jobs"] == 0, "the jobs to be dropped", 10)
    entry = fleet.entries[0]
    assert read_counter(entry, "submissions_failed", "cancelled") == 40
    # The run time ensures that no slot becomes free before the last caller has
    # disconnected, even on a slow machine.
    assert len(count_starts(fleet)) <= 4
    endpoint = fleet.endpoints[0]
    wait_for(lambda: fleet.read_record(endpoint)["running"] == 0, "the runs to end", 20)
    assert len(count_starts(fleet)) <= 4
    assert send_job(entry, make_job(4, run_ms=5)).status_code == 200
