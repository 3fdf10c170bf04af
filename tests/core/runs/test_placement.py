"""What choosing an agent costs an entry."""

from collections import Counter

import pytest

from godwitbank._internal.core.runs import placement
from godwitbank._internal.models.resources import Resources
from tests.lib.runs_world import RunsWorld, make_job

AGENTS = 60


def make_full_world() -> RunsWorld:
    """Make one entry and agents that are full, with tasks that wait for room."""
    world = RunsWorld(seed=2)
    world.checking = False
    world.add_entry("entry-0")
    for number in range(AGENTS):
        world.add_agent(f"agent-{number}", Resources(2000, 10**6, 0))
    world.run(3.0)
    for number in range(AGENTS + 8):
        world.submit("entry-0", make_job(f"old{number}", seconds=9.0, cpu=2000))
    world.run(0.3)
    return world


def test_a_job_costs_no_more_while_tasks_wait_for_room(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Symptom: entries of small VMs fall behind when a burst comes, at a rate of jobs
    # that they serve well otherwise, and stay behind. Sequence: all endpoints are full;
    # some tasks wait; jobs come. Cause: each job that came, and each look at deadlines,
    # tried up to eight waiting tasks at every agent; a job took the entry twice the
    # processor time just when there was none to spare.
    # Evidence: with this mended too, no entry was late for 30 ms on the day on which
    # the entries of one zone had been late for a third of a second from 6 s on.
    world = make_full_world()
    looks: Counter[str] = Counter()
    is_allowed = placement._is_allowed

    def count_looks(view, task, now):
        looks[task.name] += 1
        return is_allowed(view, task, now)

    monkeypatch.setattr(placement, "_is_allowed", count_looks)
    for number in range(10):
        world.submit("entry-0", make_job(f"new{number}", width=2, cpu=2000))
        world.run(0.1)
    assert sum(looks.values()) <= AGENTS


def test_a_job_is_placed_where_there_is_room_though_most_agents_are_full() -> None:
    world = make_full_world()
    world.add_agent("agent-new", Resources(2000, 10**6, 0))
    world.run(1.0)
    view = world.processes["entry-0"].core.dispatcher.fleet.find("agent-new")
    assert len(view.tasks) == 1
