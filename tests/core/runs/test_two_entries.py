"""A job submitted at two entries at once: it runs once, and both callers are answered.

``RunCluster`` checks after every step that no task runs twice at once.
"""

import pytest

from godwitbank._internal.core.runs.entry import UNREADY_SECONDS
from godwitbank._internal.core.runs.events import AddressesRead
from godwitbank._internal.core.runs.homes import choose_home
from tests.core.runs.test_happy_path import make_world
from tests.lib.run_cluster import RunCluster, make_job

SUBMISSION_GAPS_SECONDS = (
    0.0,
    0.0002,
    0.0005,
    0.001,
    0.0015,
    0.003,
    0.01,
    0.07,
    0.3,
    0.7,
    1.3,
)
"""Intervals between the two submissions: from less than a link's delay up to the time
for which a caller waits after a broken connection."""

CUT_LEADS_SECONDS = (0.0, 0.1, 0.28, 0.6, 0.75, 1.0)
"""Time from the cut between two entries, which they notice after 0.7 s, to the first
submission."""

PARTIAL_MESH_CUT_LEADS_SECONDS = (0.1, 0.5, 0.9, 1.3)

TASKS_PER_JOB, RUN_SECONDS = 2, 1.8
"""Tasks of a job, and their run time; small enough for jobs not to wait for free
capacity."""


def make_partial_mesh(seed: int = 0) -> RunCluster:
    """Make a deployment in which each agent has streams to two of five entries."""
    world = RunCluster(seed, entries_per_agent=2)
    for number in range(5):
        world.add_entry(f"entry-{number}")
    for number in range(12):
        world.add_agent(f"agent-{number}")
    world.run(3.0)
    return world


def count_starts(world: RunCluster) -> int:
    """Count the runs that endpoints have started."""
    return sum(len(each.started) for each in world.endpoints.values() if each)


def submit_twice(
    world: RunCluster, first: str, second: str, gap: float, job: str = "j1"
) -> None:
    """Submit a job at one entry and, after a gap in seconds, at another."""
    spec = make_job(job, width=TASKS_PER_JOB, seconds=RUN_SECONDS)
    world.submit(first, spec)
    world.run(gap)
    world.submit(second, spec)


def check_duplicate_jobs(world: RunCluster, gap: float, pause: float) -> None:
    """Submit six jobs at two entries each, and check that all are completed.

    :param pause: seconds between two jobs.
    """
    jobs = [f"j{number}" for number in range(6)]
    for job in jobs:
        submit_twice(world, "entry-0", "entry-1", gap, job)
        world.run(pause)
    world.run(12.0)
    for job in jobs:
        assert "completed" in world.list_ends(job)


@pytest.mark.parametrize("gap", SUBMISSION_GAPS_SECONDS)
@pytest.mark.parametrize(("entries", "agents"), [(2, 2), (2, 4), (3, 4), (4, 8)])
def test_a_job_at_two_entries_is_run_once_and_answered_to_both(
    entries: int, agents: int, gap: float
) -> None:
    """Guards against a task at two endpoints, and a caller without an answer."""
    world = make_world(entries=entries, agents=agents)
    jobs = [f"j{number}" for number in range(6)]
    for job in jobs:
        submit_twice(world, "entry-0", "entry-1", gap, job)
        world.run(0.05)
    world.run(8.0)
    for job in jobs:
        assert world.list_ends(job) == ["completed", "completed"]
    assert count_starts(world) == TASKS_PER_JOB * len(jobs)


@pytest.mark.parametrize("gap", SUBMISSION_GAPS_SECONDS)
@pytest.mark.parametrize("seed", range(6))
def test_a_job_at_two_entries_of_a_partial_mesh_is_run_once(
    seed: int, gap: float
) -> None:
    """Guards against a task at two endpoints where agents connect to some entries."""
    world = make_partial_mesh(seed)
    jobs = [f"j{number}" for number in range(4)]
    for number, job in enumerate(jobs):
        first, second = f"entry-{number}", f"entry-{(number + 1 + seed) % 5}"
        if first != second:
            submit_twice(world, first, second, gap, job)
            world.run(0.05)
    world.run(8.0)
    for number, job in enumerate(jobs):
        if number != (number + 1 + seed) % 5:
            assert world.list_ends(job) == ["completed", "completed"]


@pytest.mark.parametrize("hangs_up", [False, True])
@pytest.mark.parametrize("gap", SUBMISSION_GAPS_SECONDS)
@pytest.mark.parametrize("cut_before", CUT_LEADS_SECONDS)
@pytest.mark.parametrize(("entries", "agents"), [(2, 4), (3, 4)])
def test_a_job_at_two_entries_that_are_cut_off_from_each_other_is_run_once(
    entries: int, agents: int, cut_before: float, gap: float, hangs_up: bool
) -> None:
    """Guards against a task at two endpoints across a cut, noticed or not yet."""
    world = make_world(entries=entries, agents=agents)
    world.cut_link("entry-0", "entry-1")
    world.run(cut_before)
    for number in range(3):
        job = make_job(f"j{number}", width=TASKS_PER_JOB, seconds=RUN_SECONDS)
        caller = world.submit("entry-1", job)
        world.run(gap)
        if hangs_up:
            world.disconnect_caller("entry-1", caller)
        world.submit("entry-0", job)
        world.run(0.02)
    world.run(8.0)
    world.restore_links()
    world.run(3.0)
    for number in range(3):
        # The job may have been granted to the entry of the caller that hung up.
        ends = world.list_ends(f"j{number}")
        assert ends if hangs_up else "completed" in ends


@pytest.mark.parametrize("gap", SUBMISSION_GAPS_SECONDS)
@pytest.mark.parametrize("cut_before", PARTIAL_MESH_CUT_LEADS_SECONDS)
@pytest.mark.parametrize("seed", range(3))
def test_a_job_at_two_cut_off_entries_of_a_partial_mesh_is_run_once(
    seed: int, cut_before: float, gap: float
) -> None:
    """Guards against a task at two endpoints where agents can't tell what runs."""
    world = make_partial_mesh(seed)
    world.cut_link("entry-0", "entry-1")
    world.run(cut_before)
    check_duplicate_jobs(world, gap, 0.02)


@pytest.mark.parametrize("gap", [0.0, 0.0005, 0.01, 0.3])
@pytest.mark.parametrize("started_before", [0.0, 0.001, 0.002, 0.003, 0.005, 0.01, 0.1])
@pytest.mark.parametrize("unreached", [False, True])
def test_a_job_at_two_entries_while_a_third_one_joins_is_run_once(
    unreached: bool, started_before: float, gap: float
) -> None:
    """Guards against two entries that disagree on a job's home, as one joins."""
    world = make_world(entries=3, agents=4)
    if unreached:
        world.power_off("entry-2")
        world.run(14.0)
    world.add_entry("entry-3")
    world.processes["entry-3"].deliver_event(AddressesRead(("entry-2",)))
    world.run(started_before)
    check_duplicate_jobs(world, gap, 0.002)


@pytest.mark.parametrize("gap", [0.0, 0.0005, 0.01, 0.3])
@pytest.mark.parametrize("ended_before", [0.0, 0.001, 0.003, 0.1])
@pytest.mark.parametrize("how", ["kill", "power_off", "suspend", "stop"])
@pytest.mark.parametrize("wide", [False, True])
def test_a_job_at_two_entries_while_a_third_one_is_lost_is_run_once(
    wide: bool, how: str, ended_before: float, gap: float
) -> None:
    """Guards against two entries that disagree on a job's home, as one is lost."""
    world = make_partial_mesh() if wide else make_world(entries=4, agents=4)
    world.run(0.013)
    if how == "stop":
        world.stop("entry-2")
        world.run(2.5)
    else:
        getattr(world, how)("entry-2")
    world.run(ended_before)
    check_duplicate_jobs(world, gap, 0.002)


@pytest.mark.parametrize("gap", [0.0, 0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005])
@pytest.mark.parametrize("cut_before", [0.75, 1.0, 5.0])
@pytest.mark.parametrize("agents", [2, 4])
def test_agents_that_get_claims_in_another_order_let_one_entry_start_the_job(
    agents: int, cut_before: float, gap: float
) -> None:
    """Guards against a task at two endpoints as two entries claim a job at once."""
    world = make_world(entries=2, agents=agents)
    world.cut_link("entry-0", "entry-1")
    world.run(cut_before)
    for number in range(agents):
        # Half of the agents get the frames of entry-0 late, the others those of
        # entry-1.
        world.delay_frames(f"entry-{number % 2}", f"agent-{number}", 0.002)
    check_duplicate_jobs(world, gap, 0.02)


@pytest.mark.parametrize("gap", [0.0, 0.0005, 0.01])
@pytest.mark.parametrize("met_after", [step * 0.04 for step in range(8)])
@pytest.mark.parametrize("cut_before", [0.75, 2.0])
def test_a_job_at_two_cut_off_entries_that_meet_soon_after_is_completed(
    cut_before: float, met_after: float, gap: float
) -> None:
    """Guards against two entries that both give up a job that agents left to one."""
    world = make_world(entries=2, agents=4)
    world.cut_link("entry-0", "entry-1")
    world.run(cut_before)
    submit_twice(world, "entry-1", "entry-0", gap)
    world.run(met_after)
    world.restore_links()
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("gap", [0.0005, 0.01, 0.3, 1.3])
@pytest.mark.parametrize("silent_before", [step * 0.1 for step in range(12)])
@pytest.mark.parametrize("entries", [2, 3])
def test_a_job_at_two_entries_while_all_streams_are_silent_is_run_once(
    entries: int, silent_before: float, gap: float
) -> None:
    """Guards against a task at two endpoints as agents don't get an entry's claim."""
    world = make_world(entries=entries, agents=4)
    # Agents that run something soon notice that their streams are silent.
    for number in range(entries):
        busy = make_job(f"busy-{number}", width=8, seconds=RUN_SECONDS, cpu=1000)
        world.submit(f"entry-{number}", busy)
    world.run(0.1)
    world.blackhole_streams()
    world.run(silent_before)
    job = make_job("j1", width=8, seconds=RUN_SECONDS, cpu=1000)
    world.submit("entry-1", job)
    world.run(gap)
    world.submit("entry-0", job)
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("job", ["j1", "j2", "j3", "j4"])
@pytest.mark.parametrize("hangs_up_after", [0.0, 0.0005, 0.001, 0.0015])
def test_a_job_whose_first_caller_hangs_up_before_the_grant_is_answered_soon(
    hangs_up_after: float, job: str
) -> None:
    """Guards against a grant that stays though its entry has released the job."""
    world = make_world(entries=2, agents=4)
    spec = make_job(job, seconds=0.2)
    for first, second in (("entry-0", "entry-1"), ("entry-1", "entry-0")):
        caller = world.submit(first, spec)
        world.run(hangs_up_after)
        world.disconnect_caller(first, caller)
        world.submit(second, spec)
        world.run(0.4)
        # Runs that the first caller's hanging up ended may have been the second one's.
        assert world.list_ends(job)
        world.results.clear()


@pytest.mark.parametrize("silent_before", [0.0, 0.6, 1.2])
def test_an_owner_that_only_a_third_entry_reaches_is_asked_through_it(
    silent_before: float,
) -> None:
    """Guards against a task at two endpoints as nobody could be asked for its owner."""
    world = make_world(entries=3, agents=4)
    for number in range(3):
        busy = make_job(f"busy-{number}", width=8, seconds=RUN_SECONDS, cpu=1000)
        world.submit(f"entry-{number}", busy)
    world.run(0.1)
    world.cut_link("entry-0", "entry-2")
    world.cut_link("entry-2", "agent-0")
    world.blackhole_streams()
    world.run(silent_before)
    job = make_job("j1", width=8, seconds=RUN_SECONDS, cpu=1000)
    world.submit("entry-0", job)
    world.run(0.8)
    world.submit("entry-2", job)
    world.run(6.0)
    assert "completed" in world.list_ends("j1")


def test_a_home_that_has_just_joined_asks_the_previous_home() -> None:
    """Guards against a new entry that grants a job which is running already."""
    world = make_world(entries=3, agents=4)
    jobs = [f"j{number}" for number in range(12)]
    for other in ("entry-1", "entry-3"):
        world.delay_frames("entry-0", other, 0.3)
    world.delay_frames("entry-2", "entry-3", 0.3)
    for job in jobs:
        world.submit("entry-0", make_job(job, seconds=RUN_SECONDS))
    world.run(0.01)
    world.add_entry("entry-3")
    world.run(0.15)
    for job in jobs:
        world.submit("entry-1", make_job(job, seconds=RUN_SECONDS))
    world.run(8.0)
    for job in jobs:
        assert world.list_ends(job) == ["completed", "completed"]


@pytest.mark.parametrize("submitted_after", [step * 0.002 for step in range(140, 160)])
def test_a_home_that_asked_the_previous_one_waits_for_its_answer(
    submitted_after: float,
) -> None:
    """Guards against two grants, by a home that has become synced and by the other."""
    world = make_world(entries=4, agents=4)
    for previous_home in ("entry-2", "entry-3"):
        world.delay_frames(previous_home, "entry-4", 0.3)
    world.add_entry("entry-4")
    world.run_until(
        lambda: len(world.processes["entry-4"].core.links.list_peers()) == 4
    )
    earlier = tuple(f"entry-{number}" for number in range(4))
    jobs = [
        job
        for job in (f"j{number}" for number in range(60))
        if choose_home(job, (*earlier, "entry-4")) == "entry-4"
        and choose_home(job, earlier) in ("entry-2", "entry-3")
    ]
    for job in jobs:
        world.submit("entry-0", make_job(job, seconds=RUN_SECONDS))
    world.run(submitted_after)
    for job in jobs:
        world.submit("entry-1", make_job(job, seconds=RUN_SECONDS))
    world.run(8.0)
    for job in jobs:
        assert world.list_ends(job) == ["completed", "completed"]


@pytest.mark.parametrize("granted_before", [0.001, 0.003, 0.01])
def test_a_home_that_stops_announces_its_grants(granted_before: float) -> None:
    """Guards against the next home granting a job that is running already."""
    world = make_world(entries=4, agents=4)
    world.stop("entry-2")
    world.run(UNREADY_SECONDS - granted_before - 0.002)
    for other in ("entry-1", "entry-3"):
        world.delay_frames("entry-0", other, 0.1)
    jobs = [f"j{number}" for number in range(12)]
    for job in jobs:
        world.submit("entry-0", make_job(job, seconds=RUN_SECONDS))
    world.run_until(lambda: "entry-2" in world.shut_down, 1.0)
    world.kill("entry-2")
    world.run(0.003)
    for job in jobs:
        world.submit("entry-1", make_job(job, seconds=RUN_SECONDS))
    world.run(8.0)
    for job in jobs:
        assert world.list_ends(job) == ["completed", "completed"]


def test_a_job_submitted_twice_at_an_entry_that_is_not_synced_is_answered_to_both() -> (
    None
):
    """Guards against a second submission that is refused while the first is held."""
    world = make_world(entries=2, agents=2)
    world.power_off("entry-1")
    world.kill("entry-0")
    world.add_entry("entry-0")
    world.run(0.1)
    submit_twice(world, "entry-0", "entry-0", 0.05)
    world.run(8.0)
    assert world.list_ends("j1") == ["completed", "completed"]
