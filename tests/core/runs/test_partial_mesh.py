"""Deployments in which each agent connects to some of the entries only.

The tests check which entries an agent connects to, what the connections cost, and that
jobs are handled correctly by entries that don't reach all agents.
"""

from collections import Counter
from typing import NamedTuple

import pytest

from godwitbank._internal.core.runs.addresses import ENTRIES_PER_AGENT, Addresses
from godwitbank._internal.core.runs.events import AddressesRead
from godwitbank._internal.core.runs.homes import choose_home
from godwitbank._internal.core.runs.links import IDLE_TIMEOUT_SECONDS
from tests.lib.run_cluster import Process, RunCluster, make_job

NOW = 100.0
STARTUP_SECONDS = 3.0
MEASURE_SECONDS = 4.0
MAX_GROWTH_FACTOR = 1.5


def make_partial_mesh(
    entries: int = 4, agents: int = 8, entries_per_agent: int = 2
) -> RunCluster:
    """Make a deployment in which each agent connects to some entries only."""
    world = RunCluster(entries_per_agent=entries_per_agent)
    for number in range(entries):
        world.add_entry(f"entry-{number}")
    for number in range(agents):
        world.add_agent(f"agent-{number}")
    world.run(STARTUP_SECONDS)
    return world


def list_connected_entries(world: RunCluster, agent: str) -> set[str]:
    """List the entries that an agent keeps a stream to."""
    return {link.hello.address for link in world.processes[agent].core.links}


def find_pair_unconnected_to(world: RunCluster, other: str) -> tuple[str, str]:
    """Find a connected entry and agent where the agent isn't connected to ``other``."""
    for agent in [name for name in world.processes if name.startswith("agent")]:
        connected = list_connected_entries(world, agent)
        if other not in connected:
            return sorted(connected)[0], agent
    raise AssertionError("every agent is connected to that entry")


def test_each_agent_connects_to_the_configured_number_of_entries() -> None:
    world = make_partial_mesh()
    for number in range(8):
        assert len(list_connected_entries(world, f"agent-{number}")) == 2


def test_agents_move_streams_to_a_new_entry_and_back() -> None:
    world = make_partial_mesh(entries=3)
    world.add_entry("entry-3")
    for number in range(8):
        world.processes[f"agent-{number}"].deliver_event(AddressesRead(("entry-3",)))
    world.run(8.0)
    connected = [
        list_connected_entries(world, f"agent-{number}") for number in range(8)
    ]
    assert {len(each) for each in connected} == {2}
    assert any("entry-3" in each for each in connected)
    world.kill("entry-3")
    world.run(1.0)
    connected = [
        list_connected_entries(world, f"agent-{number}") for number in range(8)
    ]
    assert {len(each) for each in connected} == {2}


def test_moving_a_stream_interrupts_no_run() -> None:
    # Guards against a job that is delayed by seconds: an entry is added, and agents
    # close their stream to another entry in its favour while runs are in flight on it.
    # Such runs count as lost, and are not started again until their lease has expired.
    world = make_partial_mesh(entries=3)
    for number in range(3):
        world.submit(f"entry-{number}", make_job(f"j{number}", width=8, seconds=2.0))
    world.run(0.1)
    world.add_entry("entry-3")
    for number in range(8):
        world.processes[f"agent-{number}"].deliver_event(AddressesRead(("entry-3",)))
    world.run(8.0)
    starts = [
        task
        for endpoint in world.endpoints.values()
        if endpoint
        for task in endpoint.started
    ]
    assert len(starts) == 24
    assert any(
        "entry-3" in list_connected_entries(world, f"agent-{n}") for n in range(8)
    )


@pytest.mark.parametrize("job", [f"j{number}" for number in range(1, 9)])
def test_job_moves_between_two_entries_that_cannot_reach_each_other(job: str) -> None:
    # Guards against a task that runs twice: two entries can't reach each other, and one
    # accepts a job. The caller's connection breaks unnoticed, and the caller submits
    # the job to the other entry, which is not connected to the agents that run it. It
    # can query neither the first entry nor these agents.
    world = make_partial_mesh()
    first, agent = find_pair_unconnected_to(world, "entry-0")
    # Runs of the first entry's jobs are then possible at that one agent only.
    for name in [each for each in world.processes if each.startswith("agent")]:
        if name != agent and first in list_connected_entries(world, name):
            world.cut_link(first, name)
    world.cut_link("entry-0", first)
    world.run(IDLE_TIMEOUT_SECONDS + 1.0)
    world.submit(first, make_job(job, width=2, seconds=3.0))
    world.run(1.3)
    world.submit("entry-0", make_job(job, width=2, seconds=3.0))
    world.run(8.0)
    assert "completed" in world.list_ends(job)
    assert not world.processes[first].core.dispatcher.jobs


def test_agents_are_not_queried_for_each_job_while_an_entry_is_lost() -> None:
    # Guards against entries and agents that spend most of their time on claims while an
    # entry is missing. If the death of a killed entry can't be told from a network cut,
    # each job of the next seconds is claimed at every agent.
    world = make_partial_mesh()
    world.kill("entry-3")
    world.run(1.5)
    counters = count_frames(world)
    for number in range(6):
        world.submit("entry-0", make_job(f"j{number}", seconds=0.1))
    world.run(2.0)
    assert not counters.messages["Claim"]
    assert all(world.list_ends(f"j{number}") == ["completed"] for number in range(6))


def test_outdated_start_order_is_ignored() -> None:
    # Guards against a task that runs twice: a start order is delayed in the buffers of
    # a link that was cut, on an idle stream. When it arrives, its entry has given it up
    # and started the task elsewhere. On an idle stream the time without frames doesn't
    # show that the order is old.
    world = make_partial_mesh(entries=1, agents=1)
    view = next(iter(world.processes["entry-0"].core.dispatcher.fleet.views.values()))
    assert view.link.estimate_clock(world.now) == pytest.approx(world.now, abs=0.01)
    world.delay_frames("entry-0", "agent-0", 0.9)
    world.submit("entry-0", make_job("j1", seconds=0.2))
    world.run(3.0)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    assert endpoint.started == []


class ControlCost(NamedTuple):
    """Frames sent and events handled by one process per second, by its role."""

    entry_frames: float
    entry_steps: float
    agent_frames: float
    agent_steps: float


class FrameCounters:
    """Frames sent, by message and by role, and events handled, by role."""

    def __init__(self) -> None:
        self.messages: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()
        self.steps: Counter[str] = Counter()


def count_frames(world: RunCluster) -> FrameCounters:
    """Count the frames that processes send and the events they handle from now on."""
    counters = FrameCounters()
    send, give = world.send_frame, Process.deliver_event

    def count_send(process: Process, action) -> None:
        counters.frames[process.name.partition("-")[0]] += 1
        counters.messages[type(action.message).__name__] += 1
        send(process, action)

    def count_give(process: Process, event) -> None:
        counters.steps[process.name.partition("-")[0]] += 1
        give(process, event)

    world.send_frame = count_send
    for process in world.processes.values():
        process.deliver_event = lambda event, process=process: count_give(
            process, event
        )
    return counters


def measure_idle_cost(entries: int, agents: int) -> ControlCost:
    """Measure the control cost of a deployment without jobs."""
    world = make_partial_mesh(entries, agents, ENTRIES_PER_AGENT)
    world.checking = False
    counters = count_frames(world)
    world.run(MEASURE_SECONDS)
    return ControlCost(
        counters.frames["entry"] / entries / MEASURE_SECONDS,
        counters.steps["entry"] / entries / MEASURE_SECONDS,
        counters.frames["agent"] / agents / MEASURE_SECONDS,
        counters.steps["agent"] / agents / MEASURE_SECONDS,
    )


def test_control_cost_of_a_process_does_not_grow_with_the_deployment() -> None:
    # Guards against processes of a large deployment that spend their time on
    # heartbeats, because each one sends heartbeats to all others five times a second
    # and the cost per process grows with the number of processes.
    small = measure_idle_cost(13, 74)
    large = measure_idle_cost(35, 160)
    for before, after in zip(small, large, strict=True):
        assert after <= MAX_GROWTH_FACTOR * before


def test_agents_spread_evenly_over_entries() -> None:
    entries = [f"10.0.{number}.1:7720" for number in range(35)]
    connected: Counter[str] = Counter()
    for number in range(160):
        addresses = Addresses(f"10.1.0.{number}:7720", ENTRIES_PER_AGENT)
        addresses.add(entries, NOW)
        due = addresses.list_due(NOW)
        assert len(due) == ENTRIES_PER_AGENT
        connected.update(due)
    assert len(connected) == 35
    assert max(connected.values()) <= 2 * 160 * ENTRIES_PER_AGENT / 35


def test_lost_entry_is_replaced_and_dialled_rarely() -> None:
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


def test_lost_entry_delays_only_the_jobs_whose_home_it_was() -> None:
    """Guards against entries that delay every new job while one entry is missing."""
    world = make_partial_mesh(entries=5, agents=10)
    world.power_off("entry-4")
    world.run(1.3)
    jobs = [f"j{number}" for number in range(40)]
    for number, job in enumerate(jobs):
        world.submit(f"entry-{number % 4}", make_job(job, seconds=0.05))
        world.run(0.005)
    world.run(4.0)
    assert [world.list_ends(job) for job in jobs] == [["completed"]] * len(jobs)
    delayed = {
        note.request
        for _, _, note in world.log_decisions
        if note.event == "job_delayed"
    }
    assert len(delayed & set(jobs)) <= len(jobs) / 5 * 2


@pytest.mark.parametrize("number", range(6))
@pytest.mark.parametrize("joins", [False, True])
def test_owner_of_a_job_is_known_after_the_loss_of_its_home(
    joins: bool, number: int
) -> None:
    """Guards against a new home entry that lets a job start that already runs.

    The job's home is lost. The next home must know the job's owner from what the owner
    has announced.
    """
    world = make_partial_mesh(entries=5, agents=10)
    entries = tuple(f"entry-{each}" for each in range(5))
    remaining = (*entries[:4], "entry-5") if joins else entries[:4]
    jobs = [f"j{each}" for each in range(400)]
    # Jobs whose home is lost, and whose next home is not an entry that gets callers.
    moved = [
        job
        for job in jobs
        if choose_home(job, entries) == "entry-4"
        and choose_home(job, remaining) not in ("entry-0", "entry-1")
    ]
    if joins:
        moved = [job for job in moved if choose_home(job, remaining) == "entry-5"]
    job = make_job(moved[number], width=4, seconds=6.0)
    world.submit("entry-0", job)
    world.run(0.5)
    world.power_off("entry-4")
    world.run(1.0)
    if joins:
        world.add_entry("entry-5")
    world.run(2.0)
    world.submit("entry-5" if joins else "entry-1", job)
    world.run(8.0)
    assert world.list_ends(job.job) == ["completed", "completed"]
