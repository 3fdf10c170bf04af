"""Streams that stop carrying frames without being closed, several at a time."""

import pytest

from tests.core.runs.test_exploration import RESUBMIT_SECONDS
from tests.core.runs.test_happy_path import make_world
from tests.lib.run_cluster import CAPACITY, RunCluster, make_job

ENTRIES = 3
AGENTS = 3

RECOVERY_SECONDS = 2.0
"""Seconds within which all broken streams time out and are opened again."""


def make_busy_deployment(seconds: float = 9.0) -> RunCluster:
    """Make a deployment in which each agent has runs of the first entry only."""
    world = make_world(entries=ENTRIES, agents=AGENTS)
    cpu = CAPACITY.cpu // 2
    world.submit("entry-0", make_job("j1", width=2 * AGENTS, seconds=seconds, cpu=cpu))
    world.run(0.2)
    return world


def list_working_streams(world: RunCluster, entry: str) -> list[int]:
    """List an entry's streams to agents that still carry frames."""
    process = world.processes[entry]
    streams = process.core.dispatcher.fleet.views
    return [each for each in streams if not process.streams[each].loses_frames]


def test_agents_reopen_idle_streams_that_broke_together_with_a_busy_one() -> None:
    world = make_busy_deployment()
    world.blackhole_streams()
    world.run(RECOVERY_SECONDS)
    for number in range(ENTRIES):
        assert len(list_working_streams(world, f"entry-{number}")) == AGENTS


def test_agents_whose_runs_end_on_broken_streams_reopen_all_streams() -> None:
    world = make_busy_deployment(seconds=0.55)
    world.blackhole_streams()
    world.run(RECOVERY_SECONDS)
    for number in range(ENTRIES):
        assert len(list_working_streams(world, f"entry-{number}")) == AGENTS


def test_idle_streams_stay_open_when_an_entry_loses_power() -> None:
    world = make_busy_deployment()
    before = [list_working_streams(world, f"entry-{number}") for number in (1, 2)]
    world.power_off("entry-0")
    world.run(RECOVERY_SECONDS)
    assert [
        list_working_streams(world, f"entry-{number}") for number in (1, 2)
    ] == before


def test_broken_streams_count_as_overdue() -> None:
    world = make_world(entries=1, agents=AGENTS)
    world.submit("entry-0", make_job("j1", seconds=9.0))
    world.run(0.2)
    world.blackhole_streams()
    world.run(0.9)
    views = world.processes["entry-0"].core.dispatcher.fleet.views.values()
    silent = [
        view
        for view in views
        if world.processes["entry-0"].streams[view.stream].loses_frames
    ]
    assert silent
    assert all(view.link.is_overdue(world.now) for view in silent)


@pytest.mark.parametrize("lost_at", [0.6, 0.7, 0.8, 0.9])
@pytest.mark.parametrize("restart_after", [0.2, 0.3])
def test_job_of_an_entry_that_lost_power_and_restarts_at_once_runs_once(
    lost_at: float, restart_after: float
) -> None:
    world = RunCluster(0, entries_per_agent=2)
    for number in range(5):
        world.add_entry(f"entry-{number}")
    for number in range(12):
        world.add_agent(f"agent-{number}")
    world.run(2.0)
    job = make_job("j1", width=2, seconds=9.0)
    # The caller's connection breaks unnoticed at once. It submits the job again after
    # ``RESUBMIT_SECONDS``.
    world.submit("entry-2", job)
    world.run(lost_at)
    for name in ("entry-2", "entry-3"):
        world.power_off(name)
    world.run(restart_after)
    for name in ("entry-2", "entry-3"):
        world.add_entry(name)
    world.run(RESUBMIT_SECONDS - lost_at - restart_after)
    world.submit("entry-3", job)
    world.run(3.0)
