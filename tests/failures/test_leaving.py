"""A leaving endpoint starts no new tasks and completes the running ones."""

import httpx
import pytest
from standins.fleet import Fleet, ManagedProcess, wait_for

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


TASK_COUNT = 32
"""Twice as many as the two endpoints run at once, so that tasks are waiting."""

RUN_MS = 3000
"""Run time of a task, in milliseconds.

All slots must stay in use long enough to be observed, and the leaving agent must stay
alive until the test has queried it twice. With 1500 ms, beside busy processes, the
agent could exit, correctly, before the second query.
"""


def _stop_or_drain(fleet: Fleet, initiator: str) -> None:
    if initiator == "agent":
        fleet.agents[0].stop()
    else:
        drained = fleet.run_operator_command("drain", fleet.agents[0].name)
        assert drained.returncode == 0, drained.stdout + drained.stderr


def _count_starts_once_leaving(fleet: Fleet) -> float:
    url = f"{base_url(fleet.agents[0])}/v1/endpoint"
    wait_for(lambda: httpx.get(url).json()["leaving"], "the agent to leave")
    return read_counter(fleet.agents[0], "starts")


def _count_finished(fleet: Fleet, endpoint: ManagedProcess) -> int:
    record = fleet.read_record(endpoint)
    assert record["running"] == 0
    return record["finished"]


@pytest.mark.parametrize("initiator", ["agent", "operator"])
def test_leaving_agent_starts_nothing_new_and_finishes_its_tasks(
    fleet: Fleet, initiator: str
) -> None:
    """Stop an agent, or drain it by an operator command, in the middle of a job.

    Tasks run at both endpoints. If only the entry knew that the agent leaves, tasks
    would still start there; if the agent exited before its answers were sent, requests
    would be cut off.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(
        send_job, fleet.entries[0], make_job(TASK_COUNT, run_ms=RUN_MS)
    )
    wait_for_running(fleet, 16)
    leaving = run_in_background(_stop_or_drain, fleet, initiator)
    before = _count_starts_once_leaving(fleet)
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    after = len(fleet.read_record(fleet.endpoints[0])["tasks"])
    assert after == before
    leaving.result(timeout=30)
    assert _count_finished(fleet, fleet.endpoints[0]) == after
    if initiator == "agent":
        assert fleet.agents[0].process.wait(20) == 0


def test_endpoint_that_unregisters_finishes_its_tasks(fleet: Fleet) -> None:
    """Send SIGTERM to an endpoint that runs tasks.

    The endpoint tells its agent that it leaves and exits once nothing runs. If the
    agent kept starting tasks, or didn't report the running ones, the exit would cut
    off requests.
    """
    start_desk(fleet, agents=2)
    job = run_in_background(
        send_job, fleet.entries[0], make_job(TASK_COUNT, run_ms=RUN_MS)
    )
    wait_for_running(fleet, 16)
    fleet.endpoints[0].stop()
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    assert fleet.endpoints[0].process.wait(20) == 0


def test_uninformed_entry_starts_nothing_on_a_leaving_endpoint(fleet: Fleet) -> None:
    """Let an endpoint leave while its agent can't reach an entry.

    The stream from the agent to the entry is frozen, so the entry doesn't learn that
    the endpoint leaves and sends a start, which arrives. The agent itself must refuse
    it: a check at the entry, with outdated information, would let the task start.
    """
    start_desk(fleet, agents=1, proxied=True)
    assert send_request(fleet.entries[0], {"run_ms": 1}).is_success
    fleet.control_proxy(fleet.find_advertised_port(fleet.agents[0]), freeze="to_client")
    left = httpx.delete(f"{base_url(fleet.agents[0])}/v1/endpoint")
    assert left.json()["leaving"]
    refused = send_request(fleet.entries[0], {"run_ms": 1})
    assert refused.status_code == 503, refused.text
    assert refused.json()["ran"] == "not_run"
    assert read_counter(fleet.agents[0], "starts_refused", "leaving") == 1
    assert len(count_starts(fleet)) == 1


def test_lease_of_a_killed_endpoint_expires(fleet: Fleet) -> None:
    """Kill an endpoint, so that it can't announce that it leaves.

    It stops renewing its lease. If the lease didn't expire, tasks would be sent to the
    endpoint until somebody noticed.
    """
    start_desk(fleet, agents=2)
    fleet.endpoints[0].kill()
    wait_for(
        lambda: (
            sum(each["service"] == "desk" for each in fleet.read_status()["agents"])
            == 1
        ),
        "the endpoint to lapse",
        10,
    )
    answer = send_job(fleet.entries[0], make_job(30, run_ms=10))
    assert answer.status_code == 200, answer.text
