"""Streams that fall silent together, without a word."""

import pytest

from tests.core.runs.test_exploration import RESUBMIT_SECONDS
from tests.core.runs.test_happy_path import make_world
from tests.lib.runs_world import CAPACITY, RunsWorld, make_job

ENTRIES = 3
AGENTS = 3

NOTICED = 2.0
"""Seconds in which all streams are missed and opened anew."""


def make_busy_world(seconds: float = 9.0) -> RunsWorld:
    """Make a deployment in which each agent works for the first entry alone."""
    world = make_world(entries=ENTRIES, agents=AGENTS)
    cpu = CAPACITY.cpu // 2
    world.submit("entry-0", make_job("j1", width=2 * AGENTS, seconds=seconds, cpu=cpu))
    world.run(0.2)
    return world


def list_streams(world: RunsWorld, entry: str) -> list[int]:
    """List an entry's streams to agents that still carry frames."""
    process = world.processes[entry]
    streams = process.core.dispatcher.fleet.views
    return [each for each in streams if not process.streams[each].silent]


def test_agents_miss_idle_streams_that_fell_silent_with_a_busy_one() -> None:
    world = make_busy_world()
    world.silence_streams()
    world.run(NOTICED)
    for number in range(ENTRIES):
        assert len(list_streams(world, f"entry-{number}")) == AGENTS


def test_agents_whose_runs_end_in_the_silence_miss_it_too() -> None:
    world = make_busy_world(seconds=0.55)
    world.silence_streams()
    world.run(NOTICED)
    for number in range(ENTRIES):
        assert len(list_streams(world, f"entry-{number}")) == AGENTS


def test_idle_streams_outlive_an_entry_that_falls_silent() -> None:
    world = make_busy_world()
    before = [list_streams(world, f"entry-{number}") for number in (1, 2)]
    world.darken("entry-0")
    world.run(NOTICED)
    assert [list_streams(world, f"entry-{number}") for number in (1, 2)] == before


def test_nothing_is_sent_on_a_stream_in_doubt() -> None:
    world = make_world(entries=1, agents=AGENTS)
    world.submit("entry-0", make_job("j1", seconds=9.0))
    world.run(0.2)
    world.silence_streams()
    world.run(0.9)
    views = world.processes["entry-0"].core.dispatcher.fleet.views.values()
    silent = [
        view for view in views if world.processes["entry-0"].streams[view.stream].silent
    ]
    assert silent
    assert all(view.link.is_overdue(world.now) for view in silent)


@pytest.mark.parametrize("lost_at", [0.6, 0.7, 0.8, 0.9])
@pytest.mark.parametrize("back", [0.2, 0.3])
def test_a_job_of_an_entry_lost_silently_and_back_at_once_runs_once(
    lost_at: float, back: float
) -> None:
    world = RunsWorld(0, entries_per_agent=2)
    for number in range(5):
        world.add_entry(f"entry-{number}")
    for number in range(12):
        world.add_agent(f"agent-{number}")
    world.run(2.0)
    job = make_job("j1", width=2, seconds=9.0)
    # Its caller's connection breaks unnoticed at once, so that it comes again then.
    world.submit("entry-2", job)
    world.run(lost_at)
    for name in ("entry-2", "entry-3"):
        world.darken(name)
    world.run(back)
    for name in ("entry-2", "entry-3"):
        world.add_entry(name)
    world.run(RESUBMIT_SECONDS - lost_at - back)
    world.submit("entry-3", job)
    world.run(3.0)
