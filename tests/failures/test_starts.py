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


def _assert_once(fleet: Fleet) -> None:
    twice = {task: n for task, n in count_starts(fleet).items() if n > 1}
    assert not twice


def test_waiting_tasks_of_a_killed_entry_never_start(fleet: Fleet) -> None:
    """A caller submits again after its entry died.

    Symptom: work of the first submission goes on beside the second.
    Sequence: a job larger than the slots is under way, its entry is killed, the
    job is submitted to another entry.
    Cause: starts waiting at agents outlive the entry that sent them.
    """
    start_desk(fleet, entries=2, agents=1, slots=4)
    lost = run_in_background(send_job, fleet.entries[0], make_job(40, run_ms=150))
    wait_for_running(fleet, 4)
    fleet.entries[0].kill()
    at_death = len(count_starts(fleet))
    again = send_job(fleet.entries[1], make_job(20, run_ms=20))
    assert again.status_code == 200, again.text
    second = again.json()["submission"]
    starts = count_starts(fleet)
    first = [task for task in starts if not task.startswith(second)]
    # What was in flight at the death may still start: one start per slot.
    assert len(first) <= at_death + 4
    assert lost.exception(timeout=20) is not None
    _assert_once(fleet)


@pytest.mark.parametrize("way", ["to_target", "to_client", "both"])
def test_frozen_link_is_resolved_on_a_new_one(fleet: Fleet, way: str) -> None:
    """A stream goes silent for good after starts were sent.

    Symptom: a task runs twice, or its caller waits until its deadline.
    Sequence: tasks run, the stream is silenced in one direction or both, the
    entry closes it by silence and asks on a new stream.
    Cause: after a dead stream the entry doesn't know what started.
    """
    start_desk(fleet, agents=2, proxied=True)
    job = run_in_background(send_job, fleet.entries[0], make_job(60, run_ms=400))
    wait_for_running(fleet, 16)
    fleet.control(fleet.advertised(fleet.agents[0]), freeze=way)
    answer = job.result(timeout=30)
    assert answer.status_code == 200, answer.text
    nonces = [row["body"]["nonce"] for row in answer.json()["answers"]]
    assert nonces == [f"n{number}" for number in range(60)]
    assert read_counter(fleet.entries[0], "resolves_sent") > 0
    _assert_once(fleet)


def test_stopped_agent_refuses_starts_from_its_buffer(fleet: Fleet) -> None:
    """An agent is frozen with starts in its socket buffer, and wakes.

    Symptom: a task given up long ago starts when the process continues.
    Sequence: the agent is stopped, starts are written to its stream, every
    timeout passes, the callers are told, the agent continues.
    Cause: bytes in a socket buffer outlive all timeouts of their sender. Lease
    and silence are long here, so that only the start's bound can refuse.
    """
    start_desk(fleet, agents=0)
    fleet.start_endpoint(fleet.start_agent(silence=60.0), lease=60)
    fleet.await_agents(1)
    send_request(fleet.entries[0], {"run_ms": 1})
    fleet.agents[0].freeze()
    answers = [
        run_in_background(send_request, fleet.entries[0], {"run_ms": 1})
        for _ in range(4)
    ]
    for answer in answers:
        failed = answer.result(timeout=40)
        assert failed.status_code in (502, 503, 504), failed.text
    before = count_starts(fleet)
    fleet.agents[0].thaw()
    wait_for(
        lambda: send_request(fleet.entries[0], {"run_ms": 1}).status_code == 200,
        "the agent to work again",
    )
    assert read_counter(fleet.agents[0], "starts_refused", "stale") == 4
    started = count_starts(fleet)
    assert len(started) == len(before) + 1
    _assert_once(fleet)


def test_restarted_agent_does_not_vouch_for_its_predecessor(fleet: Fleet) -> None:
    """An agent is killed and started at once at the same address.

    Symptom: a task that ran is declared never started, and runs again.
    Sequence: a task runs, its agent is killed and replaced at once, the entry
    asks the new one.
    Cause: the new process has no memory of what the old one started.
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
    _assert_once(fleet)


def test_repeated_bytes_start_nothing_twice(fleet: Fleet) -> None:
    """A stream delivers frames twice.

    Symptom: a task starts twice.
    Sequence: the proxy repeats a piece of the stream that holds starts.
    Cause: an agent that trusts every start it reads.
    """
    start_desk(fleet, agents=1, proxied=True)
    port = fleet.advertised(fleet.agents[0])
    for _ in range(10):
        fleet.control(port, repeat=True)
        send_job(fleet.entries[0], make_job(6, run_ms=5))
    _assert_once(fleet)
    assert count_starts(fleet)


def test_lost_bytes_end_only_their_stream(fleet: Fleet) -> None:
    """A piece of a stream is lost, so the rest is garbage.

    Symptom: a task runs with another task's payload, or all work stops.
    Sequence: the proxy swallows bytes in the middle of a frame.
    Cause: lengths and bodies no longer line up.
    """
    start_desk(fleet, agents=2, proxied=True)
    port = fleet.advertised(fleet.agents[0])
    fleet.control(port, drop=7)
    began = time.monotonic()
    answer = send_job(fleet.entries[0], make_job(40, run_ms=50))
    assert answer.status_code == 200, answer.text
    nonces = [row["body"]["nonce"] for row in answer.json()["answers"]]
    assert nonces == [f"n{number}" for number in range(40)]
    assert time.monotonic() - began < 20
    _assert_once(fleet)
