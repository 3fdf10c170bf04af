"""Tests that the values of a deployment are respected."""

import pytest

from godwitbank._internal.core.runs.deployment import (
    DEFAULT_DEPLOYMENT,
    MAX_LEASE_SECONDS,
    Deployment,
)
from godwitbank._internal.core.runs.lease import EndpointClock
from tests.lib.run_cluster import RunCluster, make_job

NOW = 100.0


def make_world(deployment: Deployment) -> RunCluster:
    """Make a small world with the values of a deployment."""
    world = RunCluster(deployment=deployment)
    for number in range(2):
        world.add_entry(f"entry-{number}")
        world.add_agent(f"agent-{number}")
    world.run(4.0)
    return world


@pytest.mark.parametrize("longest", [0.4, 1.0, 2.0])
def test_lease_is_limited_by_endpoints_and_by_the_longest_lease(longest: float) -> None:
    clock = EndpointClock(Deployment(max_lease_seconds=longest).granted_lease_seconds)
    clock.update(1000, NOW)
    until = clock.grant(NOW, NOW + 10.0)
    assert until == 1000 + int(min(longest, MAX_LEASE_SECONDS) * 1000)


@pytest.mark.parametrize("period", [0.5, 1.5, 3.0])
def test_endpoint_counts_as_gone_after_three_missed_reports(
    period: float,
) -> None:
    world = make_world(DEFAULT_DEPLOYMENT._replace(report_interval_seconds=period))
    agent = world.processes["agent-0"]
    assert agent.core.open
    world.crash_endpoint("agent-0")
    world.run(2.0 * period)
    assert agent.core.endpoint.reporting
    world.run(1.5 * period + 1.0)
    assert not agent.core.endpoint.reporting


def test_jobs_wait_for_endpoints_with_a_long_report_interval() -> None:
    world = RunCluster(
        deployment=DEFAULT_DEPLOYMENT._replace(report_interval_seconds=3.0)
    )
    world.add_entry("entry-0")
    world.add_agent("agent-0")
    world.run(1.2)
    world.kill("agent-0")
    world.add_agent("agent-0")
    world.stored_reports.clear()
    world.run(0.1)
    world.submit("entry-0", make_job("j1", seconds=8.0))
    world.run(12.0)
    assert world.list_ends("j1") == ["completed"]


@pytest.mark.parametrize("longest", [0.5, 2.0])
def test_long_runs_finish_with_any_length_of_lease(longest: float) -> None:
    world = make_world(DEFAULT_DEPLOYMENT._replace(max_lease_seconds=longest))
    world.submit("entry-0", make_job("j1", width=4, seconds=5.0))
    world.run(6.0)
    assert world.list_ends("j1") == ["completed"]
