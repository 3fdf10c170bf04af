"""Jobs that an overloaded entry forwards to another entry."""

import pytest

from godwitbank._internal.core.runs.events import (
    ConfigurationRead,
    JobCancelled,
    LagMeasured,
)
from godwitbank._internal.models.jobs import Configuration
from godwitbank._internal.models.resources import Resources
from tests.core.runs.test_happy_path import make_world
from tests.lib.run_cluster import QUEUE, RunCluster, make_job

ENTRIES = ("entry-0", "entry-1")

LAG_SECONDS = 0.02
"""Event loop lag in seconds at which an entry forwards jobs, but refuses none."""


def make_lagging_world(entries: int = 2) -> RunCluster:
    """Make a deployment whose first entry has a high event loop lag."""
    world = make_world(entries=entries)
    for _ in range(8):
        world.processes["entry-0"].deliver_event(LagMeasured(LAG_SECONDS))
        world.run(0.025)
    return world


def find_server(world: RunCluster, job: str) -> str:
    """Return the entry that serves a job."""
    return next(
        name
        for name, process in world.processes.items()
        if name.startswith("entry") and job in process.core.dispatcher.jobs
    )


def count_alive(world: RunCluster) -> int:
    """Count the runs in progress at endpoints."""
    endpoints = [each for each in world.endpoints.values() if each is not None]
    for endpoint in endpoints:
        endpoint.advance(world.now)
    return sum(len(endpoint.active_runs) for endpoint in endpoints)


def test_forwarded_job_is_served_and_answered() -> None:
    world = make_lagging_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=0.2))
    world.run(0.1)
    assert find_server(world, "j1") == "entry-1"
    world.run(0.4)
    assert world.list_ends("j1") == ["completed"]


@pytest.mark.parametrize("first", ENTRIES)
@pytest.mark.parametrize("gap", [0.0, 0.0002, 0.0005, 0.001, 0.0015, 0.002, 0.005])
@pytest.mark.parametrize("job", ["j1", "j2", "j3", "j4"])
@pytest.mark.parametrize("entries", [2, 3])
def test_job_forwarded_to_an_entry_that_requests_it_is_started_there(
    entries: int, job: str, gap: float, first: str
) -> None:
    """Guards against two entries that each wait for the other one to start a job."""
    world = make_lagging_world(entries)
    spec = make_job(job, width=2, seconds=0.2)
    world.submit(first, spec)
    world.run(gap)
    world.submit("entry-1" if first == "entry-0" else "entry-0", spec)
    world.run(1.0)
    assert world.list_ends(job) == ["completed", "completed"]


def test_job_is_not_forwarded_twice() -> None:
    world = make_lagging_world()
    for _ in range(8):
        world.processes["entry-1"].deliver_event(LagMeasured(LAG_SECONDS))
        world.run(0.001)
    world.submit("entry-0", make_job("j1", seconds=0.2))
    world.run(0.5)
    assert world.list_ends("j1") == ["completed"]
    sent = [note for _, _, note in world.log_decisions if note.event == "job_forwarded"]
    assert len(sent) <= 1


def test_caller_that_submits_again_joins_the_forwarded_job() -> None:
    world = make_lagging_world()
    job = make_job("j1", seconds=0.5)
    first = world.submit("entry-0", job)
    world.run(0.1)
    world.submit("entry-0", job)
    world.run(0.01)
    world.disconnect_caller("entry-0", first)
    world.run(1.0)
    assert world.list_ends("j1") == ["completed"]


def test_forwarded_job_is_given_up_when_its_caller_disconnects() -> None:
    # Guards against endpoints that are busy with a job that no caller waits for,
    # because the entry that it was forwarded to did not learn that the caller
    # disconnected.
    world = make_lagging_world()
    caller = world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    assert count_alive(world) == 4
    world.disconnect_caller("entry-0", caller)
    world.run(0.2)
    assert count_alive(world) == 0
    assert not world.processes["entry-0"].core.forwarding.busy


def test_forwarded_job_can_be_cancelled() -> None:
    world = make_lagging_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    assert world.processes["entry-0"].core.intake.has_job("j1")
    world.processes["entry-0"].deliver_event(JobCancelled("j1"))
    world.run(0.2)
    assert count_alive(world) == 0
    assert world.list_ends("j1") == ["given_up"]


def test_callers_are_answered_when_the_serving_entry_is_lost() -> None:
    # Guards against callers that wait until their timeout: an entry forwards a job,
    # and the VM of the other entry loses power, so that the result never arrives. The
    # first entry can't know whether the job ran, and must report that it may have.
    world = make_lagging_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    world.power_off("entry-1")
    world.run(1.0)
    (result,) = world.results["j1"]
    assert (result.end, result.reason, result.ran) == ("given_up", "cut_off", True)
    assert result.retry_after is not None


def test_runs_end_when_the_forwarding_entry_is_lost() -> None:
    # Guards against an entry that continues to serve a forwarded job after the entry
    # that forwarded it has lost power. Endpoints are then busy with a job that no
    # caller waits for, and the same job, submitted again elsewhere, waits for its end.
    world = make_lagging_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(0.1)
    world.power_off("entry-0")
    world.run(1.0)
    assert count_alive(world) == 0


def test_job_forwarded_and_submitted_elsewhere_runs_once_at_a_time() -> None:
    # ``RunCluster`` checks after each step that no task runs twice at once.
    world = make_lagging_world(entries=3)
    job = make_job("j1", width=4, seconds=3.0)
    world.submit("entry-0", job)
    world.run(0.1)
    third = {"entry-1", "entry-2"} - {find_server(world, "j1")}
    world.kill("entry-0")
    world.run(1.3)
    world.submit(third.pop(), job)
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]


def test_stopping_entry_waits_for_forwarded_jobs() -> None:
    world = make_lagging_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=3.0))
    world.run(0.1)
    world.stop("entry-0")
    world.run(2.8)
    assert "entry-0" not in world.shut_down
    world.run(0.5)
    assert world.list_ends("j1") == ["completed"]
    assert "entry-0" in world.shut_down


def make_split_world() -> RunCluster:
    """Make two entries that are connected to one half of the agents each."""
    world = RunCluster(entries_per_agent=1)
    world.add_entry("entry-0")
    world.add_entry("entry-1")
    for number in range(8):
        world.add_agent(f"agent-{number}", Resources(2000, 10**6, 0))
    world.run(3.0)
    return world


def test_job_is_forwarded_to_an_entry_with_free_capacity() -> None:
    # Guards against callers of one entry that are refused while endpoints are idle. The
    # load balancer spreads callers by a hash and thus unevenly, and each entry is
    # connected to some of the agents only. When these are full, the free capacity at
    # other agents must be used.
    world = make_split_world()
    connected = [
        len(world.processes[name].core.dispatcher.fleet.views) for name in ENTRIES
    ]
    assert min(connected) >= 3
    jobs = [f"j{number}" for number in range(connected[0] + 4)]
    for job in jobs:
        world.submit("entry-0", make_job(job, seconds=1.0, cpu=2000))
        world.run(0.25 if job == jobs[connected[0]] else 0.01)
    world.run(4.0)
    assert [world.list_ends(job) for job in jobs] == [["completed"]] * len(jobs)


def test_job_is_refused_at_once_while_no_entry_has_capacity() -> None:
    world = make_split_world()
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


def test_job_of_a_new_queue_is_forwarded_to_an_entry_that_knows_the_queue() -> None:
    world = make_lagging_world()
    added = QUEUE._replace(name="added", prefix="/added/")
    newer = Configuration(7, (QUEUE, added), 10**6)
    world.processes["entry-0"].deliver_event(ConfigurationRead(newer))
    world.submit("entry-0", make_job("j1", seconds=0.2, queue="added"))
    world.run(0.1)
    assert find_server(world, "j1") == "entry-1"
    world.run(0.4)
    assert world.list_ends("j1") == ["completed"]
