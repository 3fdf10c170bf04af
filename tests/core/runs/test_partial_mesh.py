"""Where there are more entries than an agent meets: who meets whom, what it costs."""

from collections import Counter
from typing import NamedTuple

import pytest

from godwitbank._internal.core.runs.addresses import ENTRIES_PER_AGENT, Addresses
from godwitbank._internal.core.runs.events import AddressesRead
from godwitbank._internal.core.runs.homes import choose_home
from godwitbank._internal.core.runs.links import IDLE_TIMEOUT_SECONDS
from tests.lib.runs_world import Process, RunsWorld, make_job

NOW = 100.0
SETTLE_SECONDS = 3.0
WATCH_SECONDS = 4.0
GROWTH = 1.5


def make_partial_mesh(entries: int = 4, agents: int = 8, met: int = 2) -> RunsWorld:
    """Make a deployment in which each agent meets some entries only."""
    world = RunsWorld(entries_per_agent=met)
    for number in range(entries):
        world.add_entry(f"entry-{number}")
    for number in range(agents):
        world.add_agent(f"agent-{number}")
    world.run(SETTLE_SECONDS)
    return world


def list_met(world: RunsWorld, agent: str) -> set[str]:
    """List the entries that an agent keeps a stream to."""
    return {link.hello.address for link in world.processes[agent].core.links}


def find_unshared(world: RunsWorld, other: str) -> tuple[str, str]:
    """Find an entry and an agent that meet, where the agent doesn't meet another."""
    for agent in [name for name in world.processes if name.startswith("agent")]:
        met = list_met(world, agent)
        if other not in met:
            return sorted(met)[0], agent
    raise AssertionError("every agent meets that entry")


def test_each_agent_meets_as_many_entries_as_wanted() -> None:
    world = make_partial_mesh()
    for number in range(8):
        assert len(list_met(world, f"agent-{number}")) == 2


def test_streams_move_to_an_entry_that_comes_and_back() -> None:
    world = make_partial_mesh(entries=3)
    world.add_entry("entry-3")
    for number in range(8):
        world.processes[f"agent-{number}"].give(AddressesRead(("entry-3",)))
    world.run(8.0)
    met = [list_met(world, f"agent-{number}") for number in range(8)]
    assert {len(each) for each in met} == {2}
    assert any("entry-3" in each for each in met)
    world.kill("entry-3")
    world.run(1.0)
    met = [list_met(world, f"agent-{number}") for number in range(8)]
    assert {len(each) for each in met} == {2}


def test_a_stream_that_moves_cuts_no_run() -> None:
    # Symptom: a job is late by seconds. Sequence: an entry joins; agents leave others
    # for it while runs of theirs are in flight. Cause: a stream was closed with runs
    # on it, which counted as lost until their lease had run out.
    world = make_partial_mesh(entries=3)
    for number in range(3):
        world.submit(f"entry-{number}", make_job(f"j{number}", width=8, seconds=2.0))
    world.run(0.1)
    world.add_entry("entry-3")
    for number in range(8):
        world.processes[f"agent-{number}"].give(AddressesRead(("entry-3",)))
    world.run(8.0)
    starts = [
        task
        for endpoint in world.endpoints.values()
        if endpoint
        for task in endpoint.started
    ]
    assert len(starts) == 24
    assert any("entry-3" in list_met(world, f"agent-{n}") for n in range(8))


@pytest.mark.parametrize("job", [f"j{number}" for number in range(1, 9)])
def test_a_job_moves_past_a_cut_between_two_entries(job: str) -> None:
    # Symptom: a task runs twice. Sequence: two entries can't reach each other; one
    # takes a job; its caller's connection breaks unnoticed and it goes to the other,
    # which doesn't meet the agents that run it. Cause: the second could ask neither
    # the first nor those agents.
    world = make_partial_mesh()
    first, agent = find_unshared(world, "entry-0")
    # What the first one takes is run by that one agent.
    for name in [each for each in world.processes if each.startswith("agent")]:
        if name != agent and first in list_met(world, name):
            world.cut_link(first, name)
    world.cut_link("entry-0", first)
    world.run(IDLE_TIMEOUT_SECONDS + 1.0)
    world.submit(first, make_job(job, width=2, seconds=3.0))
    world.run(1.3)
    world.submit("entry-0", make_job(job, width=2, seconds=3.0))
    world.run(8.0)
    assert "completed" in world.get_ends(job)
    assert not world.processes[first].core.dispatcher.jobs


def test_a_lost_entry_is_asked_for_once_not_for_each_job() -> None:
    # Symptom: entries and agents spend most of their time on questions while an entry
    # is missing. Sequence: an entry is killed; each job of the next seconds is asked
    # for at every agent. Cause: its death couldn't be told from a cut.
    world = make_partial_mesh()
    world.kill("entry-3")
    world.run(1.5)
    sent = watch_frames(world)
    for number in range(6):
        world.submit("entry-0", make_job(f"j{number}", seconds=0.1))
    world.run(2.0)
    assert not sent.messages["Claim"]
    assert all(world.get_ends(f"j{number}") == ["completed"] for number in range(6))


def test_an_order_older_than_its_entrys_patience_starts_nothing() -> None:
    # Symptom: a task runs twice. Sequence: an order waits in the buffers of a link
    # that was cut, on a stream with nothing else in flight; its entry has given it
    # up and started the task elsewhere when it arrives. Cause: on such streams
    # silence no longer shows that what arrives is old.
    world = make_partial_mesh(entries=1, agents=1)
    view = next(iter(world.processes["entry-0"].core.dispatcher.fleet.views.values()))
    assert view.link.estimate_clock(world.now) == pytest.approx(world.now, abs=0.01)
    world.delay_frames("entry-0", "agent-0", 0.9)
    world.submit("entry-0", make_job("j1", seconds=0.2))
    world.run(3.0)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    assert endpoint.started == []


class Cost(NamedTuple):
    """What one process does for control in a second, by its role."""

    entry_frames: float
    entry_steps: float
    agent_frames: float
    agent_steps: float


class Watch:
    """Frames sent, by message, and events handled, by role."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        self.steps: Counter[str] = Counter()


def watch_frames(world: RunsWorld) -> Watch:
    """Count what processes send and handle from now on."""
    watch = Watch()
    send, give = world.send_frame, Process.give

    def count_send(process: Process, action) -> None:
        watch.frames[process.name.partition("-")[0]] += 1
        watch.messages[type(action.message).__name__] += 1
        send(process, action)

    def count_give(process: Process, event) -> None:
        watch.steps[process.name.partition("-")[0]] += 1
        give(process, event)

    world.send_frame = count_send
    for process in world.processes.values():
        process.give = lambda event, process=process: count_give(process, event)
    return watch


def measure_idle(entries: int, agents: int) -> Cost:
    """Measure a deployment in which nothing is asked for."""
    world = make_partial_mesh(entries, agents, ENTRIES_PER_AGENT)
    world.checking = False
    watch = watch_frames(world)
    world.run(WATCH_SECONDS)
    return Cost(
        watch.frames["entry"] / entries / WATCH_SECONDS,
        watch.steps["entry"] / entries / WATCH_SECONDS,
        watch.frames["agent"] / agents / WATCH_SECONDS,
        watch.steps["agent"] / agents / WATCH_SECONDS,
    )


def test_control_of_a_process_does_not_grow_with_their_number() -> None:
    # Symptom: processes of a large deployment spend their time on proofs of life.
    # Sequence: each proves its life to all others five times a second. Cause: what a
    # process did grew with the number of processes.
    small = measure_idle(13, 74)
    large = measure_idle(35, 160)
    for before, after in zip(small, large, strict=True):
        assert after <= GROWTH * before


def test_agents_spread_over_entries_and_every_agent_ranks_its_own_way() -> None:
    entries = [f"10.0.{number}.1:7720" for number in range(35)]
    met: Counter[str] = Counter()
    for number in range(160):
        addresses = Addresses(f"10.1.0.{number}:7720", ENTRIES_PER_AGENT)
        addresses.add(entries, NOW)
        due = addresses.list_due(NOW)
        assert len(due) == ENTRIES_PER_AGENT
        met.update(due)
    assert len(met) == 35
    assert max(met.values()) <= 2 * 160 * ENTRIES_PER_AGENT / 35


def test_a_dead_entry_is_replaced_and_dialled_rarely() -> None:
    entries = [f"entry-{number}" for number in range(20)]
    addresses = Addresses("agent-0", 4)
    addresses.add(entries, NOW)
    first = addresses.list_due(NOW)
    for address in first[1:]:
        addresses.add_stream(address, address, NOW)
    addresses.remove_stream("", first[0], NOW)
    (other,) = addresses.list_due(NOW)
    assert other not in first
    addresses.add_stream(other, other, NOW)
    now, dials = NOW, 0
    while now < NOW + 30.0:
        now = max(now + 0.01, addresses.next_wakeup())
        for address in addresses.list_due(now):
            assert address == first[0]
            dials += 1
            addresses.remove_stream("", address, now)
    assert dials <= 15


def test_a_lost_entry_delays_the_jobs_that_it_decided_about_only() -> None:
    """Guards against all entries that hold every new job while one is missing."""
    world = make_partial_mesh(entries=5, agents=10)
    world.darken("entry-4")
    world.run(1.3)
    jobs = [f"j{number}" for number in range(40)]
    for number, job in enumerate(jobs):
        world.submit(f"entry-{number % 4}", make_job(job, seconds=0.05))
        world.run(0.005)
    world.run(4.0)
    assert [world.get_ends(job) for job in jobs] == [["completed"]] * len(jobs)
    delayed = {
        note.request for _, _, note in world.notes if note.event == "job_delayed"
    }
    assert len(delayed & set(jobs)) <= len(jobs) / 5 * 2


@pytest.mark.parametrize("number", range(6))
@pytest.mark.parametrize("joins", [False, True])
def test_a_job_whose_home_is_lost_is_known_by_what_its_entry_has_told(
    joins: bool, number: int
) -> None:
    """Guards against the next home, which lets start what runs already."""
    world = make_partial_mesh(entries=5, agents=10)
    entries = tuple(f"entry-{each}" for each in range(5))
    left = (*entries[:4], "entry-5") if joins else entries[:4]
    jobs = [f"j{each}" for each in range(400)]
    # The lost entry was its home; the next one is neither of those that have callers.
    moved = [
        job
        for job in jobs
        if choose_home(job, entries) == "entry-4"
        and choose_home(job, left) not in ("entry-0", "entry-1")
    ]
    if joins:
        moved = [job for job in moved if choose_home(job, left) == "entry-5"]
    job = make_job(moved[number], width=4, seconds=6.0)
    world.submit("entry-0", job)
    world.run(0.5)
    world.darken("entry-4")
    world.run(1.0)
    if joins:
        world.add_entry("entry-5")
    world.run(2.0)
    world.submit("entry-5" if joins else "entry-1", job)
    world.run(8.0)
    assert world.get_ends(job.job) == ["completed", "completed"]
