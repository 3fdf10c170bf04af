"""Tests that leased runs survive failures of processes, links and endpoints.

``RunCluster`` checks after every step that no task runs twice at the same time and that
no endpoint exceeds its capacity. The tests cause a failure and check what callers get.
"""

import pytest
from standins.leased_endpoint import Behaviour, FakeEndpoint

from godwitbank._internal.core.runs.deployment import DEFAULT_DEPLOYMENT
from godwitbank._internal.core.runs.events import ReportReceived, StoredReportRead
from godwitbank._internal.models.resources import Resources
from tests.core.runs.test_happy_path import make_world
from tests.lib.run_cluster import QUEUE, RunCluster, make_job


def list_agents_running(world: RunCluster, job: str) -> list[str]:
    """List the agents whose endpoints run a task of a job."""
    return [
        name
        for name, endpoint in world.endpoints.items()
        if endpoint and any(task.startswith(job) for task in endpoint.active_runs)
    ]


def test_start_order_without_an_answer_starts_no_second_run() -> None:
    # Guards against a task that runs on two endpoints because a start order without an
    # answer is treated as refused: the entry places the task elsewhere, and the first
    # endpoint carries the order out seconds later.
    world = make_world(agents=2)
    lost_orders = []

    def lose_first_start(order) -> float | None:
        if lost_orders:
            return None
        lost_orders.append(order)
        return 2.0

    world.start_loss_delay = lose_first_start
    world.submit("entry-0", make_job("j1", seconds=3.0))
    world.run(6.0)
    assert world.list_ends("j1") == ["completed"]
    starts = [
        each
        for endpoint in world.endpoints.values()
        if endpoint
        for each in endpoint.started
    ]
    assert len(starts) == 1


def test_unconfirmed_order_counts_until_the_endpoint_knows_a_higher_token() -> None:
    # Guards against a task that runs on two endpoints. An order gets no answer, and the
    # answer to a renewal sent before it doesn't list the run. That doesn't prove that
    # the order is void: while renewals with the raised token are lost, the endpoint
    # still carries it out.
    world = make_world(agents=2)
    began = world.now
    lost_orders = []

    def lose_first_start(order) -> float | None:
        if lost_orders:
            return None
        lost_orders.append(order)
        return 0.3

    world.start_loss_delay = lose_first_start
    world.loses_renewal = lambda agent: began + 0.05 < world.now < began + 0.35
    world.submit("entry-0", make_job("j1", seconds=2.0))
    world.run(5.0)
    assert world.list_ends("j1") == ["completed"]


def test_unanswered_order_keeps_its_capacity_in_use() -> None:
    # Guards against an endpoint that exceeds its capacity: orders that fill it get no
    # answer but are carried out, and their capacity is given to other tasks before the
    # orders are certain to be void.
    world = make_world(agents=1)
    world.start_loss_delay = lambda order: 0.01 if order.task.startswith("j1") else None
    world.submit("entry-0", make_job("j1", width=10, seconds=1.0))
    world.submit("entry-1", make_job("j2", width=10, seconds=1.0))
    world.run(5.0)
    assert world.list_ends("j1") == ["completed"]
    assert world.list_ends("j2") == ["completed"]


def test_runs_of_a_dead_entry_are_stopped_before_the_caller_retries() -> None:
    # Guards against a task that runs twice because agents keep the runs of a dead
    # entry: an entry loses power, and its caller submits the job to another entry 1.3 s
    # later.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=3.0))
    world.run(0.2)
    world.power_off("entry-0")
    world.run(1.3)
    assert not list_agents_running(world, "j1")
    world.submit("entry-1", make_job("j1", width=4, seconds=3.0))
    world.run(8.0)
    assert world.list_ends("j1") == ["completed"]


def test_job_submitted_to_another_entry_is_stopped_at_the_first() -> None:
    # Guards against a task that runs twice because the second entry doesn't ask the
    # first one to stop: the caller's connection fails without its entry noticing, and
    # the caller submits the job to another entry.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(1.0)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(4.0)
    assert "completed" in world.list_ends("j1")
    assert world.processes["entry-0"].core.dispatcher.jobs == {}


def test_job_of_a_suspended_entry_runs_once_at_a_time() -> None:
    # Guards against a task that runs twice because an entry acts on outdated state
    # after a suspension: it is suspended with runs at agents, the caller submits the
    # job to another entry, and the first one resumes and starts its tasks again.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(0.2)
    world.suspend("entry-0")
    world.run(1.6)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(1.0)
    world.resume("entry-0")
    world.run(8.0)
    assert "completed" in world.list_ends("j1")


def test_suspended_agent_ignores_outdated_orders() -> None:
    # Guards against a task that runs twice: an agent is suspended, entries start its
    # tasks elsewhere once its leases have ended, and the agent resumes and carries out
    # orders left in its sockets that their senders have given up.
    world = make_world(agents=2)
    world.suspend("agent-0")
    world.submit("entry-0", make_job("j1", width=12, seconds=2.0))
    world.run(4.0)
    world.resume("agent-0")
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]


def test_runs_of_an_agent_cut_off_from_its_entry_are_placed_elsewhere() -> None:
    # Guards against a job that never ends, or a task that runs twice, when the link
    # between an entry and an agent is cut during a run. The entry can't tell this from
    # a dead agent.
    world = make_world(entries=1, agents=2)
    world.submit("entry-0", make_job("j1", width=12, seconds=2.0))
    world.run(0.2)
    world.cut_link("entry-0", "agent-0")
    world.run(6.0)
    assert world.list_ends("j1") == ["completed"]


def test_restarted_agent_stops_runs_of_the_previous_process() -> None:
    # Guards against an endpoint that exceeds its capacity: an agent is killed and
    # restarted within the lease, doesn't know the runs of the previous process, and
    # counts the capacity they use as free.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=5, seconds=2.0))
    world.run(0.2)
    world.kill("agent-0")
    world.run(0.5)
    agent = world.add_agent("agent-0")
    agent.deliver_event(StoredReportRead(world.stored_reports["agent-0"]))
    world.run_until(lambda: agent.core.open)
    world.run(0.01)
    world.submit("entry-1", make_job("j2", width=8, seconds=2.0))
    world.run(8.0)
    assert world.list_ends("j1") == ["completed"]
    assert world.list_ends("j2") == ["completed"]


def test_runs_of_an_unreachable_endpoint_are_placed_elsewhere_after_its_lease() -> None:
    # Guards against a job that hangs because unanswered renewals keep extending the
    # lease that the agent waits for: an endpoint loses power, and calls to it get no
    # answer.
    world = make_world(agents=2)
    world.submit("entry-0", make_job("j1", width=12, seconds=1.0))
    world.run(0.2)
    world.crash_endpoint(list_agents_running(world, "j1")[0])
    world.run(5.0)
    assert world.list_ends("j1") == ["completed"]


def test_rebooted_endpoint_has_lost_its_runs() -> None:
    # Guards against a job that hangs until its deadline because the agent waits for
    # runs of an earlier boot: an endpoint crashes, and a new boot reports immediately.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    world.start_endpoint("agent-0")
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]


def test_draining_endpoint_gets_no_new_runs_and_finishes_its_own() -> None:
    # Guards against a task that starts on an endpoint after it has reported that it
    # drains, because it was parked at the agent.
    world = make_world(agents=2)
    world.submit("entry-0", make_job("j1", width=24, seconds=0.5))
    world.run(0.1)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    endpoint.draining = True
    world.processes["agent-0"].deliver_event(_make_report_event(world, "agent-0"))
    before = len(endpoint.started)
    world.run(3.0)
    assert world.list_ends("j1") == ["completed"]
    assert len(endpoint.started) == before


def _make_report_event(world: RunCluster, name: str):
    endpoint = world.endpoints[name]
    assert endpoint is not None
    return ReportReceived(endpoint.make_report(world.now))


def test_delayed_report_of_an_earlier_boot_is_ignored() -> None:
    # Guards against orders to an endpoint that has crashed, because the report that
    # arrived last is taken for the newest: a network cut delays a report until another
    # boot of the endpoint has reported.
    world = make_world(agents=1)
    delayed = _make_report_event(world, "agent-0")
    new_boot = world.start_endpoint("agent-0")
    world.run(0.2)
    world.processes["agent-0"].deliver_event(delayed)
    assert world.processes["agent-0"].core.endpoint.instance == new_boot.instance


def test_report_of_a_boot_that_does_not_exist_ends_no_runs() -> None:
    # Guards against a healthy endpoint that loses all its runs and gets no more work. A
    # foreign writer reports another boot at the agent's address. If that replaced the
    # current boot, the endpoint's own later reports would be ignored for good as those
    # of an earlier boot.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    foreign = endpoint.make_report(world.now)._replace(
        instance="i-foreign", service="zz"
    )
    world.processes["agent-0"].deliver_event(ReportReceived(foreign))
    world.run(2.0)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == endpoint.instance
    assert agent.open
    assert world.list_ends("j1") == ["completed"]
    assert len(endpoint.started) == 4


def test_report_of_the_current_boot_can_not_change_its_service() -> None:
    # Guards against an endpoint that gets no work until its next report: a foreign
    # writer reports the endpoint's id with an unknown service, although the service
    # never changes within a boot.
    world = make_world(agents=1)
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    foreign = endpoint.make_report(world.now)._replace(service="zz", sequence=10**6)
    world.processes["agent-0"].deliver_event(ReportReceived(foreign))
    assert world.processes["agent-0"].core.endpoint.service == QUEUE.service
    world.run(2.0)
    # Nor may its sequence number make the endpoint's later reports seem outdated.
    endpoint.draining = True
    world.run(2.0)
    assert not world.processes["agent-0"].core.open


def test_new_boot_is_detected_though_the_earlier_one_had_no_runs() -> None:
    # Guards against a rebooted endpoint that gets no work: it crashes while idle and
    # reports as another boot. If no renewal checked whether the earlier boot still
    # answers, the report would stay unverified.
    world = make_world(agents=1)
    world.crash_endpoint("agent-0")
    new_boot = world.start_endpoint("agent-0")
    world.run(0.1)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == new_boot.instance
    assert agent.open


def test_new_boot_is_detected_though_calls_get_no_answer() -> None:
    # Guards against the same failure when the new boot reports, but calls to it get no
    # answer for a while, so that no answer tells which boot is running.
    world = make_world(agents=1)
    world.loses_renewal = lambda agent: True
    new_boot = world.start_endpoint("agent-0")
    world.run(1.0)
    world.loses_renewal = lambda agent: False
    world.run(0.5)
    agent = world.processes["agent-0"].core
    assert agent.endpoint.instance == new_boot.instance
    assert agent.open


def test_endpoint_that_fails_every_task_is_avoided() -> None:
    # Guards against an endpoint that fails all its tasks immediately and therefore
    # looks free and attracts all work, because placement considers only free capacity.
    world = make_world(agents=3)
    failing = world.endpoints["agent-0"]
    assert failing is not None
    failing.behaviour = Behaviour(fails=True)
    for number in range(20):
        world.submit("entry-0", make_job(f"j{number}", width=2, seconds=0.2))
        world.run(0.1)
    world.run(2.0)
    ends = [world.list_ends(f"j{number}") for number in range(20)]
    assert ends == [["completed"]] * 20
    assert len(failing.started) < 10


def test_job_that_always_fails_ejects_no_endpoint() -> None:
    # Guards against a single job that fails everywhere and gets all endpoints ejected,
    # because it is mistaken for endpoints that fail every task.
    world = make_world(agents=4)
    for endpoint in world.endpoints.values():
        assert endpoint is not None
        endpoint.behaviour = Behaviour(fails=True)
    world.submit("entry-0", make_job("bad", width=1, seconds=0.2))
    world.run(1.0)
    assert world.list_ends("bad") == ["failed"]
    views = world.processes["entry-0"].core.dispatcher.fleet.views.values()
    assert not [view for view in views if view.health.ejected_until > world.now]


def test_stalled_run_is_stopped_and_moved() -> None:
    # Guards against a job that hangs because progress isn't checked: an endpoint keeps
    # its runs and answers renewals but makes no progress.
    world = make_world(agents=2)
    slow = world.endpoints["agent-0"]
    assert slow is not None
    slow.behaviour = Behaviour(hangs=True)
    world.submit("entry-0", make_job("j1", width=12, seconds=0.4))
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]


def test_one_lost_renewal_loses_no_run() -> None:
    # Guards against a lease so short that it ends when one answer to a renewal is lost.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(0.1)
    calls = []

    def lose_every_third(agent: str) -> bool:
        calls.append(agent)
        return len(calls) % 3 == 0

    world.loses_renewal = lose_every_third
    world.run(4.0)
    assert world.list_ends("j1") == ["completed"]
    endpoint = world.endpoints["agent-0"]
    assert endpoint is not None
    assert len(endpoint.started) == 4


def test_caller_that_disconnects_frees_capacity() -> None:
    world = make_world(agents=1)
    caller = world.submit("entry-0", make_job("j1", width=10, seconds=3.0))
    world.run(0.2)
    world.disconnect_caller("entry-0", caller)
    world.run(0.2)
    assert not list_agents_running(world, "j1")


def test_job_refused_as_not_run_never_starts() -> None:
    # Guards against a caller that is told that its job has not run although it has,
    # because the refusal is sent after an order was sent to an agent.
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


def test_restarted_agent_serves_before_the_next_report() -> None:
    # Guards against an endpoint that gets no work for up to 1.5 s after a restart of
    # its agent, because the agent waits for the endpoint's next report.
    world = make_world(agents=1)
    world.kill("agent-0")
    agent = world.add_agent("agent-0")
    agent.deliver_event(StoredReportRead(world.stored_reports["agent-0"]))
    world.run(0.1)
    assert agent.core.open


def test_stored_report_of_an_earlier_boot_is_detected() -> None:
    # Guards against runs that are lost on an endpoint that no longer exists: agent and
    # endpoint crash together, and the new agent trusts the stored report of the earlier
    # boot, which may have another capacity.
    world = make_world(agents=1)
    world.kill("agent-0")
    smaller = Resources(8000, 65536, 0)
    world.endpoints["agent-0"] = FakeEndpoint("i-new", QUEUE.service, smaller)
    agent = world.add_agent("agent-0")
    agent.deliver_event(StoredReportRead(world.stored_reports["agent-0"]))
    world.run(0.1)
    assert not agent.core.open
    world.start_endpoint("agent-0", smaller)
    world.run(0.5)
    assert agent.core.open
    assert agent.core.held_runs.capacity.cpu == 8000


def test_job_waits_for_agents_that_have_just_restarted() -> None:
    # Guards against jobs that are refused for a second after a restart of all
    # processes, because agents that are connected but have no report of their endpoint
    # yet are counted as absent.
    world = make_world(agents=1)
    world.kill("agent-0")
    world.run(0.1)
    world.add_agent("agent-0")
    world.run(0.01)
    world.submit("entry-0", make_job("j1", seconds=1.0))
    world.run(3.5)
    assert world.list_ends("j1") == ["completed"]


def test_job_that_can_not_wait_for_agents_is_refused_immediately() -> None:
    # Guards against callers that wait a second to learn that their jobs have not run:
    # all agents are unreachable, entries restart first, and they accept jobs whose
    # slack is shorter than the time that agents need.
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


def test_waiting_job_is_answered_when_the_last_endpoint_is_gone() -> None:
    # Guards against a caller that waits three times its latency target for a "not run"
    # answer: its job waits for capacity, the only endpoint crashes, and late jobs keep
    # waiting although no endpoint is left.
    world = make_world(agents=1)
    world.submit("entry-0", make_job("j1", width=10, seconds=0.6))
    world.run(0.3)
    world.submit("entry-0", make_job("j2", width=1, seconds=2.0))
    world.run(0.1)
    world.leave("agent-0")
    world.run(1.6)
    assert [(r.end, r.ran) for r in world.results["j2"]] == [("refused", False)]


def test_job_of_an_entry_that_is_cut_off_is_claimed_at_the_agents() -> None:
    # Guards against a task that runs twice: two entries lose contact to each other but
    # not to the agents, and a caller of the first entry loses its connection and
    # retries at the second, which can't know of the runs of the first.
    world = make_world()
    world.cut_link("entry-0", "entry-1")
    world.run(1.0)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.0))
    world.run(1.3)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.0))
    world.run(4.0)
    assert "completed" in world.list_ends("j1")
    assert not world.processes["entry-0"].core.dispatcher.jobs


def test_entry_started_later_knows_the_jobs_of_other_entries() -> None:
    # Guards against a task that runs twice because ownership of a job is announced only
    # when it is accepted: another entry starts while the job is in flight, and the
    # caller loses its connection unnoticed and retries there.
    world = make_world(entries=1)
    world.submit("entry-0", make_job("j1", width=4, seconds=2.5))
    world.run(0.2)
    world.add_entry("entry-1")
    world.run(1.0)
    world.submit("entry-1", make_job("j1", width=4, seconds=2.5))
    world.run(5.0)
    assert "completed" in world.list_ends("j1")


def test_resumed_entry_yields_to_the_newest_owner() -> None:
    # Guards against a task that runs twice because a reconnected entry keeps a job that
    # was taken over: the entry is suspended, another takes over its job, and the first
    # resumes and starts the tasks again.
    world = make_world()
    world.submit("entry-0", make_job("j1", width=4, seconds=1.0))
    world.run(0.2)
    world.suspend("entry-0")
    world.run(2.4)
    world.submit("entry-1", make_job("j1", width=4, seconds=3.0))
    world.run(0.5)
    world.resume("entry-0")
    world.run(1.5)
    assert not world.processes["entry-0"].core.dispatcher.jobs
    world.run(4.0)
    assert "completed" in world.list_ends("j1")


def test_entry_that_restarts_immediately_knows_its_earlier_jobs() -> None:
    # Guards against a task that runs on two endpoints. An agent is killed while its run
    # goes on under the lease, the entry is killed and restarts immediately, and the
    # caller, whose connection had failed before, submits the job there again. So peers
    # must announce to the new process not only their own jobs but also those of the
    # previous process.
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
    assert "completed" in world.list_ends("j1")


def test_two_entries_that_choose_one_endpoint_both_start_immediately() -> None:
    # Guards against a short run that waits at a full endpoint while another has free
    # capacity: two entries choose the same endpoint before either learns of the other's
    # choice, and the later run is parked there.
    world = make_world(entries=2, agents=2)
    for entry in ("entry-0", "entry-1"):
        world.submit(entry, make_job(f"of-{entry}", width=10, seconds=1.0))
    world.run(0.1)
    running = [
        len(endpoint.active_runs) for endpoint in world.endpoints.values() if endpoint
    ]
    assert running == [10, 10]


def test_runs_of_an_endpoint_that_became_slow_move_to_free_capacity() -> None:
    # Guards against a caller that waits seconds for a task of half a second, because
    # its endpoint became slow and the progress of the run isn't checked.
    world = make_world(agents=3)
    slow = world.endpoints["agent-0"]
    assert slow is not None
    slow.behaviour = Behaviour(speed=8.0)
    for number in range(6):
        world.submit("entry-0", make_job(f"j{number}", width=4, seconds=0.5))
    world.run(2.5)
    for number in range(6):
        assert world.list_ends(f"j{number}") == ["completed"]


def _list_runs_after(world: RunCluster, name: str, at: float) -> list[str]:
    endpoint = world.endpoints[name]
    assert endpoint is not None
    endpoint.advance(world.now)
    return [life.task for life in endpoint.ended_runs if life.ended > at] + [
        *endpoint.active_runs
    ]


@pytest.mark.parametrize("unresponsive", [False, True])
def test_task_that_starts_late_is_stopped_if_its_job_was_cancelled(
    unresponsive: bool,
) -> None:
    # Guards against a task that runs for seconds after its job was cancelled. A start
    # order gets no answer, its caller disconnects, and the endpoint carries the order
    # out 2 s later, with or without answering renewals in the meantime. The agent must
    # not forget the unconfirmed order before that.
    world = make_world(agents=1)
    world.start_loss_delay = lambda order: 2.0
    world.loses_renewal = lambda agent: unresponsive
    caller = world.submit("entry-0", make_job("j1", seconds=8.0))
    world.run(0.05)
    world.disconnect_caller("entry-0", caller)
    world.run(2.1)
    world.loses_renewal = lambda agent: False
    world.run(1.0)
    assert _list_runs_after(world, "agent-0", world.now - 0.3) == []


def test_task_that_starts_late_is_stopped_if_its_agent_was_replaced() -> None:
    # Guards against the same failure when no process is left that knows the order: the
    # agent that sent it is killed and replaced, its entry is removed for good, and then
    # the endpoint carries the order out.
    world = make_world(agents=1, entries=2)
    world.start_loss_delay = lambda order: 2.0
    world.submit("entry-0", make_job("j1", seconds=8.0))
    world.run(0.05)
    world.kill("agent-0")
    world.power_off("entry-0")
    world.run(0.6)
    world.start_loss_delay = lambda order: None
    world.add_agent("agent-0")
    world.run(3.0)
    assert _list_runs_after(world, "agent-0", world.now - 0.3) == []


def test_agent_with_overdue_heartbeat_gets_no_new_runs() -> None:
    # Guards against jobs that are two seconds late after a VM loses power: its agent is
    # silent, and until its stream times out, entries send it work for the capacity that
    # it last reported. An overdue heartbeat must stop that.
    world = make_world(entries=1, agents=2)
    world.submit("entry-0", make_job("j1", width=8, seconds=3.0))
    world.run(0.3)
    world.power_off("agent-0")
    world.run(0.5)
    world.submit("entry-0", make_job("j2", width=3, seconds=0.2))
    world.run(0.5)
    assert world.list_ends("j2") == ["completed"]


@pytest.mark.parametrize("seconds", [0.9, 1.5, 2.5])
def test_an_endpoint_that_was_deaf_for_a_while_gets_work_again(seconds: float) -> None:
    """Guards against an endpoint that gets no work though it answers again."""
    world = make_world(entries=1, agents=1)
    world.submit("entry-0", make_job("j1", width=2, seconds=1.8))
    world.run(0.2)
    world.loses_renewal = lambda agent: True
    world.run(seconds)
    world.loses_renewal = lambda agent: False
    world.run(3.0)
    assert world.processes["agent-0"].core.open
    world.submit("entry-0", make_job("j2", seconds=0.2))
    world.run(1.0)
    assert world.list_ends("j2") == ["completed"]


def test_an_idle_endpoint_is_asked_again_only_while_it_reports() -> None:
    """Guards against renewals without end to an endpoint that is gone."""
    world = make_world(entries=1, agents=1)
    asked_at: list[float] = []

    def lose_renewal(agent: str) -> bool:
        asked_at.append(world.now)
        return True

    world.submit("entry-0", make_job("j1", width=2, seconds=0.5))
    world.run(0.2)
    world.loses_renewal = lose_renewal
    world.run(3.0)
    idle_since = world.now
    world.run(2.0)
    assert 1 < len([at for at in asked_at if at > idle_since]) <= 8
    world.endpoints["agent-0"] = None
    world.run(DEFAULT_DEPLOYMENT.report_timeout_seconds + 0.5)
    gone_since = world.now
    world.run(10.0)
    assert not [at for at in asked_at if at > gone_since]
