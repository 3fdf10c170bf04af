"""Tests of entries that share agents: earned worth and refused start orders."""

from pathlib import Path

from bench.lab import scenario as scenarios
from bench.lab.scenario import Scenario
from bench.lab.simulation import Simulation

from godwitbank._internal.core.runs.policy import DEFAULT_POLICY

FOLDER = Path(scenarios.__file__).parent / "scenarios"


def test_entries_that_share_agents_seldom_order_starts_without_free_capacity() -> None:
    shifted = Scenario.from_file(FOLDER / "shifted.toml")._replace(seconds=2.0)
    outcome = Simulation(shifted, DEFAULT_POLICY, 1).run()
    assert outcome.returned <= 0.2
    assert outcome.worth >= 0.95
