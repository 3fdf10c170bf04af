"""A job that is submitted at another entry while its first runs are unreachable.

``RunCluster`` checks after every step that no task runs twice at once.
"""

import pytest

from godwitbank._internal.core.runs.events import AddressesRead
from godwitbank._internal.core.runs.links import IDLE_TIMEOUT_SECONDS
from tests.core.runs.test_failures import list_agents_running
from tests.core.runs.test_happy_path import make_world
from tests.core.runs.test_partial_mesh import make_partial_mesh
from tests.lib.run_cluster import RunCluster, make_job

RESUBMIT_SECONDS = 1.3
"""Seconds from a broken connection to the caller's next submission."""

JOB = make_job("j1", width=16, seconds=1.8)


def run_until(world: RunCluster, at: float) -> None:
    """Run the world up to a time, in seconds."""
    world.run(at - world.now)


def kill_and_restart_entries(world: RunCluster, *entries: str) -> None:
    """Kill entries, and start new processes in their place 0.2 s later."""
    for entry in entries:
        world.kill(entry)
        world.after(0.2, lambda entry=entry: world.add_entry(entry))


@pytest.mark.parametrize("agent_dies", [0.1, 0.3, 0.45, 0.6, 0.68])
def test_runs_end_with_their_entry_though_their_agent_dies_before_it_stops_them(
    agent_dies: float,
) -> None:
    # Guards against a task at two endpoints after a lease that outlives its entry. An
    # agent that is cut off from its killed entry renews the lease until the stream
    # times out, and is killed before that. If a renewal grants a full second however
    # long ago the entry was alive, runs outlive the entry by the timeout and the lease,
    # 1.7 s. The caller submits again after 1.3 s, when no process knows the job. The
    # log then shows renewals after the entry's end and the old run listed beside the
    # new one.
    world = make_world(entries=3, agents=4)
    world.submit("entry-0", JOB)
    world.run(0.1)
    agent = list_agents_running(world, "j1")[0]
    world.cut_link("entry-0", agent)
    world.run(0.01)
    killed_at = world.now
    world.kill("entry-0")
    world.after(0.7, lambda: world.add_entry("entry-0"))
    run_until(world, killed_at + agent_dies)
    world.kill(agent)
    run_until(world, killed_at + 0.69)
    kill_and_restart_entries(world, "entry-1", "entry-2")
    run_until(world, killed_at + RESUBMIT_SECONDS)
    world.submit("entry-0", JOB)
    world.restore_links()
    world.add_agent(agent)
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("agent_dies", [0.3, 0.5, 0.6, 0.68])
def test_runs_end_with_their_entry_in_a_partial_mesh(
    agent_dies: float,
) -> None:
    # Guards against the same failure where each agent has streams to two of five
    # entries. An entry loses power, an agent that runs its job is killed just before it
    # would notice, and the other entries are restarted. The caller's connection broke
    # shortly before. Its new entry probes the first one through others, learns that it
    # is gone, and starts the job at once.
    world = RunCluster(entries_per_agent=2)
    for number in range(5):
        world.add_entry(f"entry-{number}")
    for number in range(12):
        world.add_agent(f"agent-{number}")
    world.run(3.0)
    world.submit("entry-2", JOB)
    world.run(0.4)
    agent = list_agents_running(world, "j1")[0]
    broke_at = world.now
    world.run(0.05)
    darkened_at = world.now
    world.power_off("entry-2")
    kill_and_restart_entries(world, "entry-0", "entry-1", "entry-3", "entry-4")
    run_until(world, darkened_at + agent_dies)
    world.kill(agent)
    run_until(world, broke_at + RESUBMIT_SECONDS)
    world.submit("entry-3", JOB)
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("darkened_after", [0.0, 0.004, 0.09])
@pytest.mark.parametrize("asked_after", [0.1, 0.2, 0.4, 0.6])
def test_an_unreachable_agent_may_still_run_the_job(
    darkened_after: float, asked_after: float
) -> None:
    # Guards against a task at two endpoints because a resumed entry trusts what it knew
    # before its pause. During the pause, another entry accepts a job, and the paused
    # one is cut off from an agent that runs it. After the pause, the other entry loses
    # power and the job is submitted at the resumed one, which claims it at the agents
    # that it reaches and starts it. Its log then has no `job_delayed` for the job, and
    # `job_accepted` 50 ms after the submission.
    world = make_world(entries=3, agents=4)
    world.suspend("entry-2")
    world.run(0.8)
    world.submit("entry-0", JOB)
    world.run_until(lambda: bool(list_agents_running(world, "j1")), 1.0)
    world.run(0.2)
    world.cut_link("entry-2", list_agents_running(world, "j1")[0])
    world.run(1.0)
    world.resume("entry-2")
    world.run(darkened_after)
    world.power_off("entry-0")
    world.run(asked_after)
    world.submit("entry-2", JOB)
    world.run(8.0)
    assert world.list_ends("j1")


@pytest.mark.parametrize("taken_after", [1.3, 1.6, 1.9])
@pytest.mark.parametrize("wakes_after", [0.1, 0.4, 0.75])
def test_a_resumed_entry_starts_nothing_before_others_announced_their_jobs(
    taken_after: float, wakes_after: float
) -> None:
    # Guards against a task at two endpoints because a resumed entry continues with its
    # jobs. While it is paused, its caller submits the job at another entry, which was
    # just started and can't reach one of the agents. The resumed entry starts the job
    # again at that agent before it is connected to the other entry. Its log then has
    # `run_sent` for the tasks 58 ms after the pause, and `job_ended` with
    # `submitted_elsewhere` 2 ms later.
    world = make_world(entries=2, agents=3)
    world.submit("entry-1", JOB)
    world.run(0.2)
    world.suspend("entry-1")
    world.run(0.8)
    world.kill("entry-0")
    world.add_entry("entry-0")
    world.cut_link("entry-0", "agent-1")
    world.run(taken_after - 0.8)
    world.submit("entry-0", JOB)
    world.run(wakes_after)
    world.resume("entry-1")
    world.run(8.0)
    assert world.list_ends("j1")


@pytest.mark.parametrize("darkened_after", [0.9, 1.1, 1.25])
@pytest.mark.parametrize("met_before", [True, False])
def test_an_agent_that_can_not_be_asked_may_run_the_job_until_its_leases_end(
    darkened_after: float, met_before: bool
) -> None:
    # Guards against a task at two endpoints if an agent that doesn't answer a claim, or
    # has no stream to the claiming entry, counts as one without runs, and if a third
    # entry that knows the job isn't probed because agents seem to be enough. An entry
    # is cut off from another one and from an agent. The other entry runs a job there
    # and loses power, and the job is submitted at the first one. That one claims it for
    # 50 ms at the agents that it reaches, and starts it. The log then has
    # `job_accepted` 50 ms after the submission.
    world = make_world(entries=3, agents=4)
    if not met_before:
        world.kill("entry-2")
        world.run(0.1)
        for agent in ("agent-0", "agent-1"):
            world.cut_link("entry-2", agent)
        world.add_entry("entry-2")
        world.run(1.5)
    for process in ("entry-0", "agent-0", "agent-1"):
        world.cut_link("entry-2", process)
    world.run(0.1)
    world.submit("entry-0", JOB)
    world.run(darkened_after)
    world.power_off("entry-0")
    world.run(0.05 + RESUBMIT_SECONDS - darkened_after)
    world.submit("entry-2", JOB)
    world.run(8.0)
    assert world.list_ends("j1")


def test_an_agent_that_still_stops_runs_is_waited_for() -> None:
    # Guards against a task at two endpoints for some milliseconds. Of two entries that
    # can't reach each other, one runs a job that is then submitted at the other. An
    # agent gets that entry's claim and stops the runs, which takes longer than agents
    # have to answer a claim.
    world = make_world(entries=2, agents=3)
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", JOB)
    world.run(RESUBMIT_SECONDS)
    for agent in ("agent-0", "agent-1", "agent-2"):
        world.delay_frames(agent, "entry-1", 0.03)
    world.submit("entry-1", JOB)
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("second_after", [0.2, 0.4, 0.6])
def test_two_entries_that_wait_for_old_runs_to_expire_do_not_both_start_a_job(
    second_after: float,
) -> None:
    # Guards against a task at two endpoints because held jobs aren't announced. Two
    # restarted entries that can't reach each other wait until older runs have expired.
    # A job is submitted at one and, after its caller's connection breaks, at the other.
    # They connect, are synced at the same time, and both start it. Both logs then have
    # `job_accepted` at the same millisecond.
    world = make_world(entries=2, agents=3)
    world.kill("entry-0")
    world.kill("entry-1")
    world.run(2.0)
    world.cut_link("entry-0", "entry-1")
    world.add_entry("entry-0")
    world.add_entry("entry-1")
    world.run(0.1)
    world.submit("entry-0", JOB)
    world.run(second_after)
    world.submit("entry-1", JOB)
    world.run(0.1)
    world.restore_links()
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("agent_dies", [0.5, 0.6, 0.65])
def test_a_job_of_a_lost_entry_waits_though_no_process_left_knows_it(
    agent_dies: float,
) -> None:
    # Guards against a task at two endpoints if an agent that can't be asked counts as
    # one without runs. An entry is cut off from another one and from two agents. The
    # other entry starts a job and loses power, and an agent that runs the job is killed
    # before it notices. No process is left that knows the job when it is submitted at
    # the first entry.
    world = make_world(entries=2, agents=3)
    for agent in ("agent-0", "agent-1"):
        world.cut_link("entry-1", agent)
    world.run(IDLE_TIMEOUT_SECONDS + 1.0)
    world.cut_link("entry-1", "entry-0")
    world.run(0.1)
    world.submit("entry-0", JOB)
    world.run(0.6)
    submitted_at = world.now - 0.6
    world.power_off("entry-0")
    world.run(agent_dies)
    world.kill("agent-0")
    run_until(world, submitted_at + RESUBMIT_SECONDS)
    world.submit("entry-1", JOB)
    world.run(8.0)
    assert world.list_ends("j1")


@pytest.mark.parametrize("patience", [0.3, 0.7])
def test_a_caller_is_answered_at_its_deadline_while_its_job_waits(
    patience: float,
) -> None:
    # Guards against a caller that gets no answer until its own timeout. A job with a
    # short deadline is held by an entry that was just started and can't reach another
    # one; if deadlines are checked for started jobs only, the held one is missed.
    world = make_world(entries=2, agents=3)
    world.kill("entry-1")
    world.power_off("entry-0")
    world.add_entry("entry-0")
    world.run(0.05)
    submitted_at = world.now
    world.submit("entry-0", JOB, patience)
    world.run(patience + 0.2)
    ((result, at),) = world.timed_results["j1"]
    assert (result.end, result.ran) == ("given_up", True)
    assert result.retry_after
    assert at < submitted_at + patience + 0.1


def test_an_entry_started_later_knows_the_jobs_at_agents_without_a_stream_to_it() -> (
    None
):
    # Guards against a task that runs twice if owners are announced only when a job
    # starts. An entry is started later whose agents don't run the job, and the job's
    # caller submits it again there.
    world = make_partial_mesh()
    world.submit("entry-0", JOB)
    world.run(0.1)
    world.kill("entry-3")
    world.add_entry("entry-3")
    world.run(RESUBMIT_SECONDS)
    world.submit("entry-3", JOB)
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


@pytest.mark.parametrize("frozen_before", [0.02, 0.1, 0.3])
def test_an_entry_that_did_not_know_the_owner_of_a_job_is_told_by_others(
    frozen_before: float,
) -> None:
    # Guards against a task at two endpoints if an entry forgets a job's previous owner.
    # A new entry can't reach the owner of a job; a third entry knows the owner. The job
    # is submitted at the new entry, which announces it to the third. An agent that runs
    # it is paused. The new entry learns that the first one is alive and starts the job,
    # as the third entry kept only the last owner, and left the job out when it
    # forwarded the jobs of the first one. The new entry's log then has `peer_located`
    # with `gone` false right before `job_accepted`.
    world = make_world(entries=3, agents=4)
    world.submit("entry-0", make_job("j1", width=16, seconds=6.0))
    world.run(0.3)
    world.kill("entry-2")
    world.cut_link("entry-2", "entry-0")
    world.run(0.7)
    # A restarted third entry has no probe of the first one to answer.
    world.kill("entry-1")
    world.add_entry("entry-1")
    world.run(0.3)
    world.add_entry("entry-2")
    world.processes["entry-2"].deliver_event(AddressesRead(("entry-0",)))
    started_at = world.now
    world.run(0.4)
    world.submit("entry-2", make_job("j1", width=16, seconds=6.0))
    run_until(world, started_at + 1.1 - frozen_before)
    world.suspend("agent-3")
    world.run(0.55)
    world.resume("agent-3")
    world.run(8.0)
    assert world.list_ends("j1")


@pytest.mark.parametrize("asked_after", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25])
def test_a_paused_agent_is_waited_for_until_its_leases_expire(
    asked_after: float,
) -> None:
    # Guards against a task at two endpoints if the timeout of a stream is mistaken for
    # the time after which the runs of its agent have expired. Of two entries that can't
    # reach each other, one runs a job that is then submitted at the other, while an
    # agent that runs it is paused. No third entry can be probed.
    world = make_world(entries=2, agents=3)
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", make_job("j1", width=16, seconds=4.0))
    world.run(RESUBMIT_SECONDS + asked_after)
    world.suspend("agent-0")
    world.submit("entry-1", make_job("j1", width=16, seconds=4.0))
    world.run(1.5)
    world.resume("agent-0")
    world.run(8.0)
    assert world.list_ends("j1")
