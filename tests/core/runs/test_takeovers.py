"""A job whose caller comes to another entry while its first runs can't be reached.

``RunsWorld`` checks after every step that no task runs twice at once.
"""

import pytest

from godwitbank._internal.core.runs.events import AddressesRead
from godwitbank._internal.core.runs.links import IDLE_TIMEOUT_SECONDS
from tests.core.runs.test_failures import list_agents_running
from tests.core.runs.test_happy_path import make_world
from tests.core.runs.test_partial_mesh import make_partial_mesh
from tests.lib.runs_world import RunsWorld, make_job

RESUBMIT_SECONDS = 1.3
"""Seconds after a broken connection at which callers submit again."""

JOB = make_job("j1", width=16, seconds=1.8)


def run_until(world: RunsWorld, at: float) -> None:
    """Let time pass up to a moment."""
    world.run(at - world.now)


def kill_and_restart_entries(world: RunsWorld, *entries: str) -> None:
    """Kill entries, and start them again 0.2 s later with no memory of anything."""
    for entry in entries:
        world.kill(entry)
        world.after(0.2, lambda entry=entry: world.add_entry(entry))


@pytest.mark.parametrize("agent_dies", [0.1, 0.3, 0.45, 0.6, 0.68])
def test_runs_end_with_their_entry_though_their_agent_dies_before_it_stops_them(
    agent_dies: float,
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: an agent is cut off from its
    # entry; the entry is killed, which the agent doesn't see; it goes on renewing the
    # lease, and is killed itself before the silence tells it. The entries that knew of
    # the job are killed, too. Its caller comes again after 1.3 s; nobody knows of the
    # job, and it starts while the first runs live on under the dead agent's lease.
    # Cause: that lease was granted for a second from each renewal, however long ago the
    # entry had lived: runs outlived it by the silence and the lease, 1.7 s. The log
    # shows the agent's last renewals after the entry's end, and its endpoint's run
    # listed beside the new one.
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
    world.heal()
    world.add_agent(agent)
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


@pytest.mark.parametrize("agent_dies", [0.3, 0.5, 0.6, 0.68])
def test_runs_end_with_their_entry_where_agents_meet_some_entries_only(
    agent_dies: float,
) -> None:
    # Symptom, cause: as above. Sequence: an entry loses its power; an agent that runs
    # its job is killed just before it would have noticed; all that knew of the job are
    # gone as well. The caller's connection broke unnoticed a moment before; its new
    # entry asks others, for whom the first one is gone, and starts the job at once.
    world = RunsWorld(entries_per_agent=2)
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
    world.darken("entry-2")
    kill_and_restart_entries(world, "entry-0", "entry-1", "entry-3", "entry-4")
    run_until(world, darkened_at + agent_dies)
    world.kill(agent)
    run_until(world, broke_at + RESUBMIT_SECONDS)
    world.submit("entry-3", JOB)
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


@pytest.mark.parametrize("darkened_after", [0.0, 0.004, 0.09])
@pytest.mark.parametrize("asked_after", [0.1, 0.2, 0.4, 0.6])
def test_an_agent_out_of_reach_is_not_taken_for_one_that_runs_nothing(
    darkened_after: float, asked_after: float
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: an entry is suspended; another
    # takes a job. The first is cut off from an agent that runs it, and wakes up; the
    # other loses its power a moment later. The job's caller, whose connection broke
    # unnoticed, comes to the entry that woke up. That one asks the agents that it
    # reaches and starts the job. Cause: it went on as before, as if it knew what others
    # had taken while it stood still. Its log has no `job_delayed` for the job, and
    # `job_accepted` 50 ms after the submission.
    world = make_world(entries=3, agents=4)
    world.freeze("entry-2")
    world.run(0.8)
    world.submit("entry-0", JOB)
    world.run_until(lambda: bool(list_agents_running(world, "j1")), 1.0)
    world.run(0.2)
    world.cut_link("entry-2", list_agents_running(world, "j1")[0])
    world.run(1.0)
    world.thaw("entry-2")
    world.run(darkened_after)
    world.darken("entry-0")
    world.run(asked_after)
    world.submit("entry-2", JOB)
    world.run(8.0)
    assert world.get_ends("j1")


@pytest.mark.parametrize("taken_after", [1.3, 1.6, 1.9])
@pytest.mark.parametrize("wakes_after", [0.1, 0.4, 0.75])
def test_an_entry_that_wakes_up_starts_nothing_before_it_has_heard_others(
    taken_after: float, wakes_after: float
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: an entry is suspended with a job
    # in flight; the caller submits it to another one, which was started meanwhile and
    # can't reach one of the agents. The first wakes up, and starts the job again at
    # that agent before it has a stream to the other entry. Cause, as above: it went on
    # with its jobs. Its log has `run_sent` for the tasks 58 ms after its waking, and
    # `job_ended` with `submitted_elsewhere` 2 ms later.
    world = make_world(entries=2, agents=3)
    world.submit("entry-1", JOB)
    world.run(0.2)
    world.freeze("entry-1")
    world.run(0.8)
    world.kill("entry-0")
    world.add_entry("entry-0")
    world.cut_link("entry-0", "agent-1")
    world.run(taken_after - 0.8)
    world.submit("entry-0", JOB)
    world.run(wakes_after)
    world.thaw("entry-1")
    world.run(8.0)
    assert world.get_ends("j1")


@pytest.mark.parametrize("darkened_after", [0.9, 1.1, 1.25])
@pytest.mark.parametrize("met_before", [True, False])
def test_an_agent_that_can_not_be_asked_counts_until_its_leases_are_over(
    darkened_after: float, met_before: bool
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: an entry is cut off from another
    # one and from an agent. The other takes a job, runs it there, and loses its power;
    # the caller, whose connection broke before, comes to the first one. That one asks
    # the agents it reaches, for 50 ms, and starts the job. Cause: an agent that didn't
    # answer, or that it had no stream to, counted as one that runs nothing; and the
    # third entry, which knew of the job, wasn't asked, as agents were thought to be
    # enough. The log has `job_accepted` 50 ms after the submission.
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
    world.darken("entry-0")
    world.run(0.05 + RESUBMIT_SECONDS - darkened_after)
    world.submit("entry-2", JOB)
    world.run(8.0)
    assert world.get_ends("j1")


def test_an_agent_that_still_stops_runs_is_waited_for() -> None:
    # Symptom: a task runs at two endpoints for some milliseconds. Sequence: two entries
    # can't reach each other, and nobody else is there. One takes a job, whose caller
    # comes to the other. An agent is told that the job goes to that one, and stops its
    # runs, which takes longer than an agent is given to answer.
    world = make_world(entries=2, agents=3)
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", JOB)
    world.run(RESUBMIT_SECONDS)
    for agent in ("agent-0", "agent-1", "agent-2"):
        world.delay_frames(agent, "entry-1", 0.03)
    world.submit("entry-1", JOB)
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


@pytest.mark.parametrize("second_after", [0.2, 0.4, 0.6])
def test_two_entries_that_wait_for_the_same_do_not_start_a_job_together(
    second_after: float,
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: two entries that can't reach each
    # other are started anew, and wait until nothing of before can run. A job comes to
    # one and, as its caller's connection breaks, to the other. They reach each other,
    # know all at once, and both start it. Cause: what waited was told to nobody. Both
    # logs have `job_accepted` at the same millisecond.
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
    world.heal()
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


@pytest.mark.parametrize("agent_dies", [0.5, 0.6, 0.65])
def test_a_job_of_a_lost_entry_waits_though_nobody_can_tell_of_it(
    agent_dies: float,
) -> None:
    # Symptom, cause: as for an agent that can't be asked. Sequence: two entries and two
    # agents are cut off from each other; the other entry takes a job and loses its
    # power, and an agent that runs the job is killed before it notices. Nobody is left
    # who knew of the job when its caller comes to the first entry.
    world = make_world(entries=2, agents=3)
    for agent in ("agent-0", "agent-1"):
        world.cut_link("entry-1", agent)
    world.run(IDLE_TIMEOUT_SECONDS + 1.0)
    world.cut_link("entry-1", "entry-0")
    world.run(0.1)
    world.submit("entry-0", JOB)
    world.run(0.6)
    submitted_at = world.now - 0.6
    world.darken("entry-0")
    world.run(agent_dies)
    world.kill("agent-0")
    run_until(world, submitted_at + RESUBMIT_SECONDS)
    world.submit("entry-1", JOB)
    world.run(8.0)
    assert world.get_ends("j1")


@pytest.mark.parametrize("patience", [0.3, 0.7])
def test_a_caller_is_answered_when_its_time_is_over_while_its_job_waits(
    patience: float,
) -> None:
    # Symptom: a caller is told nothing until its own time limit. Sequence: an entry has
    # just started and can't reach another one; a job with little time comes and waits.
    # Cause: only jobs that had been taken had their time looked at.
    world = make_world(entries=2, agents=3)
    world.kill("entry-1")
    world.darken("entry-0")
    world.add_entry("entry-0")
    world.run(0.05)
    submitted_at = world.now
    world.submit("entry-0", JOB, patience)
    world.run(patience + 0.2)
    ((result, at),) = world.results_at["j1"]
    assert (result.end, result.ran) == ("given_up", True)
    assert result.retry_after
    assert at < submitted_at + patience + 0.1


def test_an_entry_started_later_knows_the_jobs_at_agents_that_it_does_not_meet() -> (
    None
):
    # Symptom: a task runs twice. Sequence: a job is in flight at one entry; another is
    # started, whose agents don't run it; the caller's connection breaks unnoticed and
    # it goes to the new one. Cause: takings were told only when they happened.
    world = make_partial_mesh()
    world.submit("entry-0", JOB)
    world.run(0.1)
    world.kill("entry-3")
    world.add_entry("entry-3")
    world.run(RESUBMIT_SECONDS)
    world.submit("entry-3", JOB)
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


@pytest.mark.parametrize("frozen_before", [0.02, 0.1, 0.3])
def test_an_entry_that_did_not_know_who_had_a_job_is_told_by_others(
    frozen_before: float,
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: an entry is started, and can't
    # reach the one that has a job; a third knows of it. The caller submits the job to
    # the new entry, which tells the third that it waits there. An agent that runs the
    # job stands still. The new entry learns that the first one lives, and starts the
    # job. Cause: the third entry remembered only who had the job last, and what it
    # passed on of the first one lacked it; the new one's log has `peer_located` with
    # `gone` false right before `job_accepted`.
    world = make_world(entries=3, agents=4)
    world.submit("entry-0", make_job("j1", width=16, seconds=6.0))
    world.run(0.3)
    world.kill("entry-2")
    world.cut_link("entry-2", "entry-0")
    world.run(0.7)
    # The third entry has no question of the first one to answer: it is started anew.
    world.kill("entry-1")
    world.add_entry("entry-1")
    world.run(0.3)
    world.add_entry("entry-2")
    world.processes["entry-2"].give(AddressesRead(("entry-0",)))
    started_at = world.now
    world.run(0.4)
    world.submit("entry-2", make_job("j1", width=16, seconds=6.0))
    run_until(world, started_at + 1.1 - frozen_before)
    world.freeze("agent-3")
    world.run(0.55)
    world.thaw("agent-3")
    world.run(8.0)
    assert world.get_ends("j1")


@pytest.mark.parametrize("asked_after", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25])
def test_an_agent_that_stands_still_is_waited_for_until_its_leases_are_over(
    asked_after: float,
) -> None:
    # Symptom: a task runs at two endpoints. Sequence: two entries can't reach each
    # other, and nobody else is there to ask. One takes a job, whose caller comes to the
    # other; an agent that runs it stands still. Cause: the time after which a stream
    # counts as dead was taken for the one after which its agent's runs are over.
    world = make_world(entries=2, agents=3)
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", make_job("j1", width=16, seconds=4.0))
    world.run(RESUBMIT_SECONDS + asked_after)
    world.freeze("agent-0")
    world.submit("entry-1", make_job("j1", width=16, seconds=4.0))
    world.run(1.5)
    world.thaw("agent-0")
    world.run(8.0)
    assert world.get_ends("j1")
