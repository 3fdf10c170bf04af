"""The decision lab plays what its scenario says, and its bound bounds."""

from pathlib import Path

import pytest
from bench.lab import scenario as scenarios
from bench.lab.bound import SLOT, Piece, bound_worth
from bench.lab.play import Player
from bench.lab.policies import find_policy
from bench.lab.scenario import Fault, Scenario

from godwitbank._internal.core.runs.policy import DEFAULT_POLICY

FOLDER = Path(scenarios.__file__).parent / "scenarios"


def read(name: str) -> Scenario:
    return Scenario.from_file(FOLDER / f"{name}.toml")


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.toml")), ids=lambda p: p.stem)
def test_every_scenario_can_be_read(path: Path) -> None:
    scenario = Scenario.from_file(path)
    assert scenario.demands
    assert scenario.load > 0


def test_a_bound_counts_work_that_fits_before_it_is_due() -> None:
    room = [1.0] * round(1.0 / SLOT)
    whole = [Piece(0.0, 1.0, 1.0, 1.0)]
    assert bound_worth(whole, room, 0.0, 0.0) == pytest.approx(1.0, abs=0.01)
    twice = whole * 2
    assert bound_worth(twice, room, 0.0, 0.0) == pytest.approx(0.5, abs=0.01)
    # What isn't done in time may still earn what a late result earns.
    assert bound_worth(twice, room, 0.0, 0.2) == pytest.approx(0.6, abs=0.01)


def test_a_bound_prefers_what_earns_most_in_the_room_that_was_there() -> None:
    room = [1.0] * round(1.0 / SLOT)
    jobs = [Piece(0.0, 1.0, 1.0, 1.0), Piece(0.0, 1.0, 1.0, 3.0)]
    assert bound_worth(jobs, room, 0.0, 0.0) == pytest.approx(0.75, abs=0.01)
    gone = [0.0] * len(room)
    assert bound_worth(jobs, gone, 0.0, 0.0) == 0.0


def test_a_seed_is_the_same_demand_for_every_policy_and_stays_below_the_bound() -> None:
    calm = read("base")._replace(load=0.5, seconds=1.5)
    first = Player(calm, DEFAULT_POLICY, 5).play()
    again = Player(calm, DEFAULT_POLICY, 5).play()
    other = Player(calm, DEFAULT_POLICY._replace(moves=False), 5).play()
    assert first == again
    assert first.bound == pytest.approx(other.bound, abs=0.02)
    assert 0.9 < first.worth <= first.bound


def test_faults_strike_and_end() -> None:
    lost = read("base")._replace(
        load=0.5,
        seconds=2.0,
        faults=(Fault("kill_entry", 0.5, 1.0), Fault("slow", 0.5, 1.0, 2)),
    )
    harmed = Player(lost, DEFAULT_POLICY, 5).play()
    calm = Player(lost._replace(faults=()), DEFAULT_POLICY, 5).play()
    assert harmed.worth < calm.worth


def test_policies_are_found_by_what_they_change() -> None:
    assert find_policy("default") == DEFAULT_POLICY
    assert find_policy("no_moves+no_parking") == DEFAULT_POLICY._replace(
        moves=False, parking=False
    )
    with pytest.raises(AttributeError):
        find_policy("no_such_thing")
