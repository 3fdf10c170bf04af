"""Tests of the decision lab: scenarios, worth bound, simulation and policies."""

from pathlib import Path

import pytest
from bench.lab import scenario as scenarios
from bench.lab.bound import SLOT_SECONDS, DivisibleJob, compute_worth_bound
from bench.lab.policies import parse_policy
from bench.lab.scenario import Fault, Scenario
from bench.lab.simulation import Simulation

from godwitbank._internal.core.runs.policy import DEFAULT_POLICY

FOLDER = Path(scenarios.__file__).parent / "scenarios"


def read_scenario(name: str) -> Scenario:
    return Scenario.from_file(FOLDER / f"{name}.toml")


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.toml")), ids=lambda p: p.stem)
def test_every_scenario_can_be_read(path: Path) -> None:
    scenario = Scenario.from_file(path)
    assert scenario.demands
    assert scenario.load > 0


def test_bound_counts_work_that_fits_before_it_is_due() -> None:
    available_cores = [1.0] * round(1.0 / SLOT_SECONDS)
    one_job = [DivisibleJob(0.0, 1.0, 1.0, 1.0)]
    assert compute_worth_bound(one_job, available_cores, 0.0, 0.0) == pytest.approx(
        1.0, abs=0.01
    )
    two_jobs = one_job * 2
    assert compute_worth_bound(two_jobs, available_cores, 0.0, 0.0) == pytest.approx(
        0.5, abs=0.01
    )
    # Work not done in time may still earn the worth of a late result.
    assert compute_worth_bound(two_jobs, available_cores, 0.0, 0.2) == pytest.approx(
        0.6, abs=0.01
    )


def test_bound_schedules_the_most_valuable_job_in_the_available_capacity() -> None:
    available_cores = [1.0] * round(1.0 / SLOT_SECONDS)
    jobs = [DivisibleJob(0.0, 1.0, 1.0, 1.0), DivisibleJob(0.0, 1.0, 1.0, 3.0)]
    assert compute_worth_bound(jobs, available_cores, 0.0, 0.0) == pytest.approx(
        0.75, abs=0.01
    )
    no_cores = [0.0] * len(available_cores)
    assert compute_worth_bound(jobs, no_cores, 0.0, 0.0) == 0.0


def test_a_seed_repeats_its_demand_for_every_policy_and_stays_below_the_bound() -> None:
    calm = read_scenario("base")._replace(load=0.5, seconds=1.5)
    first = Simulation(calm, DEFAULT_POLICY, 5).run()
    again = Simulation(calm, DEFAULT_POLICY, 5).run()
    other = Simulation(calm, DEFAULT_POLICY._replace(moves=False), 5).run()
    assert first == again
    assert first.bound == pytest.approx(other.bound, abs=0.02)
    assert 0.9 < first.worth <= first.bound


def test_faults_reduce_the_earned_worth() -> None:
    faulty = read_scenario("base")._replace(
        load=0.5,
        seconds=2.0,
        faults=(Fault("kill_entry", 0.5, 1.0), Fault("slow", 0.5, 1.0, 2)),
    )
    with_faults = Simulation(faulty, DEFAULT_POLICY, 5).run()
    calm = Simulation(faulty._replace(faults=()), DEFAULT_POLICY, 5).run()
    assert with_faults.worth < calm.worth


def test_policies_are_parsed_from_their_changes() -> None:
    assert parse_policy("default") == DEFAULT_POLICY
    assert parse_policy("no_moves+no_parking") == DEFAULT_POLICY._replace(
        moves=False, parking=False
    )
    with pytest.raises(AttributeError):
        parse_policy("no_such_thing")
