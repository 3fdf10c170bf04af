"""Tests of jobs that run without any failure."""

from tests.lib.run_cluster import CAPACITY, RunCluster, make_job

SETTLE_SECONDS = 1.2
"""Seconds after which even a single entry accepts jobs."""


def make_world(entries: int = 2, agents: int = 3, seed: int = 0) -> RunCluster:
    world = RunCluster(seed)
    for number in range(entries):
        world.add_entry(f"entry-{number}")
    for number in range(agents):
        world.add_agent(f"agent-{number}")
    world.run(SETTLE_SECONDS)
    return world


def test_a_job_is_completed_once_all_its_tasks_are_done() -> None:
    world = make_world()
    world.submit("entry-0", make_job("j1", width=8))
    world.run(0.3)
    assert not world.results["j1"]
    world.run(0.3)
    assert world.list_ends("j1") == ["completed"]


def test_tasks_beyond_the_capacity_wait_and_are_served() -> None:
    world = make_world(agents=1)
    for number in range(4):
        world.submit(f"entry-{number % 2}", make_job(f"j{number}", width=7, seconds=1))
    world.run(6.0)
    ends = [world.list_ends(f"j{number}") for number in range(4)]
    assert ends == [["completed"]] * 4


def test_an_urgent_job_overtakes_waiting_tasks() -> None:
    world = make_world(entries=1, agents=1)
    world.submit("entry-0", make_job("long", width=10, seconds=0.28))
    world.run(0.2)
    world.submit("entry-0", make_job("late", width=10, seconds=2.0))
    world.submit("entry-0", make_job("short", width=2, seconds=0.1))
    world.run(0.6)
    assert world.list_ends("short") == ["completed"]
    assert world.list_ends("late") == []


def test_a_job_that_fits_no_endpoint_is_refused_at_once_without_running() -> None:
    world = make_world()
    world.submit("entry-0", make_job("j1", cpu=CAPACITY.cpu + 1))
    world.run(0.01)
    result = world.results["j1"][0]
    assert (result.end, result.ran) == ("refused", False)
