"""Leased runs under failures: nothing runs twice at once, nothing is overfull.

``RunsWorld`` checks both after every step; the tests bring about the danger and
say what the callers must see.
"""

import pytest
from standins.leased_endpoint import Behaviour, FakeEndpoint

from godwitbank._internal.core.runs.events import ReportReceived, StoredReportRead
from godwitbank._internal.models.resources import Resources
from tests.core.runs.test_happy_path import make_world
from tests.lib.runs_world import QUEUE, RunsWorld, make_job


def list_agents_running(world: RunsWorld, job: str) -> list[str]:
    """List the agents whose endpoints run something of a job."""
    return [
        name
        for name, endpoint in world.endpoints.items()
        if endpoint and any(task.startswith(job) for task in endpoint.alive)
    ]


def test_an_order_carried_out_late_starts_nothing() -> None:
    # Symptom: a task runs on two endpoints. Sequence: an order to start gets no
    # answer; the entry places the task elsewhere; the first endpoint carries the
    # order out seconds later. Cause: silence was taken for a refusal.
    world = make_world(agents=2)
    lost = []

    def lose_first(order) -> float | None:
        if lost:
            return None
        lost.append(order)
        return 2.0

    world.lose_start = lose_first
    world.submit("entry-0", make_job("j1", seconds=3.0))
    world.run(6.0)
    assert world.get_ends("j1") == ["completed"]
    starts = [each for e in world.endpoints.values() if e for each in e.started]
    assert len(starts) == 1


def test_a_doubtful_order_counts_until_a_higher_token_is_known() -> None:
    # Symptom: a task runs on two endpoints. Sequence: an order gets no answer; a
    # renewal sent before it comes back without the run; renewals with the raised
    # token are lost; the order is carried out. Cause: the older renewal was taken
    # for proof that the order is void.
    world = make_world(agents=2)
    began = world.now
    lost = []

    def lose_first(order) -> float | None:
        if lost:
            return None
        lost.append(order)
        return 0.3

    world.lose_start = lose_first
    world.lose_hold = lambda agent: began + 0.05 < world.now < began + 0.35
    world.submit("entry-0", make_job("j1", seconds=2.0))
    world.run(5.0)
    assert world.get_ends("j1") == ["completed"]


def test_room_of_an_unanswered_order_stays_taken() -> None:
    # Symptom: an endpoint is over its capacity. Sequence: orders that fill it get
    # no answer but are carried out; their room is given to other tasks. Cause:
    # room was freed before it was certain that the orders are void.
    world = make_world(agents=1)
    world.lose_start = lambda order: 0.01 if order.task.startswith("j1") else None
    world.submit("entry-0", make_job("j1", width=10, seconds=1.0))
    world.submit("entry-1", make_job("j2", width=10, seconds=1.0))
    world.run(5.0)
    assert world.get_ends("j1") == ["completed"]
    assert world.get_ends("j2") == ["completed"]


def test_runs_of_a_dead_entry_are_stopped_before_the_caller_comes_again() -> None:
    # Symptom: a task runs twice. Sequence: an entry loses power; its caller
    # submits the job again to another entry 1.3 s later, while the runs of the
    # first go on. Cause: agents kept the runs of an entry that was gone.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=3.0))
    world.run(0.2)
    world.darken("entry-0")
    world.run(1.3)
    assert not list_agents_running(world, "j1")
    world.submit("entry-1", make_job("j1", width=4, seconds=3.0))
    world.run(8.0)
    assert world.get_ends("j1") == ["completed"]


def test_a_job_submitted_elsewhere_is_stopped_where_it_was() -> None:
    # Symptom: a task runs twice. Sequence: the caller's connection goes silent;
    # its entry doesn't notice; the caller submits again to another entry. Cause:
    # the second entry didn't ask the first to stop.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(1.0)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(4.0)
    assert "completed" in world.get_ends("j1")
    assert world.processes["entry-0"].core.dispatcher.jobs == {}


def test_a_job_whose_first_entry_was_frozen_runs_once_at_a_time() -> None:
    # Symptom: a task runs twice. Sequence: an entry freezes with runs at agents;
    # the caller submits again elsewhere; the first wakes up and starts its tasks
    # again. Cause: the woken entry acted on what it believed before.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(0.2)
    world.freeze("entry-0")
    world.run(1.6)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(1.0)
    world.thaw("entry-0")
    world.run(8.0)
    assert "completed" in world.get_ends("j1")


def test_a_frozen_agent_acts_on_nothing_old() -> None:
    # Symptom: a task runs twice. Sequence: an agent freezes; entries start its
    # tasks elsewhere once its leases have lapsed; it wakes up and finds orders
    # in its sockets. Cause: it carried out what its senders had given up.
    world = make_world(agents=2)
    world.freeze("agent-0")
    world.submit("entry-0", make_job("j1", width=12, seconds=2.0))
    world.run(4.0)
    world.thaw("agent-0")
    world.run(4.0)
    assert world.get_ends("j1") == ["completed"]


def test_an_agent_cut_off_alone_loses_its_runs_and_they_go_elsewhere() -> None:
    # Symptom: a job never ends, or a task runs twice. Sequence: the link between
    # one entry and one agent is cut while a run goes on. Cause: the entry can't
    # tell a dead agent from a cut.
    world = make_world(entries=1, agents=2)
    world.submit("entry-0", make_job("j1", width=12, seconds=2.0))
    world.run(0.2)
    world.cut_link("entry-0", "agent-0")
    world.run(6.0)
    assert world.get_ends("j1") == ["completed"]


def test_a_restarted_agent_stops_what_its_predecessor_started() -> None:
    # Symptom: an endpoint is over its capacity. Sequence: an agent is killed and
    # restarted within the lease; it counts the room as free that the runs of its
    # predecessor take. Cause: a restarted agent knows nothing of them.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=5, seconds=2.0))
    world.run(0.2)
    world.kill("agent-0")
    world.run(0.5)
    agent = world.add_agent("agent-0")
    agent.give(StoredReportRead(world.kept["agent-0"]))
    world.run_until(lambda: agent.core.open)
    world.run(0.01)
    world.submit("entry-1", make_job("j2", width=8, seconds=2.0))
    world.run(8.0)
    assert world.get_ends("j1") == ["completed"]
    assert world.get_ends("j2") == ["completed"]


def test_runs_of_a_silent_endpoint_go_elsewhere_after_its_lease() -> None:
    # Symptom: a job hangs. Sequence: an endpoint loses power; its agent's calls
    # get no answer. Cause: renewals without an answer kept extending the lease
    # that the agent waited for.
    world = make_world(agents=2)
    world.submit("entry-0", make_job("j1", width=12, seconds=1.0))
    world.run(0.2)
    world.crash_endpoint(list_agents_running(world, "j1")[0])
    world.run(5.0)
    assert world.get_ends("j1") == ["completed"]


def test_an_endpoint_that_boots_anew_has_lost_its_runs() -> None:
    # Symptom: a job hangs until its deadline. Sequence: an endpoint crashes and
    # another boot reports at once. Cause: the agent waited for runs of the old.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    world.boot_endpoint("agent-0")
    world.run(4.0)
    assert world.get_ends("j1") == ["completed"]


def test_a_draining_endpoint_gets_nothing_new_and_finishes() -> None:
    # Symptom: a task starts on an endpoint that said it leaves. Cause: runs that
    # waited at its agent were started after that word.
    world = make_world(agents=2)
    world.submit("entry-0", make_job("j1", width=24, seconds=0.5))
    world.run(0.1)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    endpoint.draining = True
    world.processes["agent-0"].give(_report(world, "agent-0"))
    before = len(endpoint.started)
    world.run(3.0)
    assert world.get_ends("j1") == ["completed"]
    assert len(endpoint.started) == before


def _report(world: RunsWorld, name: str):
    endpoint = world.endpoints[name]
    assert endpoint is not None
    return ReportReceived(endpoint.report(world.now))


def test_a_late_report_of_a_former_boot_changes_nothing() -> None:
    # Symptom: orders go to an endpoint that has crashed. Sequence: a report that
    # a cut held up arrives after another boot has reported. Cause: the newest
    # arrival was taken for the newest report.
    world = make_world(agents=1)
    late = _report(world, "agent-0")
    newer = world.boot_endpoint("agent-0")
    world.run(0.2)
    world.processes["agent-0"].give(late)
    assert world.processes["agent-0"].core.endpoint.instance == newer.instance


def test_a_report_of_a_boot_that_is_not_there_ends_nothing() -> None:
    # Symptom: all runs of a sound endpoint are counted as lost, and it gets no work
    # any more. Sequence: another writer reports a boot of its own at the agent's
    # address; later the endpoint reports again. Cause: any other boot was believed
    # to have replaced the present one, which then counted as a former one for ever.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    foreign = endpoint.report(world.now)._replace(instance="i-foreign", service="zz")
    world.processes["agent-0"].give(ReportReceived(foreign))
    world.run(2.0)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == endpoint.instance
    assert agent.open
    assert world.get_ends("j1") == ["completed"]
    assert len(endpoint.started) == 4


def test_a_report_of_the_present_boot_can_not_change_its_service() -> None:
    # Symptom: an endpoint gets no work until its next report. Sequence: another
    # writer reports the endpoint's id with a service that nobody named. Cause: each
    # report's service was taken over, though it never changes within a boot.
    world = make_world(agents=1)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    foreign = endpoint.report(world.now)._replace(service="zz", sequence=10**6)
    world.processes["agent-0"].give(ReportReceived(foreign))
    assert world.processes["agent-0"].core.endpoint.service == QUEUE.service
    world.run(2.0)
    # Nor may its sequence hide the endpoint's own later reports.
    endpoint.draining = True
    world.run(2.0)
    assert not world.processes["agent-0"].core.open


def test_a_new_boot_is_found_though_the_former_one_left_nothing_running() -> None:
    # Symptom: an endpoint that was booted anew gets no work. Sequence: it crashes
    # while idle and reports as another boot. Cause: nothing asked whether the
    # former one was still there, so the report stayed doubtful.
    world = make_world(agents=1)
    world.crash_endpoint("agent-0")
    newer = world.boot_endpoint("agent-0")
    world.run(0.1)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == newer.instance
    assert agent.open


def test_a_new_boot_is_found_though_orders_are_not_answered() -> None:
    # Symptom: as above. Sequence: the new boot reports, but calls to it get no
    # answer for a while. Cause: only an answer could settle which boot is there.
    world = make_world(agents=1)
    world.lose_hold = lambda agent: True
    newer = world.boot_endpoint("agent-0")
    world.run(1.0)
    world.lose_hold = lambda agent: False
    world.run(0.5)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == newer.instance
    assert agent.open


def test_an_endpoint_that_fails_everything_is_avoided() -> None:
    # Symptom: jobs fail. Sequence: one endpoint fails all it starts, at once, so
    # it looks free and draws all work. Cause: room was all that placing looked at.
    world = make_world(agents=3)
    grey = world.endpoints["agent-0"]
    assert grey is not None
    grey.behaviour = Behaviour(fails=True)
    for number in range(20):
        world.submit("entry-0", make_job(f"j{number}", width=2, seconds=0.2))
        world.run(0.1)
    world.run(2.0)
    ends = [world.get_ends(f"j{number}") for number in range(20)]
    assert ends == [["completed"]] * 20
    assert len(grey.started) < 10


def test_a_job_that_can_never_be_done_fails_and_ejects_nobody() -> None:
    # Symptom: all endpoints are ejected by one hopeless job. Cause: a task that
    # fails everywhere was taken for endpoints that fail everything.
    world = make_world(agents=4)
    for endpoint in world.endpoints.values():
        assert endpoint is not None
        endpoint.behaviour = Behaviour(fails=True)
    world.submit("entry-0", make_job("bad", width=1, seconds=0.2))
    world.run(1.0)
    assert world.get_ends("bad") == ["failed"]
    views = world.processes["entry-0"].core.dispatcher.fleet.views.values()
    assert not [view for view in views if view.health.ejected_until > world.now]


def test_a_run_that_stands_still_is_stopped_and_moved() -> None:
    # Symptom: a job hangs. Sequence: an endpoint holds its runs, renews, and
    # makes no progress. Cause: nothing looked at progress.
    world = make_world(agents=2)
    slow = world.endpoints["agent-0"]
    assert slow is not None
    slow.behaviour = Behaviour(hangs=True)
    world.submit("entry-0", make_job("j1", width=12, seconds=0.4))
    world.run(4.0)
    assert world.get_ends("j1") == ["completed"]


def test_one_lost_renewal_loses_no_run() -> None:
    # Symptom: runs lapse. Cause: the lease was so short that one lost answer
    # let it run out.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(0.1)
    calls = []

    def lose_every_third(agent: str) -> bool:
        calls.append(agent)
        return len(calls) % 3 == 0

    world.lose_hold = lose_every_third
    world.run(4.0)
    assert world.get_ends("j1") == ["completed"]
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    assert len(endpoint.started) == 4


def test_a_caller_that_hangs_up_frees_its_room() -> None:
    world = make_world(agents=1)
    caller = world.submit("entry-0", make_job("j1", width=10, seconds=3.0))
    world.run(0.2)
    world.hang_up("entry-0", caller)
    world.run(0.2)
    assert not list_agents_running(world, "j1")


def test_a_job_refused_as_not_run_never_starts() -> None:
    # Symptom: a caller was told that its job has not run, and it has. Cause: a
    # refusal went out after something had been sent to an agent.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("first", width=40, seconds=3.0))
    world.run(0.1)
    for number in range(10):
        world.submit("entry-0", make_job(f"j{number}", width=10, seconds=0.3))
    world.run(20.0)
    refused = {
        job
        for job, results in world.results.items()
        if any(result.end == "refused" for result in results)
    }
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    started = {task.partition(".")[0] for _, task, _ in endpoint.started}
    assert refused
    assert not refused & started


def test_a_restarted_agent_serves_before_the_next_report() -> None:
    # Symptom: an endpoint gets no work for up to 1.5 s after its agent was
    # restarted. Cause: the agent waited for the endpoint's next report.
    world = make_world(agents=1)
    world.kill("agent-0")
    agent = world.add_agent("agent-0")
    agent.give(StoredReportRead(world.kept["agent-0"]))
    world.run(0.1)
    assert agent.core.open


def test_a_report_recalled_of_an_earlier_boot_is_found_out() -> None:
    # Symptom: runs are lost on an endpoint that isn't there. Sequence: agent and
    # endpoint crash together; the new agent recalls the report of the old boot,
    # whose capacity may differ. Cause: what was kept was taken for what is.
    world = make_world(agents=1)
    world.kill("agent-0")
    smaller = Resources(8000, 65536, 0)
    world.endpoints["agent-0"] = FakeEndpoint("i-new", QUEUE.service, smaller)
    agent = world.add_agent("agent-0")
    agent.give(StoredReportRead(world.kept["agent-0"]))
    world.run(0.1)
    assert not agent.core.open
    world.boot_endpoint("agent-0", smaller)
    world.run(0.5)
    assert agent.core.open
    assert agent.core.held_runs.capacity.cpu == 8000


def test_a_job_waits_for_agents_that_are_just_back() -> None:
    # Symptom: all jobs are refused for a second after everything was restarted.
    # Cause: agents that were connected but had not heard of their endpoints yet
    # counted as absent.
    world = make_world(agents=1)
    world.kill("agent-0")
    world.run(0.1)
    world.add_agent("agent-0")
    world.run(0.01)
    world.submit("entry-0", make_job("j1", seconds=1.0))
    world.run(3.5)
    assert world.get_ends("j1") == ["completed"]


def test_a_job_that_can_not_wait_for_agents_is_refused_at_once() -> None:
    # Symptom: callers get no answer for a second and then learn that their jobs have
    # not run. Sequence: all agents are dark; entries are back first and take what
    # comes. Cause: a job was taken though its slack was shorter than agents need.
    world = make_world(agents=1)
    world.kill("agent-0")
    world.run(0.1)
    world.add_agent("agent-0")
    world.run(0.01)
    world.submit("entry-0", make_job("j1", seconds=0.1))
    world.run(0.05)
    result = world.results["j1"][0]
    assert (result.end, result.ran) == ("refused", False)
    assert result.retry_after


def test_a_job_that_waits_is_answered_when_the_last_endpoint_is_gone() -> None:
    # Symptom: a caller waits for three times its objective for "not run". Sequence:
    # its job waits for room, then the only endpoint crashes. Cause: late work waited
    # although nothing was there that could do it.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=10, seconds=0.6))
    world.run(0.3)
    world.submit("entry-0", make_job("j2", width=1, seconds=2.0))
    world.run(0.1)
    world.leave("agent-0")
    world.run(1.6)
    assert [(r.end, r.ran) for r in world.results["j2"]] == [("refused", False)]


def test_a_job_taken_by_an_entry_that_is_cut_off_is_claimed_at_the_agents() -> None:
    # Symptom: a task runs twice. Sequence: two entries lose each other, not the
    # agents; one takes a job; its caller's connection breaks and it goes to the
    # other. Cause: the second entry couldn't know of the first one's runs.
    world = make_world()
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(1.3)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(4.0)
    assert "completed" in world.get_ends("j1")
    assert not world.processes["entry-0"].core.dispatcher.jobs


def test_an_entry_started_later_knows_what_others_have_taken() -> None:
    # Symptom: a task runs twice. Sequence: a job is in flight at one entry; another
    # is started; the caller's connection breaks unnoticed and it goes to the new
    # one. Cause: takings were told only when they happened.
    world = make_world(entries=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.5))
    world.run(0.2)
    world.add_entry("entry-1")
    world.run(1.0)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.5))
    world.run(5.0)
    assert "completed" in world.get_ends("j1")


def test_an_entry_that_wakes_up_gives_way_to_the_newest_taker() -> None:
    # Symptom: a task runs twice. Sequence: an entry is suspended; another takes its
    # job; the first wakes up and starts the job's tasks again. Cause: a reconnected
    # entry kept what another had taken over.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    world.freeze("entry-0")
    world.run(2.4)
    world.submit("entry-1", make_job("j1", width=4, seconds=3.0))
    world.run(0.5)
    world.thaw("entry-0")
    world.run(1.5)
    assert not world.processes["entry-0"].core.dispatcher.jobs
    world.run(4.0)
    assert "completed" in world.get_ends("j1")


def test_an_entry_killed_and_back_at_once_knows_what_it_had_taken() -> None:
    # Symptom: a task runs on two endpoints. Sequence: an agent is killed while its
    # run lives on under the lease; the entry is killed and back at once; the caller,
    # whose connection had broken before, submits the job there again. Cause: peers
    # told the new process what they had taken, not what its former self had.
    world = make_world(entries=2, agents=2)
    job = make_job("j1", width=12, seconds=3.0)
    world.submit("entry-0", job)
    world.run(0.3)
    assert list_agents_running(world, "j1") == ["agent-0", "agent-1"]
    world.kill("agent-0")
    world.run(0.1)
    world.kill("entry-0")
    world.add_entry("entry-0")
    world.run(0.3)
    world.submit("entry-0", job)
    world.run(9.0)
    assert "completed" in world.get_ends("j1")


def test_two_entries_that_choose_the_same_room_find_other_room_at_once() -> None:
    # Symptom: a short run waits at a full endpoint while another has room. Sequence:
    # two entries choose the same endpoint before either hears of the other's choice.
    # Cause: the later run waited there for room.
    world = make_world(entries=2, agents=2)
    for entry in ("entry-0", "entry-1"):
        world.submit(entry, make_job(f"of-{entry}", width=10, seconds=1.0))
    world.run(0.1)
    running = [len(endpoint.alive) for endpoint in world.endpoints.values() if endpoint]
    assert running == [10, 10]


def test_runs_of_an_endpoint_that_became_slow_go_where_there_is_room() -> None:
    # Symptom: a caller waits for seconds on a task of half a second. Cause: its
    # endpoint became slow, and nothing looked at how the run got on.
    world = make_world(agents=3)
    slow = world.endpoints["agent-0"]
    assert slow is not None
    slow.behaviour = Behaviour(speed=8.0)
    for number in range(6):
        world.submit("entry-0", make_job(f"j{number}", width=4, seconds=0.5))
    world.run(2.5)
    for number in range(6):
        assert world.get_ends(f"j{number}") == ["completed"]


def _list_runs_after(world: RunsWorld, name: str, at: float) -> list[str]:
    endpoint = world.endpoints[name]
    assert endpoint is not None
    endpoint.advance(world.now)
    return [life.task for life in endpoint.lives if life.ended > at] + [*endpoint.alive]


@pytest.mark.parametrize("deaf", [False, True])
def test_a_task_that_starts_late_is_stopped_if_its_job_was_cancelled(
    deaf: bool,
) -> None:
    # Symptom: a task runs for seconds after its caller was told that the job is
    # cancelled. Sequence: an order isn't answered, its caller leaves, the endpoint
    # carries the order out 2 s later; it answers no renewal meanwhile, or does.
    # Cause: the agent would have forgotten an order that it had doubted.
    world = make_world(agents=1)
    world.lose_start = lambda order: 2.0
    world.lose_hold = lambda agent: deaf
    caller = world.submit("entry-0", make_job("j1", seconds=8.0))
    world.run(0.05)
    world.hang_up("entry-0", caller)
    world.run(2.1)
    world.lose_hold = lambda agent: False
    world.run(1.0)
    assert _list_runs_after(world, "agent-0", world.now - 0.3) == []


def test_a_task_that_starts_late_is_stopped_if_its_starter_was_removed() -> None:
    # Symptom: as above. Sequence: the agent that gave the order is killed and
    # another takes its place, and its entry is removed for good; then the endpoint
    # carries the order out. Cause: nobody would have known the order.
    world = make_world(agents=1, entries=2)
    world.lose_start = lambda order: 2.0
    world.submit("entry-0", make_job("j1", seconds=8.0))
    world.run(0.05)
    world.kill("agent-0")
    world.darken("entry-0")
    world.run(0.6)
    world.lose_start = lambda order: None
    world.add_agent("agent-0")
    world.run(3.0)
    assert _list_runs_after(world, "agent-0", world.now - 0.3) == []


def test_an_agent_that_is_overdue_gets_nothing_new() -> None:
    # Symptom: jobs are late by two seconds after a VM lost its power. Sequence: its
    # agent says nothing any more; until its stream counts as dead, entries send it
    # work for the room they think it has. Cause: that it should have been heard by
    # then told them nothing.
    world = make_world(entries=1, agents=2)
    world.submit("entry-0", make_job("j1", width=8, seconds=3.0))
    world.run(0.3)
    world.darken("agent-0")
    world.run(0.5)
    world.submit("entry-0", make_job("j2", width=3, seconds=0.2))
    world.run(0.5)
    assert world.get_ends("j2") == ["completed"]


@pytest.mark.parametrize("seconds", [0.9, 1.5, 2.5])
def test_an_endpoint_that_was_deaf_for_a_while_gets_work_again(seconds: float) -> None:
    """Guards against an endpoint that stays closed though it answers again."""
    world = make_world(entries=1, agents=1)
    world.submit("entry-0", make_job("j1", width=2, seconds=1.8))
    world.run(0.2)
    world.lose_hold = lambda agent: True
    world.run(seconds)
    world.lose_hold = lambda agent: False
    world.run(3.0)
    assert world.processes["agent-0"].core.open
    world.submit("entry-0", make_job("j2", seconds=0.2))
    world.run(1.0)
    assert world.get_ends("j2") == ["completed"]
