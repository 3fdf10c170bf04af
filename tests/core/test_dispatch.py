"""Tests of submissions at one entry's core, from admission to answer."""

from godwitbank._internal.core.events import Submitted
from godwitbank._internal.models.outcomes import Complete, Failed, Ran, Reason
from godwitbank._internal.models.tasks import Submission, TaskSpec
from tests.lib.task_cluster import TaskCluster


def test_a_job_that_fails_during_admission_leaves_no_task_queued() -> None:
    """Guards against running tasks of a job that has already failed.

    A request id is used a second time, in a job with other tasks, while no agent is
    connected that could be queried about it. The job fails at its first task; if
    the others are queued afterwards, they run once the agent reconnects.
    """
    world = TaskCluster(entries=1, agents=1)
    world.submit("entry-0", 1, "k1")
    world.deliver_all(4)
    for key in list(world.running["agent-0"]):
        world.end_run("agent-0", key)
    world.deliver_all(2)
    world.processes["agent-0"].paused = True
    for number, wire in list(world.streams.items()):
        if wire.ends[1].name == "agent-0" and not any(wire.closed):
            world.reset_stream(number, 0)
    tasks = (TaskSpec("renewal", b"", "k1"), TaskSpec("size-change", b"x"))
    job = Submission("job", "desk", tasks, world.now + 20)
    world.submissions["job"] = job
    world.deliver_event(world.processes["entry-0"], Submitted(job))
    failed = world.answers["job"]
    assert isinstance(failed, Failed)
    assert failed.reason is Reason.DUPLICATE_REQUEST
    world.resume("agent-0")
    world.deliver_all()
    assert world.start_counts[("job", 1)] == 0
    assert (
        world.processes["entry-0"].core.dispatcher.services["desk"].queue.waiting == 0
    )


def test_a_refused_start_goes_to_another_agent() -> None:
    world = TaskCluster(entries=1, agents=2)
    world.leave("agent-0")
    name = world.submit("entry-0", 4)
    for _ in range(8):
        world.deliver_all(2)
        for key in list(world.running["agent-1"]):
            world.end_run("agent-1", key)
    assert isinstance(world.answers[name], Complete)


def test_a_lost_agent_makes_the_outcome_unknown() -> None:
    world = TaskCluster(entries=1, agents=1)
    name = world.submit("entry-0", 1)
    world.deliver_all(1)
    assert world.running["agent-0"]
    world.kill("agent-0")
    world.deliver_all(40)
    failed = world.answers[name]
    assert isinstance(failed, Failed)
    assert failed.reason is Reason.OUTCOME_UNKNOWN
    assert failed.ran is Ran.MAY_HAVE_RUN
