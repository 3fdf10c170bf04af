"""Each task of a submission starts at most once."""

import time

import pytest
from standins.fleet import Fleet, wait_for

from tests.lib.fleet_helpers import (
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


def _assert_started_once(fleet: Fleet) -> None:
    repeated = {task: n for task, n in count_starts(fleet).items() if n > 1}
    assert not repeated


def test_waiting_tasks_of_a_killed_entry_never_start(fleet: Fleet) -> None:
    """Kill an entry in the middle of a job and resubmit the job to another one.

    The job has more tasks than there are slots. If starts waiting at agents outlived
    the entry that sent them, tasks of the first submission would run beside the second.
    """
    start_desk(fleet, entries=2, agents=1, slots=4)
    lost = run_in_background(send_job, fleet.entries[0], make_job(40, run_ms=150))
    wait_for_running(fleet, 4)
    fleet.entries[0].kill()
    started_before_kill = len(count_starts(fleet))
    again = send_job(fleet.entries[1], make_job(20, run_ms=20))
    assert again.status_code == 200, again.text
    second = again.json()["submission"]
    starts = count_starts(fleet)
    first = [task for task in starts if not task.startswith(second)]
    # Starts in transit when the entry was killed may still run: one per slot.
    assert len(first) <= started_before_kill + 4
    assert lost.exception(timeout=20) is not None
    _assert_started_once(fleet)


@pytest.mark.parametrize("direction", ["to_target", "to_client", "both"])
def test_starts_on_a_frozen_stream_are_resolved_on_a_new_one(
    fleet: Fleet, direction: str
) -> None:
    """Freeze a stream in one direction or both while tasks run.

    The entry closes the stream when its timeout expires and doesn't know which tasks
    have started. If it didn't query this on a new stream, a task could run twice or its
    caller wait until the deadline.
    """
    start_desk(fleet, agents=2, proxied=True)
    job = run_in_background(send_job, fleet.entries[0], make_job(60, run_ms=400))
    wait_for_running(fleet, 16)
    fleet.control_proxy(fleet.find_advertised_port(fleet.agents[0]), freeze=direction)
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    nonces = [row["body"]["nonce"] for row in answer.json()["answers"]]
    assert nonces == [f"n{number}" for number in range(60)]
    assert read_counter(fleet.entries[0], "resolves_sent") > 0
    _assert_started_once(fleet)


def test_resumed_agent_refuses_stale_starts_from_its_buffer(fleet: Fleet) -> None:
    """Pause an agent while starts are written to its stream, then resume it.

    Bytes in a socket buffer outlive all timeouts of their sender: the callers have
    already received an error when the agent reads the starts. It must refuse them by
    their time limit. The endpoint's lease and the stream's timeout are 60 s here, so
    that nothing else can cause the refusal.
    """
    start_desk(fleet, agents=0)
    fleet.start_endpoint(fleet.start_agent(silence=60.0), lease_seconds=60)
    fleet.wait_for_agents(1)
    send_request(fleet.entries[0], {"run_ms": 1})
    fleet.agents[0].suspend()
    answers = [
        run_in_background(send_request, fleet.entries[0], {"run_ms": 1})
        for _ in range(4)
    ]
    for answer in answers:
        failed = answer.result(timeout=40)
        assert failed.status_code in (502, 503, 504), failed.text
    before = count_starts(fleet)
    fleet.agents[0].resume()
    wait_for(
        lambda: send_request(fleet.entries[0], {"run_ms": 1}).status_code == 200,
        "the agent to work again",
    )
    assert read_counter(fleet.agents[0], "starts_refused", "stale") == 4
    started = count_starts(fleet)
    assert len(started) == len(before) + 1
    _assert_started_once(fleet)


def test_restarted_agent_does_not_deny_starts_of_its_predecessor(fleet: Fleet) -> None:
    """Kill an agent that runs tasks and restart it at the same address.

    The entry queries the new process, which has no record of what the old one started.
    If the new process reported such a task as not started, the task would run again.
    """
    start_desk(fleet, agents=2)
    jobs = [
        run_in_background(send_request, fleet.entries[0], {"run_ms": 1500})
        for _ in range(8)
    ]
    wait_for_running(fleet, 8)
    fleet.agents[0].kill()
    fleet.restart_agent(fleet.agents[0])
    outcomes = [job.result(timeout=30) for job in jobs]
    lost = [each for each in outcomes if each.status_code != 200]
    assert lost
    assert all(each.json()["ran"] == "may_have_run" for each in lost)
    _assert_started_once(fleet)


def test_duplicated_frames_start_nothing_twice(fleet: Fleet) -> None:
    """Deliver stream data that contain starts twice.

    The proxy repeats part of the stream. If the agent accepted every start that it
    reads, a task would start twice.
    """
    start_desk(fleet, agents=1, proxied=True)
    port = fleet.find_advertised_port(fleet.agents[0])
    for _ in range(10):
        fleet.control_proxy(port, repeat=True)
        send_job(fleet.entries[0], make_job(6, run_ms=5))
    _assert_started_once(fleet)
    assert count_starts(fleet)


def test_lost_bytes_close_only_their_stream(fleet: Fleet) -> None:
    """Drop bytes in the middle of a frame.

    Frame lengths and bodies no longer match, so the rest of the stream is invalid. A
    task must not run with another task's payload, and other streams must keep working.
    """
    start_desk(fleet, agents=2, proxied=True)
    port = fleet.find_advertised_port(fleet.agents[0])
    fleet.control_proxy(port, drop=7)
    started_at = time.monotonic()
    answer = send_job(fleet.entries[0], make_job(40, run_ms=50))
    assert answer.status_code == 200, answer.text
    nonces = [row["body"]["nonce"] for row in answer.json()["answers"]]
    assert nonces == [f"n{number}" for number in range(40)]
    assert time.monotonic() - started_at < 20
    _assert_started_once(fleet)
