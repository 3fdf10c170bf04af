"""Jobs that wait until agents confirm that other entries' runs of them have ended."""

from godwitbank._internal.core.runs.delays import DelayedJob
from godwitbank._internal.core.runs.jobs import Job
from godwitbank._internal.core.runs.lease import LAPSE_SECONDS
from godwitbank._internal.core.runs.links import Link
from godwitbank._internal.models.messages import Hello, Role
from tests.lib.run_cluster import QUEUE, make_job

NOW = 100.0
STREAMS = (1, 2)


def make_links() -> dict[int, Link]:
    """Return links to two agents, by stream."""
    hello = Hello(1, Role.AGENT, "agent", "agent#1", "agent", "zone-1")
    return {stream: Link(stream, hello, "", NOW) for stream in STREAMS}


def make_delayed() -> DelayedJob:
    """Make a job that was claimed at two agents."""
    delayed = DelayedJob(Job(make_job("j1"), QUEUE, 1, NOW, 5.0), NOW, NOW)
    delayed.record_claim(STREAMS)
    return delayed


def test_claim_is_complete_after_all_agents_answered() -> None:
    delayed = make_delayed()
    assert not delayed.handle_claimed(1, all_ended=True)
    assert delayed.handle_claimed(2, all_ended=True)


def test_job_waits_for_an_agent_that_is_stopping_runs() -> None:
    delayed = make_delayed()
    delayed.handle_claimed(1, all_ended=False)
    delayed.handle_claimed(2, all_ended=True)
    assert not delayed.may_start(make_links(), NOW + 5.0, expects_answers=False)
    assert delayed.handle_claimed(1, all_ended=True)


def test_job_waits_for_leases_of_an_agent_lost_while_stopping_runs() -> None:
    delayed = make_delayed()
    delayed.handle_claimed(1, all_ended=False)
    links = make_links()
    del links[1]
    assert not delayed.may_start(links, NOW + 0.2, expects_answers=False)
    assert delayed.start_at == NOW + 0.2 + LAPSE_SECONDS
    assert delayed.may_start(links, delayed.start_at, expects_answers=False)


def test_job_waits_for_leases_of_an_agent_lost_before_it_answered() -> None:
    delayed = make_delayed()
    links = make_links()
    del links[1]
    assert not delayed.may_start(links, NOW + 0.7, expects_answers=True)
    assert delayed.start_at == NOW + 0.7 + LAPSE_SECONDS


def test_job_waits_for_an_unresponsive_agent_while_a_lost_entry_may_be_alive() -> None:
    delayed = make_delayed()
    links = make_links()
    assert not delayed.may_start(
        links, NOW + LAPSE_SECONDS - 0.01, expects_answers=True
    )
    assert delayed.may_start(links, NOW + LAPSE_SECONDS + 0.01, expects_answers=True)
    assert delayed.may_start(links, NOW + 0.05, expects_answers=False)
