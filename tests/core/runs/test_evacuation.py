"""Evacuated zones get nothing new, and their room is used once taken back."""

import pytest

from godwitbank._internal.core.events import Received, Send
from godwitbank._internal.core.runs.evacuations import Evacuations
from godwitbank._internal.core.runs.events import EvacuationRead
from godwitbank._internal.models.jobs import Evacuation
from godwitbank._internal.models.run_messages import Evacuated
from tests.core.runs.test_happy_path import SETTLE_SECONDS
from tests.lib.runs_world import RunsWorld, make_job

SOON = 0.05
"""Seconds within which a deployment without trouble knows."""


def make_zoned_world(zones: int = 2, entries: int = 2, agents: int = 2) -> RunsWorld:
    """Make a world with some entries and agents in each zone."""
    world = RunsWorld()
    for zone in range(1, zones + 1):
        for number in range(entries):
            world.add_entry(f"entry-{zone}{number}", zone=f"zone-{zone}")
        for number in range(agents):
            world.add_agent(f"agent-{zone}{number}", zone=f"zone-{zone}")
    world.run(SETTLE_SECONDS)
    return world


def list_starts(world: RunsWorld, zone: str, since: float) -> list[str]:
    """List the tasks that began in a zone from a moment on."""
    return [
        task
        for name, endpoint in world.endpoints.items()
        if endpoint is not None and world.zones[name] == zone
        for at, task, _ in endpoint.started
        if at >= since
    ]


def load(world: RunsWorld, seconds: float, tag: str, entry: str = "") -> list[str]:
    """Submit short jobs to all entries, or one, for a while."""
    entries = [each for each in world.processes if "entry" in each]
    entries = [entry] if entry else entries
    names = []
    until = world.now + seconds
    while world.now < until:
        for each in entries:
            name = f"{tag}{len(names)}"
            names.append(name)
            world.submit(each, make_job(name, width=2, seconds=0.1))
        world.run(0.08)
    return names


def count_ends(world: RunsWorld, jobs: list[str], end: str) -> int:
    """Count the jobs that ended in one way."""
    return sum(world.get_ends(job) == [end] for job in jobs)


def test_nothing_starts_in_an_evacuated_zone() -> None:
    world = make_zoned_world()
    load(world, 0.5, "before")
    assert list_starts(world, "zone-1", 0.0)
    world.evacuate("zone-1")
    world.run(SOON)
    since = world.now
    jobs = load(world, 1.0, "during")
    world.run(1.0)
    assert not list_starts(world, "zone-1", since)
    assert count_ends(world, jobs, "completed") == len(jobs)


def test_runs_at_work_in_an_evacuated_zone_end_in_peace() -> None:
    world = make_zoned_world(zones=1)
    world.submit("entry-10", make_job("long", width=4, seconds=2.0))
    world.run(0.5)
    world.evacuate("zone-1")
    world.run(2.0)
    assert world.get_ends("long") == ["completed"]


def test_what_waits_in_an_evacuated_zone_goes_elsewhere_at_once() -> None:
    world = make_zoned_world(entries=1, agents=1)
    for number in range(3):
        world.submit("entry-10", make_job(f"long{number}", width=10, seconds=1.0))
    world.run(0.2)
    world.evacuate("zone-1")
    world.run(4.0)
    assert [world.get_ends(f"long{number}") for number in range(2)] == [
        ["completed"],
        ["completed"],
    ]


def test_jobs_are_refused_at_once_while_all_zones_are_evacuated() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    world.evacuate("zone-2")
    world.run(SOON)
    jobs = load(world, 0.2, "during")
    world.run(SOON)
    assert count_ends(world, jobs, "refused") == len(jobs)
    assert all(not result.ran for job in jobs for result in world.results[job])
    assert all(result.retry_after for job in jobs for result in world.results[job])


def test_jobs_that_wait_are_answered_when_their_last_zone_is_evacuated() -> None:
    world = make_zoned_world(zones=1, entries=1, agents=1)
    for number in range(4):
        world.submit("entry-10", make_job(f"j{number}", width=10, seconds=1.0))
    world.run(0.1)
    world.evacuate("zone-1")
    world.run(SOON)
    ends = [world.get_ends(f"j{number}") for number in range(4)]
    assert ends[0] == []
    assert ends[1:] == [["refused"]] * 3


def test_room_that_is_taken_back_is_used_at_once() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    load(world, 0.5, "during")
    world.take_back("zone-1")
    since = world.now
    load(world, 0.5, "after")
    assert list_starts(world, "zone-1", since)


def test_a_cold_endpoint_gets_nothing_while_warm_room_is_free() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    world.run(2.0)
    for name, endpoint in world.endpoints.items():
        if endpoint is not None and world.zones[name] == "zone-1":
            endpoint.cold_until = world.now + 4.0
    world.run(2.0)
    world.take_back("zone-1")
    since = world.now
    load(world, 0.5, "few")
    assert not list_starts(world, "zone-1", since)
    for number in range(6):
        job = make_job(f"wide{number}", width=8, seconds=1.0)
        world.submit(f"entry-{1 + number % 2}0", job)
    world.run(0.5)
    assert list_starts(world, "zone-1", since)


def test_what_was_learnt_of_endpoints_before_their_evacuation_is_forgotten() -> None:
    world = make_zoned_world()
    core = world.processes["entry-20"].core
    for view in core.dispatcher.fleet.views.values():
        view.health.record_success(10.0, 1.0)
        view.slowness = 3.0
    world.evacuate("zone-1")
    world.run(1.0)
    world.take_back("zone-1")
    world.run(SOON)
    for view in core.dispatcher.fleet.views.values():
        assert (view.slowdown_factor == 1.0) == (view.zone == "zone-1")


def test_an_agent_refuses_orders_of_an_entry_that_knows_less() -> None:
    world = make_zoned_world(entries=1)
    entry = world.processes["entry-20"]
    world.store_away.add("entry-20")
    world.cut_link("entry-10", "entry-20")
    world.evacuate("zone-1")
    world.run(SOON)
    assert not entry.core.evacuations.covers("zone-1")
    since = world.now
    load(world, 0.3, "j", "entry-20")
    assert not list_starts(world, "zone-1", since)


def test_an_order_under_way_is_refused_by_the_agent() -> None:
    world = make_zoned_world(entries=1, agents=1)
    agent = world.processes["agent-10"]
    world.delay_frames("entry-10", "agent-10", 0.2)
    world.delay_frames("entry-20", "agent-10", 0.01)
    jobs = [f"j{number}" for number in range(4)]
    for job in jobs:
        world.submit("entry-10", make_job(job, width=4, seconds=0.5))
    world.run(0.1)
    world.evacuate("zone-1")
    world.run(0.05)
    assert agent.core.evacuated
    since = world.now
    world.run(3.0)
    assert not list_starts(world, "zone-1", since)
    assert agent.core.counts.get("orders_refused", "zone") > 0


def test_an_order_that_is_carried_out_late_starts_nothing_there() -> None:
    world = make_zoned_world(entries=1, agents=1)
    world.lose_start = lambda order: 3.0
    world.submit("entry-10", make_job("j1", width=8, seconds=0.2))
    world.run(0.05)
    world.evacuate("zone-1")
    world.run(SOON)
    since = world.now
    world.run(5.0)
    assert not list_starts(world, "zone-1", since)


def test_an_entry_without_the_store_hears_of_it_from_another() -> None:
    world = make_zoned_world()
    world.store_away.add("entry-20")
    world.evacuate("zone-1")
    world.run(SOON)
    assert world.processes["entry-20"].core.evacuations.covers("zone-1")


def test_entries_and_agents_that_start_meanwhile_know_before_the_first_order() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    world.run(SOON)
    since = world.now
    world.kill("entry-20")
    world.kill("agent-10")
    world.store_away.add("entry-20")
    world.add_entry("entry-20")
    world.add_agent("agent-10")
    load(world, 2.0, "j")
    assert world.processes["entry-20"].core.evacuations.covers("zone-1")
    assert world.processes["agent-10"].core.evacuated
    assert not list_starts(world, "zone-1", since)


def test_older_knowledge_never_undoes_newer() -> None:
    held = Evacuations()
    taken_back = Evacuation(frozenset(), 7)
    evacuated = Evacuation(frozenset({"zone-1"}), 5)
    assert held.install(taken_back) is not None
    assert held.install(evacuated) is None
    assert not held.covers("zone-1")
    assert held.is_outdated(evacuated)


def test_a_peer_that_tells_older_knowledge_is_told_the_newer() -> None:
    world = make_zoned_world(entries=1, agents=1)
    entry = world.processes["entry-10"]
    world.evacuate("zone-1")
    world.run(SOON)
    world.take_back("zone-1")
    world.run(SOON)
    stream = entry.core.links.list_peers()[0].stream
    actions = entry.core.handle(Received(stream, Evacuated(["zone-1"], 2)), world.now)
    messages = [each.message for each in actions if isinstance(each, Send)]
    told = [each for each in messages if isinstance(each, Evacuated)]
    assert [each.zones for each in told] == [[]]
    assert not entry.core.evacuations.covers("zone-1")


@pytest.mark.parametrize("pause", [0.0, 0.003, 0.02, 1.0])
def test_a_zone_evacuated_taken_back_and_evacuated_again_is_evacuated(
    pause: float,
) -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    world.run(pause)
    world.take_back("zone-1")
    world.run(pause)
    world.evacuate("zone-1")
    world.run(SOON)
    since = world.now
    load(world, 0.5, "j")
    assert not list_starts(world, "zone-1", since)


def test_a_zone_that_nobody_knows_changes_nothing() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1 ")
    world.evacuate("zone-9")
    world.run(SOON)
    since = world.now
    jobs = load(world, 0.3, "j")
    world.run(1.0)
    assert count_ends(world, jobs, "completed") == len(jobs)
    assert list_starts(world, "zone-1", since)


def test_a_zone_lost_while_it_is_evacuated_comes_back_evacuated() -> None:
    world = make_zoned_world()
    world.evacuate("zone-1")
    world.run(0.5)
    for name in ("entry-10", "entry-11", "agent-10", "agent-11"):
        world.darken(name)
    world.endpoints["agent-10"] = world.endpoints["agent-11"] = None
    world.run(1.5)
    since = world.now
    for name in ("entry-10", "entry-11"):
        world.add_entry(name)
    for name in ("agent-10", "agent-11"):
        world.add_agent(name)
    load(world, 2.0, "j")
    assert not list_starts(world, "zone-1", since)


def test_an_entry_in_an_evacuated_zone_hands_jobs_on_that_it_has_no_room_for() -> None:
    world = RunsWorld(entries_per_agent=1)
    for zone in (1, 2):
        world.add_entry(f"entry-{zone}", zone=f"zone-{zone}")
    for number in range(16):
        world.add_agent(f"agent-{number}")
    world.run(SETTLE_SECONDS)
    fleets = [world.processes[f"entry-{zone}"].core.dispatcher.fleet for zone in (1, 2)]
    assert all(fleet.views for fleet in fleets)
    for view in fleets[0].views.values():
        # Each entry meets other agents; all that the first one meets are evacuated.
        view.zone = "zone-9"
    world.evacuate("zone-9")
    world.run(0.5)
    jobs = load(world, 0.3, "j", "entry-1")
    world.run(1.0)
    assert count_ends(world, jobs, "completed") == len(jobs)


def test_a_repeated_reading_is_no_news() -> None:
    world = make_zoned_world(entries=1, agents=1)
    core = world.processes["entry-10"].core
    again = EvacuationRead(Evacuation(frozenset(), 50))
    assert not core.handle(again, world.now)
