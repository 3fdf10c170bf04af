"""A leaving endpoint gets no new work; what runs there finishes."""

import httpx
import pytest
from standins.fleet import Fleet, Running, wait_for

from tests.lib.fleet_helpers import (
    base_url,
    count_starts,
    make_job,
    read_counter,
    run_in_background,
    send_job,
    send_request,
    start_desk,
    wait_for_running,
)

pytestmark = pytest.mark.processes


TASKS = 32
"""Twice as many as the two endpoints run at once, so that work is waiting."""

RUN_MS = 3000
"""Run time of a task. That all slots are taken must last long enough to be seen from
outside, and the agent that leaves must live until it has been asked twice: with 1500 ms
it had ended, as it should, before the second question, once beside busy processes."""


def _leave(fleet: Fleet, way: str) -> None:
    if way == "agent":
        fleet.agents[0].stop()
    else:
        drained = fleet.operate("drain", fleet.agents[0].name)
        assert drained.returncode == 0, drained.stdout + drained.stderr


def _count_starts_once_leaving(fleet: Fleet) -> float:
    url = f"{base_url(fleet.agents[0])}/v1/endpoint"
    wait_for(lambda: httpx.get(url).json()["leaving"], "the agent to leave")
    return read_counter(fleet.agents[0], "starts")


def _count_finished(fleet: Fleet, endpoint: Running) -> int:
    written = fleet.record(endpoint)
    assert written["running"] == 0
    return written["finished"]


@pytest.mark.parametrize("way", ["agent", "operator"])
def test_leaving_takes_nothing_new_and_cuts_nothing(fleet: Fleet, way: str) -> None:
    """An agent is stopped, or drained by an operator, in the middle of a job.

    Symptom: a request is cut, or work still starts there.
    Sequence: tasks run at both endpoints, one of them leaves.
    Cause: leaving known at the entry only, or an exit before the answers.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(send_job, fleet.entries[0], make_job(TASKS, run_ms=RUN_MS))
    wait_for_running(fleet, 16)
    leaving = run_in_background(_leave, fleet, way)
    before = _count_starts_once_leaving(fleet)
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    after = len(fleet.record(fleet.endpoints[0])["tasks"])
    assert after == before
    leaving.result(timeout=30)
    assert _count_finished(fleet, fleet.endpoints[0]) == after
    if way == "agent":
        assert fleet.agents[0].process.wait(20) == 0


def test_endpoint_leaves_by_its_own_word(fleet: Fleet) -> None:
    """An endpoint says that it leaves, and waits until nothing runs.

    Symptom: its exit cuts requests.
    Sequence: SIGTERM to the endpoint while tasks run; it tells its agent.
    Cause: an agent that goes on starting tasks, or doesn't say what runs.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(send_job, fleet.entries[0], make_job(TASKS, run_ms=RUN_MS))
    wait_for_running(fleet, 16)
    fleet.endpoints[0].stop()
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    assert fleet.endpoints[0].process.wait(20) == 0


def test_entry_that_never_hears_can_start_nothing(fleet: Fleet) -> None:
    """An endpoint leaves while an entry is cut off from its agent.

    Symptom: the entry that never heard starts work on a leaving endpoint.
    Sequence: the stream towards the entry falls silent, the endpoint leaves, the
    entry, which believes it open, sends a start that arrives.
    Cause: leaving enforced where it is believed instead of where tasks start.
    """
    start_desk(fleet, agents=1, proxied=True)
    assert send_request(fleet.entries[0], {"run_ms": 1}).is_success
    fleet.control(fleet.advertised(fleet.agents[0]), freeze="to_client")
    left = httpx.delete(f"{base_url(fleet.agents[0])}/v1/endpoint")
    assert left.json()["leaving"]
    refused = send_request(fleet.entries[0], {"run_ms": 1})
    assert refused.status_code == 503, refused.text
    assert refused.json()["ran"] == "not_run"
    assert read_counter(fleet.agents[0], "starts_refused", "leaving") == 1
    assert len(count_starts(fleet)) == 1


def test_vanished_endpoint_lapses(fleet: Fleet) -> None:
    """An endpoint vanishes without a word.

    Symptom: work is sent to it until somebody notices.
    Sequence: the endpoint is killed; its renewals stop; its lease lapses.
    Cause: an announcement that never expires.
    """
    start_desk(fleet, agents=2)
    fleet.endpoints[0].kill()
    wait_for(
        lambda: (
            sum(each["service"] == "desk" for each in fleet.status()["agents"]) == 1
        ),
        "the endpoint to lapse",
        10,
    )
    answer = send_job(fleet.entries[0], make_job(30, run_ms=10))
    assert answer.status_code == 200, answer.text
