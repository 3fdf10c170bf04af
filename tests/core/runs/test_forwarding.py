"""Jobs that an entry without processor time hands on to another."""

from godwitbank._internal.core.runs.events import (
    ConfigurationRead,
    JobCancelled,
    LagMeasured,
)
from godwitbank._internal.models.jobs import Configuration
from godwitbank._internal.models.resources import Resources
from tests.core.runs.test_happy_path import make_world
from tests.lib.runs_world import QUEUE, RunsWorld, make_job

ENTRIES = ("entry-0", "entry-1")

LATE = 0.02
"""Seconds of lateness at which an entry hands jobs on, but refuses none."""


def make_pressed_world(entries: int = 2) -> RunsWorld:
    """Make a deployment whose first entry is late."""
    world = make_world(entries=entries)
    for _ in range(8):
        world.processes["entry-0"].give(LagMeasured(LATE))
        world.run(0.025)
    return world


def find_server(world: RunsWorld, job: str) -> str:
    """Find the entry that serves a job."""
    return next(
        name
        for name, process in world.processes.items()
        if name.startswith("entry") and job in process.core.dispatcher.jobs
    )


def count_alive(world: RunsWorld) -> int:
    """Count the runs that are alive at endpoints."""
    endpoints = [each for each in world.endpoints.values() if each is not None]
    for endpoint in endpoints:
        endpoint.advance(world.now)
    return sum(len(endpoint.alive) for endpoint in endpoints)


def test_a_job_handed_on_is_served_and_answered() -> None:
    world = make_pressed_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=0.2))
    world.run(0.1)
    assert find_server(world, "j1") == "entry-1"
    world.run(0.4)
    assert world.get_ends("j1") == ["completed"]


def test_a_job_is_not_handed_on_twice() -> None:
    world = make_pressed_world()
    for _ in range(8):
        world.processes["entry-1"].give(LagMeasured(LATE))
        world.run(0.001)
    world.submit("entry-0", make_job("j1", seconds=0.2))
    world.run(0.5)
    assert world.get_ends("j1") == ["completed"]
    sent = [note for _, _, note in world.notes if note.event == "job_forwarded"]
    assert len(sent) <= 1


def test_a_caller_who_comes_again_waits_for_the_job_handed_on() -> None:
    world = make_pressed_world()
    job = make_job("j1", seconds=0.5)
    first = world.submit("entry-0", job)
    world.run(0.1)
    world.submit("entry-0", job)
    world.run(0.01)
    world.hang_up("entry-0", first)
    world.run(1.0)
    assert world.get_ends("j1") == ["completed"]


def test_a_job_handed_on_is_given_up_when_its_caller_hangs_up() -> None:
    # Symptom: endpoints are busy with what nobody waits for. Sequence: an entry hands a
    # job on; its caller hangs up. Cause: the other entry was not told.
    world = make_pressed_world()
    caller = world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    assert count_alive(world) == 4
    world.hang_up("entry-0", caller)
    world.run(0.2)
    assert count_alive(world) == 0
    assert not world.processes["entry-0"].core.forwarding.busy


def test_a_job_handed_on_can_be_cancelled() -> None:
    world = make_pressed_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    assert world.processes["entry-0"].core.intake.has_job("j1")
    world.processes["entry-0"].give(JobCancelled("j1"))
    world.run(0.2)
    assert count_alive(world) == 0
    assert world.get_ends("j1") == ["given_up"]


def test_callers_are_answered_when_the_entry_that_serves_them_is_lost() -> None:
    # Symptom: callers wait until their time is over. Sequence: an entry hands a job on;
    # the other entry's VM loses power. Cause: the first one waits for a result that
    # never comes. Whether the job ran can't be known, and must not be denied.
    world = make_pressed_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    world.darken("entry-1")
    world.run(1.0)
    (result,) = world.results["j1"]
    assert (result.end, result.reason, result.ran) == ("given_up", "cut_off", True)
    assert result.retry_after is not None


def test_runs_end_when_the_entry_that_the_caller_came_to_is_lost() -> None:
    # Symptom: as with a caller who hangs up; and the job, handed in again elsewhere,
    # waits for the one that nobody is waiting for. Sequence: the entry that handed the
    # job on loses power. Cause: the other one went on serving it.
    world = make_pressed_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    world.darken("entry-0")
    world.run(1.0)
    assert count_alive(world) == 0


def test_a_job_handed_on_and_submitted_elsewhere_runs_once_at_a_time() -> None:
    # The world checks after each step that no task runs twice at once.
    world = make_pressed_world(entries=3)
    job = make_job("j1", width=4, seconds=3.0)
    world.submit("entry-0", job)
    world.run(0.1)
    third = {"entry-1", "entry-2"} - {find_server(world, "j1")}
    world.kill("entry-0")
    world.run(1.3)
    world.submit(third.pop(), job)
    world.run(4.0)
    assert world.get_ends("j1") == ["completed"]


def test_a_stopping_entry_waits_for_what_it_handed_on() -> None:
    world = make_pressed_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=3.0))
    world.run(0.1)
    world.stop("entry-0")
    world.run(2.8)
    assert "entry-0" not in world.quiet
    world.run(0.5)
    assert world.get_ends("j1") == ["completed"]
    assert "entry-0" in world.quiet


def make_world_of_two_halves() -> RunsWorld:
    """Make entries that meet one half of the agents each."""
    world = RunsWorld(entries_per_agent=1)
    world.add_entry("entry-0")
    world.add_entry("entry-1")
    for number in range(8):
        world.add_agent(f"agent-{number}", Resources(2000, 10**6, 0))
    world.run(3.0)
    return world


def test_a_job_goes_where_there_is_room_though_its_entry_has_none() -> None:
    # Symptom: callers of one entry are refused while endpoints idle. Sequence: callers
    # come to entries unevenly, as the balancer spreads them by a hash; each entry meets
    # some of the agents only; those of one entry are full. Cause: only the room at the
    # agents that an entry meets was looked at.
    world = make_world_of_two_halves()
    met = [len(world.processes[name].core.dispatcher.fleet.views) for name in ENTRIES]
    assert min(met) >= 3
    jobs = [f"j{number}" for number in range(met[0] + 4)]
    for job in jobs:
        world.submit("entry-0", make_job(job, seconds=1.0, cpu=2000))
        world.run(0.25 if job == jobs[met[0]] else 0.01)
    world.run(4.0)
    assert [world.get_ends(job) for job in jobs] == [["completed"]] * len(jobs)


def test_a_job_is_refused_at_once_while_all_entries_are_full() -> None:
    world = make_world_of_two_halves()
    for number in range(24):
        world.submit(ENTRIES[number % 2], make_job(f"old{number}", seconds=9, cpu=2000))
    world.run(0.5)
    late = [f"late{number}" for number in range(4)]
    for job in late:
        world.submit("entry-0", make_job(job, seconds=0.3, cpu=2000))
        world.run(0.01)
    results = [result for job in late for result in world.results[job]]
    assert len(results) >= 2
    assert {(result.end, result.ran) for result in results} == {("refused", False)}


def test_a_job_of_a_queue_just_added_is_handed_to_an_entry_that_knows_it() -> None:
    world = make_pressed_world()
    added = QUEUE._replace(name="added", prefix="/added/")
    newer = Configuration(7, (QUEUE, added), 10**6)
    world.processes["entry-0"].give(ConfigurationRead(newer))
    world.submit("entry-0", make_job("j1", seconds=0.2, queue="added"))
    world.run(0.1)
    assert find_server(world, "j1") == "entry-1"
    world.run(0.4)
    assert world.get_ends("j1") == ["completed"]
